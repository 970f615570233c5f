package placement

// largeCostFractionFraction is the fraction of the mean fair share from which on a partition is
// placed by comparing all targets, rather than on the one with the lowest load ratio.
const largeCostFraction = 0.05

// placer selects targets for partitions that need a new owner.
type placer struct {
	b           *planState
	byLoadRatio *indexedHeap
	// largeCostCost is the cost from which on all targets are compared.
	largeCost float64
	// excessTolerance is the fraction of its fair share by which the load of a target may
	// exceed it without being relieved.
	excessTolerance float64
	// groupStart and grouped are the partitions grouped by owner, sortedPartitions those of
	// each target by descending cost. They are computed when first needed.
	groupStart, grouped []int32
	sortedPartitions    [][]int32
	// freeCapacity ranks the targets by free capacity while a target for one partition is
	// searched; freeCapacityScratch is a copy that the search modifies.
	freeCapacity, freeCapacityScratch *indexedHeap
	// relocations are moves of other heavy partitions that make room for the placed ones.
	relocations []relocation
}

// relocation is a move of a partition to another target.
type relocation struct {
	partition, to int32
}

// newPlacer returns a placer over the targets that can receive partitions, or nil if there
// are none. Targets in the zones to avoid are used only if there are no others.
func newPlacer(b *planState, avoid map[string]bool) *placer {
	pl := &placer{b: b, byLoadRatio: newIndexedHeap(len(b.targets))}
	shares := 0.0
	for i := range b.targets {
		if n := &b.targets[i]; n.canReceive && !avoid[n.Zone] {
			pl.byLoadRatio.set(i, n.loadRatio())
			shares += n.fairShare
		}
	}
	if pl.byLoadRatio.top() < 0 {
		if len(avoid) > 0 {
			return newPlacer(b, nil)
		}
		return nil
	}
	pl.largeCost = largeCostFraction * shares / float64(len(pl.byLoadRatio.heap))
	return pl
}

// place assigns a partition to the target that has the lowest load ratio with it, and
// returns that target.
func (pl *placer) place(p int) int32 {
	to := pl.byLoadRatio.top()
	if c := pl.b.cost[p]; c > pl.largeCost {
		pl.freeCapacity = nil
		to = pl.leastLoadedWith(c)
	}
	pl.b.assign(p, int32(to)) //nolint:gosec // fewer than 65536 targets
	pl.byLoadRatio.set(to, pl.b.targets[to].loadRatio())
	return int32(to) //nolint:gosec // as above
}

// updateRanks updates the order of the targets after their loads were changed elsewhere.
func (pl *placer) updateRanks() {
	for i := range pl.b.targets {
		if pl.byLoadRatio.position[i] >= 0 {
			pl.byLoadRatio.set(i, pl.b.targets[i].loadRatio())
		}
	}
}

// leastLoadedWith returns the target that has the lowest load ratio with the given cost. If
// that exceeds the tolerated load, it returns the target that has to give up the fewest
// partitions.
func (pl *placer) leastLoadedWith(cost float64) int {
	best, fill := pl.byLoadRatio.top(), maxLoadRatio
	for i := range pl.b.targets {
		if n := &pl.b.targets[i]; pl.byLoadRatio.position[i] >= 0 {
			if f := n.loadRatioWith(cost); f < fill {
				best, fill = i, f
			}
		}
	}
	if fill <= 1+pl.excessTolerance {
		return best
	}
	if v := pl.leastDisplacing(cost, fill); v >= 0 {
		return v
	}
	return best
}
