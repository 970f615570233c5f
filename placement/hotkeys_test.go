package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/boragegate/boragegate/placement"
)

// stream is a list of observations, with the true load of each key and the total load.
type stream struct {
	keys  []string
	loads []float64
	true  map[string]float64
	total float64
}

func drawStream(t *rapid.T) *stream {
	n := rapid.IntRange(1, 400).Draw(t, "observations")
	rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	s := &stream{true: map[string]float64{}}
	for range n {
		key := fmt.Sprintf("key-%d", int(rng.ExpFloat64()*20))
		s.keys, s.loads = append(s.keys, key), append(s.loads, float64(1+rng.IntN(9)))
		s.true[key] += s.loads[len(s.loads)-1]
		s.total += s.loads[len(s.loads)-1]
	}
	return s
}

func (s *stream) observe(h *placement.HotKeys) {
	for i, key := range s.keys {
		h.Observe(key, xxhash.Sum64String(key), i%7, s.loads[i])
	}
}

// checkBounds compares every count, and the keys that are not counted, with the true loads.
func checkBounds(t *rapid.T, h *placement.HotKeys, capacity int, trueLoads map[string]float64, limit float64) {
	counted := map[string]bool{}
	for _, k := range h.Top(capacity) {
		counted[k.Key] = true
		if k.Load < trueLoads[k.Key]-1e-6 || k.Load-k.Error > trueLoads[k.Key]+1e-6 || k.Error > limit+1e-6 {
			t.Fatalf("key %s: counted load %v with error %v, true load %v, error limit %v", k.Key, k.Load, k.Error, trueLoads[k.Key], limit)
		}
	}
	for key, load := range trueLoads {
		if !counted[key] && load > h.ErrorBound()+1e-6 {
			t.Fatalf("key %s with load %v is not counted, although the bound is %v", key, load, h.ErrorBound())
		}
	}
}

// TestHotKeysBounds guards against counts that are below the true load or exceed it by more
// than their error, errors above the limit, and uncounted keys with more load than the bound.
func TestHotKeysBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 40).Draw(t, "capacity")
		s := drawStream(t)
		h := placement.NewHotKeys(capacity)
		s.observe(h)
		checkBounds(t, h, capacity, s.true, s.total/float64(capacity))
	})
}

// TestHotKeysMergeKeepsBounds guards against the faults that TestHotKeysBounds names, after a
// merge of two sketches.
func TestHotKeysMergeKeepsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 40).Draw(t, "capacity")
		a, b := drawStream(t), drawStream(t)
		ha, hb := placement.NewHotKeys(capacity), placement.NewHotKeys(capacity)
		a.observe(ha)
		b.observe(hb)
		ha.Merge(hb.Top(capacity), hb.Total(), hb.ErrorBound())
		for key, load := range b.true {
			a.true[key] += load
		}
		checkBounds(t, ha, capacity, a.true, (a.total+b.total)/float64(capacity))
	})
}

var _ = Describe("HotKeys", func() {
	// Guards against memory allocations on the request path.
	It("does not allocate after the warm-up", func() {
		h := placement.NewHotKeys(64)
		rng := rand.New(rand.NewPCG(1, 0))
		keys := make([]string, 5000)
		for i := range keys {
			keys[i] = fmt.Sprintf("key-%d", i)
		}
		observe := func() {
			key := keys[int(rng.ExpFloat64()*500)%len(keys)]
			h.Observe(key, xxhash.Sum64String(key), 1, 1)
		}
		for range 10_000 {
			observe()
		}
		Expect(testing.AllocsPerRun(10_000, observe)).To(BeZero())
	})

	// Guards against reports that use up the bandwidth for control messages.
	It("needs at most 3 KB/s at the planner for the reports of a cell", func() {
		const members, reportedKeys, intervalSeconds, maxBytesPerSecond = 8, 32, 10, 3000
		h := placement.NewHotKeys(1024)
		for i := range 2000 {
			key := fmt.Sprintf("%0*d", placement.MaxKeyLength, i)
			h.Observe(key, xxhash.Sum64String(key), 60000+i, 1/float64(i+1))
		}
		b, err := msgpack.Marshal(h.Top(reportedKeys))
		Expect(err).NotTo(HaveOccurred())
		GinkgoWriter.Println("bytes of one report:", len(b))
		Expect(members * len(b) / intervalSeconds).To(BeNumerically("<=", maxBytesPerSecond))
	})
})

func BenchmarkHotKeysObserve(b *testing.B) {
	for _, capacity := range []int{256, 1024, 4096} {
		b.Run(fmt.Sprint(capacity), func(b *testing.B) {
			h := placement.NewHotKeys(capacity)
			zipf := rand.NewZipf(rand.New(rand.NewPCG(1, 0)), 1.1, 1, 1e6)
			keys, hashes := make([]string, 1<<16), make([]uint64, 1<<16)
			for i := range keys {
				keys[i] = fmt.Sprintf("key-%d", zipf.Uint64())
				hashes[i] = xxhash.Sum64String(keys[i])
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				h.Observe(keys[i&0xffff], hashes[i&0xffff], 1, 0.01)
			}
		})
	}
}
