package placement

// largeCostFraction is the fraction of the mean fair share above which the cost of a
// partition is large. The partition is then placed by comparing all targets, rather than on
// the one with the lowest load ratio.
const largeCostFraction = 0.05

// placer selects targets for partitions that need a new owner.
type placer struct {
	state *planState
	// byLoadRatio holds the targets that partitions may be assigned to, ranked by load ratio.
	byLoadRatio *indexedHeap
	// largeCost is the cost above which all targets are compared.
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
	// relocations are moves of other large partitions that make room for the placed ones.
	relocations []relocation
}

// relocation is a move of a partition to another target.
type relocation struct {
	partition, to int32
}

// newPlacer returns a placer over the targets that can receive partitions, or nil if there
// are none. Targets in the zones to avoid are used only if there are no others.
func newPlacer(state *planState, avoid map[string]bool) *placer {
	pl := &placer{state: state, byLoadRatio: newIndexedHeap(len(state.targets))}
	shareSum := 0.0
	for i := range state.targets {
		if t := &state.targets[i]; t.canReceive && !avoid[t.Zone] {
			pl.byLoadRatio.set(i, t.loadRatio())
			shareSum += t.fairShare
		}
	}
	if pl.byLoadRatio.top() < 0 {
		if len(avoid) > 0 {
			return newPlacer(state, nil)
		}
		return nil
	}
	pl.largeCost = largeCostFraction * shareSum / float64(len(pl.byLoadRatio.heap))
	return pl
}

// place assigns a partition to a target and returns the target. For a partition of large
// cost, leastLoadedWith selects it; for others, it is the one with the lowest load ratio.
func (pl *placer) place(p int) int32 {
	to := pl.byLoadRatio.top()
	if c := pl.state.cost[p]; c > pl.largeCost {
		pl.freeCapacity = nil
		to = pl.leastLoadedWith(c)
	}
	pl.state.assign(p, int32(to)) //nolint:gosec // fewer than 65536 targets
	pl.byLoadRatio.set(to, pl.state.targets[to].loadRatio())
	return int32(to) //nolint:gosec // as above
}

// updateRanks updates the order of the targets after their loads were changed elsewhere.
func (pl *placer) updateRanks() {
	for i := range pl.state.targets {
		if pl.byLoadRatio.position[i] >= 0 {
			pl.byLoadRatio.set(i, pl.state.targets[i].loadRatio())
		}
	}
}

// leastLoadedWith returns the target that has the lowest load ratio with the given cost. If
// that ratio is above the tolerated one, it returns the target that can make room by giving
// up the fewest partitions, if there is one.
func (pl *placer) leastLoadedWith(cost float64) int {
	best, lowestRatio := pl.byLoadRatio.top(), maxLoadRatio
	for i := range pl.state.targets {
		if t := &pl.state.targets[i]; pl.byLoadRatio.position[i] >= 0 {
			if ratio := t.loadRatioWith(cost); ratio < lowestRatio {
				best, lowestRatio = i, ratio
			}
		}
	}
	if lowestRatio <= 1+pl.excessTolerance {
		return best
	}
	if v := pl.leastDisplacing(cost, lowestRatio); v >= 0 {
		return v
	}
	return best
}
