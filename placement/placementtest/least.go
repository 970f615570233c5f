package placementtest

import (
	"cmp"
	"math"
	"slices"
)

// balanced is the imbalance that a plan must keep; the least moves are counted for it.
const balanced = 1.05

// leastWithout is the least number of keys that must move when a target goes:
// its own, and for each of its partitions that is too heavy for the room on any
// other target, the fewest keys of light partitions whose move makes room.
func (s *Sim) leastWithout(target int) float64 {
	name := s.In.Targets[target].Name
	load, parts := map[string]float64{}, map[string][]int{}
	for p, rate := range s.rates {
		owner := s.In.Assignment.OwnerOf(p)
		load[owner] += rate
		parts[owner] = append(parts[owner], p)
	}
	least := s.keys(name)
	for _, p := range parts[name] {
		fewest := math.Inf(1)
		for i, t := range s.In.Targets {
			if t.Usable {
				limit := balanced * s.part(i) * s.Traffic.Load
				fewest = min(fewest, s.relief(parts[t.Name], load[t.Name]+s.rates[p]-limit, limit-load[t.Name]))
			}
			if fewest == 0 {
				break
			}
		}
		least += fewest
	}
	return least
}

// relief is the fewest keys whose partitions carry the load, of those no heavier than light.
func (s *Sim) relief(parts []int, load, light float64) float64 {
	if load <= 0 {
		return 0
	}
	density := func(p int) float64 { return s.rates[p] / s.Traffic.Keys[p] }
	parts = slices.Clone(parts)
	slices.SortFunc(parts, func(a, b int) int { return cmp.Compare(density(b), density(a)) })
	keys := 0.0
	for _, p := range parts {
		if s.rates[p] > light {
			continue
		}
		keys += s.Traffic.Keys[p] * min(1, load/s.rates[p])
		if load -= s.rates[p]; load <= 0 {
			return keys
		}
	}
	return math.Inf(1)
}
