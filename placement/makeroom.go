package placement

import "slices"

const (
	// candidateRatioMargin is the excess over the best fill up to which nodes are compared by what they give up.
	candidateRatioMargin = 0.3
	// maxCandidates bounds the number of nodes that are compared.
	maxCandidates = 16
)

// leastDisplacing returns the node that makes room for the cost by giving up the
// fewest partitions; -1 if none can. A node may pass on one heavy partition to a
// second node that makes room for it in the same way. That is noted in passes.
func (pl *placer) leastDisplacing(cost, fill float64) int {
	best, fewest, heavy := -1, 0, relocation{partition: -1}
	for _, v := range pl.candidates(fill, cost) {
		load := pl.excessWith(v, cost)
		if k := pl.countDisplaced(v, load, pl.freeCapacityExcept(v, v), -1); k > 0 && (best < 0 || k < fewest) {
			best, fewest, heavy.partition = v, k, -1
		}
		for _, h := range pl.partitionsByCost(v) {
			c := pl.state.cost[h]
			if c <= pl.largeCost {
				break
			}
			if c >= load || pl.isRelocated(h) {
				continue
			}
			if w, k := pl.bestRelocation(v, load-c, h); k > 0 && (best < 0 || k < fewest) {
				best, fewest, heavy = v, k, relocation{h, int32(w)} //nolint:gosec // fewer than 65536 targets
			}
		}
	}
	if best >= 0 && heavy.partition >= 0 {
		pl.relocations = append(pl.relocations, heavy)
	}
	return best
}

func (pl *placer) isRelocated(p int32) bool {
	return slices.ContainsFunc(pl.relocations, func(x relocation) bool { return x.partition == p })
}

// candidates lists the nodes whose fill with the cost is near the best.
func (pl *placer) candidates(fill, cost float64) []int {
	var is []int
	for i := range pl.state.targets {
		if pl.byLoadRatio.position[i] >= 0 && pl.state.targets[i].loadRatioWith(cost) <= fill+candidateRatioMargin && len(is) < maxCandidates {
			is = append(is, i)
		}
	}
	return is
}

// bestRelocation returns the node that takes a heavy partition of v with the fewest
// moves, and their number with those that relieve v of the rest of its load.
func (pl *placer) bestRelocation(v int, rest float64, heavy int32) (best, fewest int) {
	best = -1
	for _, w := range pl.candidates(maxLoadRatio, 0) {
		if w == v {
			continue
		}
		rooms := pl.freeCapacityExcept(v, w)
		k := pl.countDisplaced(v, rest, rooms, heavy)
		if k == 0 {
			continue
		}
		l := 0
		if more := pl.excessWith(w, pl.state.cost[heavy]); more > 0 {
			if l = pl.countDisplaced(w, more, rooms, -1); l == 0 {
				continue
			}
		}
		if best < 0 || 1+k+l < fewest {
			best, fewest = w, 1+k+l
		}
	}
	return best, fewest
}

// excessWith is what node i has too much with the cost.
func (pl *placer) excessWith(i int, cost float64) float64 {
	n := &pl.state.targets[i]
	return n.load + cost - (1+pl.excessTolerance)*n.fairShare
}

// freeCapacityExcept ranks the nodes but two by the room that they have, as negative keys.
// The result is valid until the next call.
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

// countDisplaced is the number of partitions of node i that carry the load and fit in
// the rooms, which they use up; 0 if there are none. One partition is left out.
func (pl *placer) countDisplaced(i int, load float64, rooms *indexedHeap, without int32) int {
	count := 0
	for _, p := range pl.partitionsByCost(i) {
		c, v := pl.state.cost[p], rooms.top()
		if p == without || v < 0 || c > -rooms.priorities[v] {
			continue
		}
		rooms.set(v, rooms.priorities[v]+c)
		count++
		if load -= c; load <= 0 {
			return count
		}
	}
	return 0
}

// partitionsByCost returns the partitions of the node by falling cost.
func (pl *placer) partitionsByCost(i int) []int32 {
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
