package placement

import (
	"cmp"
	"slices"
)

// HotKeys finds the keys with the largest load in bounded memory, by the
// space-saving algorithm: it counts at most Capacity keys, and a new key takes
// the place of the one with the smallest count and inherits that count as its
// error.
//
// Bounds: of a total load N and m counted keys, every key with more than N/m is
// among the counted ones, and each count exceeds the true load by at most its
// Error, which is at most N/m. Memory is 120 to 152 bytes per counted key and
// does not grow. Observe allocates nothing once Capacity
// keys have been seen. A HotKeys is used by one goroutine at a time.
type HotKeys struct {
	capacity int
	// total is the observed load after decay.
	total float64
	// index finds a key's slot by its hash. Keys of equal hash count as one key.
	index    hashIndex
	counters []counter
	// byLoad orders the slots by count.
	byLoad *indexedHeap
}

// counter is one counted key.
type counter struct {
	hash       uint64
	partition  int32
	nameLength uint8
	error      float64
	name       [MaxKeyLength]byte
}

// MaxKeyLength is the number of bytes of a key's name that are kept. Longer
// keys are told apart by their hash and reported by their first bytes.
const MaxKeyLength = 48

// HotKey is a key with its load.
type HotKey struct {
	// Key is the name, cut to MaxKeyLength bytes.
	Key string `json:"key" msgpack:"k"`
	// Hash identifies the key in merges.
	Hash      uint64 `json:"hash" msgpack:"h"`
	Partition int    `json:"partition" msgpack:"p"`
	// Load is the counted load in slot-seconds, at least the true one and at most Error above it.
	Load  float64 `json:"load" msgpack:"l"`
	Error float64 `json:"error" msgpack:"e"`
}

// NewHotKeys returns a sketch that counts at most capacity keys; at least 1.
func NewHotKeys(capacity int) *HotKeys {
	capacity = max(1, capacity)
	return &HotKeys{
		capacity: capacity,
		index:    newHashIndex(capacity),
		counters: make([]counter, 0, capacity),
		byLoad:   newIndexedHeap(capacity),
	}
}

// Observe adds load, in slot-seconds, of a key. The hash is the key's 64-bit
// hash; equal keys have equal hashes. Load that is not positive is ignored.
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

// addKey counts a new key, in a free slot or in place of the smallest.
func (h *HotKeys) addKey(key string, hash uint64, partition int, load, err float64) {
	i := len(h.counters)
	if i < h.capacity {
		h.counters = append(h.counters, counter{})
	} else {
		i = h.byLoad.top()
		least := h.byLoad.priorities[i]
		load, err = load+least, err+least
		h.index.remove(h.counters[i].hash)
	}
	s := &h.counters[i]
	s.hash, s.partition, s.error = hash, int32(partition), err //nolint:gosec // at most 65536 partitions
	s.nameLength = uint8(copy(s.name[:], key))                 //nolint:gosec // at most MaxKeyLength
	h.index.insert(hash, i)
	h.byLoad.set(i, load)
}

// Total is the observed load.
func (h *HotKeys) Total() float64 { return h.total }

// Bound is the largest load by which any count can be too high, and the largest
// load that a key may have without being counted.
func (h *HotKeys) Bound() float64 {
	if len(h.counters) < h.capacity {
		return 0
	}
	return h.byLoad.priorities[h.byLoad.top()]
}

// Top returns the k keys with the largest counts, largest first.
func (h *HotKeys) Top(k int) []HotKey {
	keys := make([]HotKey, 0, len(h.counters))
	for i := range h.counters {
		s := &h.counters[i]
		keys = append(keys, HotKey{
			Key: string(s.name[:s.nameLength]), Hash: s.hash, Partition: int(s.partition),
			Load: h.byLoad.priorities[i], Error: s.error,
		})
	}
	slices.SortFunc(keys, func(a, b HotKey) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Hash, b.Hash))
	})
	return keys[:min(k, len(keys))]
}

// Merge adds what another sketch, or its top keys, has counted. A key that only
// one side counted may have had up to the other's bound there, which is added to
// its load and error. total and bound are those of the other side.
func (h *HotKeys) Merge(keys []HotKey, total, bound float64) {
	own := h.Bound()
	seen := make(map[uint64]bool, len(keys))
	var fresh []HotKey
	for _, k := range keys {
		seen[k.Hash] = true
		i := h.index.find(k.Hash)
		if i < 0 {
			fresh = append(fresh, k)
			continue
		}
		h.counters[i].error += k.Error
		h.byLoad.set(i, h.byLoad.priorities[i]+k.Load)
	}
	for i := range h.counters {
		if s := &h.counters[i]; !seen[s.hash] {
			s.error += bound
			h.byLoad.set(i, h.byLoad.priorities[i]+bound)
		}
	}
	// New keys come last, since they may displace keys whose sum was not complete before.
	for _, k := range fresh {
		h.mergeNewKey(k, own)
	}
	h.total += total
}

// mergeNewKey takes in a key of the other side that this side does not count.
func (h *HotKeys) mergeNewKey(k HotKey, own float64) {
	k.Load += own
	k.Error += own
	if len(h.counters) == h.capacity {
		i := h.byLoad.top()
		if h.byLoad.priorities[i] >= k.Load {
			return
		}
		// The smallest is dropped; its count stays a bound, since it is below all others.
		h.index.remove(h.counters[i].hash)
		h.replaceCounter(i, k)
		return
	}
	h.addKey(k.Key, k.Hash, k.Partition, k.Load, k.Error)
}

func (h *HotKeys) replaceCounter(i int, k HotKey) {
	s := &h.counters[i]
	s.hash, s.partition, s.error = k.Hash, int32(k.Partition), k.Error //nolint:gosec // at most 65536 partitions
	s.nameLength = uint8(copy(s.name[:], k.Key))                       //nolint:gosec // at most MaxKeyLength
	h.index.insert(k.Hash, i)
	h.byLoad.set(i, k.Load)
}

// Decay multiplies all counts by a factor between 0 and 1, so that keys that
// are no longer hot are displaced. With a factor of 1/2 each 10 s a count is the
// load of about the last 20 s.
func (h *HotKeys) Decay(factor float64) {
	h.total *= factor
	for i := range h.counters {
		h.counters[i].error *= factor
		// The order stays the same, so the heap does too.
		h.byLoad.priorities[i] *= factor
	}
}
