package placement

import (
	"cmp"
	"slices"
)

// HotKeys is a sketch that finds the keys with the largest load in bounded memory, with the
// space-saving algorithm. It counts the load of at most a fixed number of keys, its capacity.
// A further key replaces the one with the smallest count and inherits that count as its
// error.
//
// With a total load N and a capacity m, every key with a load above N/m is counted, and each
// count exceeds the true load by at most its error, which is at most N/m. NewHotKeys
// allocates 120 to 152 bytes per key of the capacity. The memory does not grow, and Observe
// does not allocate. A HotKeys must not be used by several goroutines at a time.
type HotKeys struct {
	capacity int
	// total is the observed load, reduced by Decay.
	total float64
	// index finds the counter of a key by the hash of the key. Keys of equal hash count as
	// one key.
	index    hashIndex
	counters []counter
	// byLoad orders the counters by load.
	byLoad *indexedHeap
}

// counter is the count of one key. The load is its priority in HotKeys.byLoad.
type counter struct {
	hash       uint64
	partition  int32
	nameLength uint8
	error      float64
	name       [MaxKeyLength]byte
}

// MaxKeyLength is the number of bytes of a key that are stored. Longer keys are
// distinguished by their hash and reported by their first bytes.
const MaxKeyLength = 48

// HotKey is a counted key with its load.
type HotKey struct {
	// Key is the key, truncated to MaxKeyLength bytes.
	Key string `json:"key" msgpack:"k"`
	// Hash identifies the key when sketches are merged.
	Hash      uint64 `json:"hash" msgpack:"h"`
	Partition int    `json:"partition" msgpack:"p"`
	// Load is the counted load in slot-seconds: at least the true load and at most Error
	// more.
	Load  float64 `json:"load" msgpack:"l"`
	Error float64 `json:"error" msgpack:"e"`
}

// NewHotKeys returns a sketch that counts at most capacity keys. A capacity below 1 is
// taken as 1.
func NewHotKeys(capacity int) *HotKeys {
	capacity = max(1, capacity)
	return &HotKeys{
		capacity: capacity,
		index:    newHashIndex(capacity),
		counters: make([]counter, 0, capacity),
		byLoad:   newIndexedHeap(capacity),
	}
}

// Observe adds load, in slot-seconds, to a key. The hash is a 64-bit hash of the key. Load
// that is not a positive finite number is ignored.
func (h *HotKeys) Observe(key string, hash uint64, partition int, load float64) {
	if !(load > 0) || !validLoad(load) {
		return
	}
	h.total += load
	if i := h.index.find(hash); i >= 0 {
		h.byLoad.set(i, h.byLoad.priorities[i]+load)
		return
	}
	h.addKey(key, hash, partition, load, 0)
}

// addKey counts a new key, with a free counter or in place of the key with the smallest
// count. The given load exceeds the true one by at most maxExcess.
func (h *HotKeys) addKey(key string, hash uint64, partition int, load, maxExcess float64) {
	i := len(h.counters)
	if i < h.capacity {
		h.counters = append(h.counters, counter{})
	} else {
		i = h.byLoad.top()
		smallest := h.byLoad.priorities[i]
		load, maxExcess = load+smallest, maxExcess+smallest
		h.index.remove(h.counters[i].hash)
	}
	c := &h.counters[i]
	c.hash, c.partition, c.error = hash, int32(partition), maxExcess //nolint:gosec // at most 65536 partitions
	c.nameLength = uint8(copy(c.name[:], key))                       //nolint:gosec // at most MaxKeyLength
	h.index.insert(hash, i)
	h.byLoad.set(i, load)
}

// Total returns the observed load, reduced by Decay.
func (h *HotKeys) Total() float64 { return h.total }

// ErrorBound returns the largest error that any count can have, which is also the largest
// load that a key can have without being counted.
func (h *HotKeys) ErrorBound() float64 {
	if len(h.counters) < h.capacity {
		return 0
	}
	return h.byLoad.priorities[h.byLoad.top()]
}

// Top returns the k keys with the largest counts in descending order, or all if there are
// fewer.
func (h *HotKeys) Top(k int) []HotKey {
	keys := make([]HotKey, 0, len(h.counters))
	for i := range h.counters {
		c := &h.counters[i]
		keys = append(keys, HotKey{
			Key: string(c.name[:c.nameLength]), Hash: c.hash, Partition: int(c.partition),
			Load: h.byLoad.priorities[i], Error: c.error,
		})
	}
	slices.SortFunc(keys, func(a, b HotKey) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Hash, b.Hash))
	})
	return keys[:min(k, len(keys))]
}

// Merge adds the counts of another sketch, whose capacity must not be smaller. keys are all
// keys that it counts, total and bound are its Total and ErrorBound. With fewer keys or a
// smaller capacity, the bounds of HotKeys do not hold afterwards. A key that only one of the
// sketches counts may have had a load of up to the bound of the other in that one, so this
// bound is added to its load and error.
func (h *HotKeys) Merge(keys []HotKey, total, bound float64) {
	ownBound := h.ErrorBound()
	seen := make(map[uint64]bool, len(keys))
	var newKeys []HotKey
	for _, k := range keys {
		seen[k.Hash] = true
		i := h.index.find(k.Hash)
		if i < 0 {
			newKeys = append(newKeys, k)
			continue
		}
		h.counters[i].error += k.Error
		h.byLoad.set(i, h.byLoad.priorities[i]+k.Load)
	}
	for i := range h.counters {
		if c := &h.counters[i]; !seen[c.hash] {
			c.error += bound
			h.byLoad.set(i, h.byLoad.priorities[i]+bound)
		}
	}
	// New keys are added last. They may replace a counted key, which must not happen before
	// the load of that key is complete.
	for _, k := range newKeys {
		h.mergeNewKey(k, ownBound)
	}
	h.total += total
}

// mergeNewKey adds a key that only the other sketch counts; ownBound is the ErrorBound of
// this one before the merge.
func (h *HotKeys) mergeNewKey(k HotKey, ownBound float64) {
	k.Load += ownBound
	k.Error += ownBound
	if len(h.counters) == h.capacity {
		i := h.byLoad.top()
		if h.byLoad.priorities[i] >= k.Load {
			return
		}
		// The key with the smallest count is dropped. That count stays a valid bound,
		// because no remaining count is smaller.
		h.index.remove(h.counters[i].hash)
		h.replaceCounter(i, k)
		return
	}
	h.addKey(k.Key, k.Hash, k.Partition, k.Load, k.Error)
}

func (h *HotKeys) replaceCounter(i int, k HotKey) {
	c := &h.counters[i]
	c.hash, c.partition, c.error = k.Hash, int32(k.Partition), k.Error //nolint:gosec // at most 65536 partitions
	c.nameLength = uint8(copy(c.name[:], k.Key))                       //nolint:gosec // at most MaxKeyLength
	h.index.insert(k.Hash, i)
	h.byLoad.set(i, k.Load)
}

// Decay multiplies all counts by a factor between 0 and 1, so that keys that are no longer
// hot are eventually replaced. With a factor of 1/2 every 10 s, a count is the load of about
// the last 20 s.
func (h *HotKeys) Decay(factor float64) {
	h.total *= factor
	for i := range h.counters {
		h.counters[i].error *= factor
		// Scaling does not change the order, so the heap remains valid.
		h.byLoad.priorities[i] *= factor
	}
}
