package placement

import "slices"

const (
	// candidateRatioMargin is the margin above the lowest load ratio within which targets
	// are compared by the number of partitions that they would have to give up.
	candidateRatioMargin = 0.3
	// maxCandidates limits the number of targets that are compared.
	maxCandidates = 16
)

// leastDisplacing returns the target that makes room for a partition of the given cost by
// giving up the fewest partitions, or -1 if none can. A target may also move one large
// partition to a second target that makes room in the same way. Such a move is added to
// relocations.
func (pl *placer) leastDisplacing(cost, lowestRatio float64) int {
	best, fewest, large := -1, 0, relocation{partition: -1}
	for _, v := range pl.candidates(lowestRatio, cost) {
		excess := pl.excessWith(v, cost)
		if k := pl.countDisplaced(v, excess, pl.freeCapacityExcept(v, v), -1); k > 0 && (best < 0 || k < fewest) {
			best, fewest, large.partition = v, k, -1
		}
		for _, h := range pl.partitionsByDescendingCost(v) {
			c := pl.state.cost[h]
			if c <= pl.largeCost {
				break
			}
			if c >= excess || pl.isRelocated(h) {
				continue
			}
			if w, k := pl.bestRelocation(v, excess-c, h); k > 0 && (best < 0 || k < fewest) {
				best, fewest, large = v, k, relocation{h, int32(w)} //nolint:gosec // fewer than 65536 targets
			}
		}
	}
	if best >= 0 && large.partition >= 0 {
		pl.relocations = append(pl.relocations, large)
	}
	return best
}

func (pl *placer) isRelocated(p int32) bool {
	return slices.ContainsFunc(pl.relocations, func(x relocation) bool { return x.partition == p })
}

// candidates returns up to maxCandidates targets whose load ratio with the cost exceeds
// lowestRatio by at most candidateRatioMargin.
func (pl *placer) candidates(lowestRatio, cost float64) []int {
	var indexes []int
	for i := range pl.state.targets {
		if pl.byLoadRatio.position[i] >= 0 && pl.state.targets[i].loadRatioWith(cost) <= lowestRatio+candidateRatioMargin && len(indexes) < maxCandidates {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// bestRelocation returns the target that can take a large partition of v with the fewest
// moves, and their number, which is 0 if there is no such target. The number includes the
// moves that relieve v of its remaining excess and those that make room at the returned
// target.
func (pl *placer) bestRelocation(v int, remainingExcess float64, large int32) (best, fewest int) {
	best = -1
	for _, w := range pl.candidates(maxLoadRatio, 0) {
		if w == v {
			continue
		}
		capacities := pl.freeCapacityExcept(v, w)
		k := pl.countDisplaced(v, remainingExcess, capacities, large)
		if k == 0 {
			continue
		}
		l := 0
		if excess := pl.excessWith(w, pl.state.cost[large]); excess > 0 {
			if l = pl.countDisplaced(w, excess, capacities, -1); l == 0 {
				continue
			}
		}
		if best < 0 || 1+k+l < fewest {
			best, fewest = w, 1+k+l
		}
	}
	return best, fewest
}

// excessWith returns by how much target i exceeds its tolerated load with an additional
// cost. The result is negative if the target would still have free capacity.
func (pl *placer) excessWith(i int, cost float64) float64 {
	t := &pl.state.targets[i]
	return t.load + cost - (1+pl.excessTolerance)*t.fairShare
}

// freeCapacityExcept returns a heap of the targets that can receive partitions, without v
// and w. Their priorities are their free capacities, negated. The result is valid until the
// next call.
func (pl *placer) freeCapacityExcept(v, w int) *indexedHeap {
	if pl.freeCapacity == nil {
		pl.freeCapacity, pl.freeCapacityScratch = newIndexedHeap(len(pl.state.targets)), newIndexedHeap(len(pl.state.targets))
		for i := range pl.state.targets {
			if pl.byLoadRatio.position[i] >= 0 {
				pl.freeCapacity.set(i, pl.excessWith(i, 0))
			}
		}
	}
	pl.freeCapacityScratch.copyFrom(pl.freeCapacity)
	pl.freeCapacityScratch.remove(v)
	pl.freeCapacityScratch.remove(w)
	return pl.freeCapacityScratch
}

// countDisplaced returns the number of partitions of target i that together cost at least
// the given excess and fit into the free capacities, which are reduced accordingly. It
// returns 0 if there are not enough. The partition excluded is not counted; -1 excludes none.
func (pl *placer) countDisplaced(i int, excess float64, capacities *indexedHeap, excluded int32) int {
	count := 0
	for _, p := range pl.partitionsByDescendingCost(i) {
		c, v := pl.state.cost[p], capacities.top()
		if p == excluded || v < 0 || c > -capacities.priorities[v] {
			continue
		}
		capacities.set(v, capacities.priorities[v]+c)
		count++
		if excess -= c; excess <= 0 {
			return count
		}
	}
	return 0
}

// partitionsByDescendingCost returns the partitions of a target by descending cost.
func (pl *placer) partitionsByDescendingCost(i int) []int32 {
	if pl.groupStart == nil {
		pl.groupStart, pl.grouped = pl.state.groupByOwner()
		pl.sortedPartitions = make([][]int32, len(pl.state.targets))
	}
	if pl.sortedPartitions[i] == nil {
		pl.sortedPartitions[i] = pl.grouped[pl.groupStart[i]:pl.groupStart[i+1]]
		pl.state.sortByCost(pl.sortedPartitions[i])
	}
	return pl.sortedPartitions[i]
}
