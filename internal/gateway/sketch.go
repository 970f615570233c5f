package gateway

import "slices"

// sketchSize is the number of keys that a sketch counts. A key with more than
// 1/sketchSize of the load is among them for certain.
const sketchSize = 64

// sketch finds the keys with the largest sums in bounded memory (space-saving).
type sketch struct{ counters []counter }

type counter struct {
	key       string
	partition int
	sum       float64
	excess    float64 // part of sum that may belong to other keys
}

// sure is the part of the sum that belongs to the key for certain.
func (c counter) sure() float64 { return c.sum - c.excess }

func (s *sketch) add(key string, partition int, v float64) {
	smallest := 0
	for i := range s.counters {
		c := &s.counters[i]
		if c.key == key && c.partition == partition {
			c.sum += v
			return
		}
		if c.sum < s.counters[smallest].sum {
			smallest = i
		}
	}
	if len(s.counters) < sketchSize {
		s.counters = append(s.counters, counter{key, partition, v, 0})
		return
	}
	least := s.counters[smallest].sum
	s.counters[smallest] = counter{key, partition, least + v, least}
}

// top returns at most n counters, largest first.
func (s *sketch) top(n int) []counter {
	sorted := slices.Clone(s.counters)
	slices.SortFunc(sorted, func(a, b counter) int {
		switch {
		case a.sure() > b.sure():
			return -1
		case a.sure() < b.sure():
			return 1
		}
		return 0
	})
	return sorted[:min(n, len(sorted))]
}
