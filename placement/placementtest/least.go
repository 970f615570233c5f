package placementtest

import (
	"cmp"
	"math"
	"slices"
)

// maxImbalance is the imbalance that a plan must keep; the least moves are counted for it.
const maxImbalance = 1.05

// minKeysToMove is the least number of keys that must move when a target goes:
// its own, and for each of its partitions that is too heavy for the room on any
// other target, the fewest keys of light partitions whose move makes room.
func (s *Sim) minKeysToMove(target int) float64 {
	name := s.Input.Targets[target].Name
	load, parts := map[string]float64{}, map[string][]int{}
	for p, rate := range s.expectedLoads {
		owner := s.Input.Assignment.OwnerOf(p)
		load[owner] += rate
		parts[owner] = append(parts[owner], p)
	}
	least := s.keyCount(name)
	for _, p := range parts[name] {
		fewest := math.Inf(1)
		for i, t := range s.Input.Targets {
			if t.Usable {
				limit := maxImbalance * s.weightFraction(i) * s.Traffic.TotalLoad
				fewest = min(fewest, s.minReliefKeys(parts[t.Name], load[t.Name]+s.expectedLoads[p]-limit, limit-load[t.Name]))
			}
			if fewest == 0 {
				break
			}
		}
		least += fewest
	}
	return least
}

// minReliefKeys is the fewest keys whose partitions carry the load, of those no heavier than light.
func (s *Sim) minReliefKeys(parts []int, load, light float64) float64 {
	if load <= 0 {
		return 0
	}
	density := func(p int) float64 { return s.expectedLoads[p] / s.Traffic.KeyCounts[p] }
	parts = slices.Clone(parts)
	slices.SortFunc(parts, func(a, b int) int { return cmp.Compare(density(b), density(a)) })
	keys := 0.0
	for _, p := range parts {
		if s.expectedLoads[p] > light {
			continue
		}
		keys += s.Traffic.KeyCounts[p] * min(1, load/s.expectedLoads[p])
		if load -= s.expectedLoads[p]; load <= 0 {
			return keys
		}
	}
	return math.Inf(1)
}
