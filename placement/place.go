package placement

// largeCostFraction is the cost, as a part of the mean share, from which on the best
// node is searched among all instead of taking the emptiest one.
const largeCostFraction = 0.05

// placer chooses nodes for partitions that need a new owner.
type placer struct {
	state       *planState
	byLoadRatio *indexedHeap
	// largeCostFraction is the cost from which on all nodes are compared.
	largeCost float64
	// excessTolerance is the part of its share by which a node may exceed it without being relieved.
	excessTolerance float64
	// groupStart and index are the partitions grouped by owner, parts those of a node
	// by falling cost; all made when first needed.
	groupStart, grouped []int32
	sortedPartitions    [][]int32
	// freeCapacity ranks the nodes by their room while a place is searched, scratch is a copy to change.
	freeCapacity, freeCapacityScratch *indexedHeap
	// relocations are moves of further heavy partitions that make room for the placed ones.
	relocations []relocation
}

// relocation is a move of a partition to another node.
type relocation struct {
	partition, to int32
}

// newPlacer returns a placer over the receiving nodes, or nil if there are none.
// Nodes in the zones to avoid are used only if there are no others.
func newPlacer(b *planState, avoid map[string]bool) *placer {
	pl := &placer{state: b, byLoadRatio: newIndexedHeap(len(b.targets))}
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

// place gives the partition to the node that is least full with it.
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

// updateRanks takes in loads that others have changed.
func (pl *placer) updateRanks() {
	for i := range pl.state.targets {
		if pl.byLoadRatio.position[i] >= 0 {
			pl.byLoadRatio.set(i, pl.state.targets[i].loadRatio())
		}
	}
}

// leastLoadedWith returns the node that is least full with the cost or, if that
// is beyond its share, the one that has the fewest partitions to give up for it.
func (pl *placer) leastLoadedWith(cost float64) int {
	best, fill := pl.byLoadRatio.top(), maxLoadRatio
	for i := range pl.state.targets {
		if n := &pl.state.targets[i]; pl.byLoadRatio.position[i] >= 0 {
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
