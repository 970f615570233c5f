package placementtest

import (
	"cmp"
	"math"
	"slices"
)

// maxImbalance is the imbalance that a plan must not exceed. The minimum number of keys to
// move is computed for it.
const maxImbalance = 1.05

// minKeysToMove returns the minimum number of keys that must move when a target becomes
// unavailable: its own and, for each of its partitions that does not fit on any other
// target, the fewest keys of light partitions whose move makes room for it.
func (s *Sim) minKeysToMove(target int) float64 {
	name := s.Input.Targets[target].Name
	load, partitions := map[string]float64{}, map[string][]int{}
	for p, partitionLoad := range s.expectedLoads {
		owner := s.Input.Assignment.OwnerOf(p)
		load[owner] += partitionLoad
		partitions[owner] = append(partitions[owner], p)
	}
	least := s.keyCount(name)
	for _, p := range partitions[name] {
		fewest := math.Inf(1)
		for i, t := range s.Input.Targets {
			if t.Usable {
				limit := maxImbalance * s.weightFraction(i) * s.Traffic.TotalLoad
				fewest = min(fewest, s.minReliefKeys(partitions[t.Name], load[t.Name]+s.expectedLoads[p]-limit, limit-load[t.Name]))
			}
			if fewest == 0 {
				break
			}
		}
		least += fewest
	}
	return least
}

// minReliefKeys returns the minimum number of keys that must move out of the given partitions
// to remove the given load. Only partitions with a load of at most maxPartitionLoad are
// considered; it returns +Inf if they do not suffice.
func (s *Sim) minReliefKeys(partitions []int, load, maxPartitionLoad float64) float64 {
	if load <= 0 {
		return 0
	}
	loadPerKey := func(p int) float64 { return s.expectedLoads[p] / s.Traffic.KeyCounts[p] }
	partitions = slices.Clone(partitions)
	slices.SortFunc(partitions, func(a, b int) int { return cmp.Compare(loadPerKey(b), loadPerKey(a)) })
	keys := 0.0
	for _, p := range partitions {
		if s.expectedLoads[p] > maxPartitionLoad {
			continue
		}
		keys += s.Traffic.KeyCounts[p] * min(1, load/s.expectedLoads[p])
		if load -= s.expectedLoads[p]; load <= 0 {
			return keys
		}
	}
	return math.Inf(1)
}
