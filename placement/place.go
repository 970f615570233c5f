package placement

// largeCostFraction is the fraction of the mean fair share from which on a partition is
// placed by comparing all targets, rather than on the one with the lowest load ratio.
const largeCost = 0.05

// placer selects targets for partitions that need a new owner.
type placer struct {
	b     *board
	ranks *ranking
	// largeCost is the cost from which on all targets are compared.
	large float64
	// excessTolerance is the fraction of its fair share by which the load of a target may
	// exceed it without being relieved.
	overfill float64
	// groupStart and grouped are the partitions grouped by owner, sortedPartitions those of
	// each target by descending cost. They are computed when first needed.
	start, index []int32
	parts        [][]int32
	// freeCapacity ranks the targets by free capacity while a target for one partition is
	// searched; freeCapacityScratch is a copy that the search modifies.
	room, scratch *ranking
	// relocations are moves of other heavy partitions that make room for the placed ones.
	passes []pass
}

// relocation is a move of a partition to another target.
type pass struct {
	p, to int32
}

// newPlacer returns a placer over the targets that can receive partitions, or nil if there
// are none. Targets in the zones to avoid are used only if there are no others.
func newPlacer(b *board, avoid map[string]bool) *placer {
	pl := &placer{b: b, ranks: newRanking(len(b.nodes))}
	shares := 0.0
	for i := range b.nodes {
		if n := &b.nodes[i]; n.receives && !avoid[n.Zone] {
			pl.ranks.set(i, n.fill())
			shares += n.share
		}
	}
	if pl.ranks.top() < 0 {
		if len(avoid) > 0 {
			return newPlacer(b, nil)
		}
		return nil
	}
	pl.large = largeCost * shares / float64(len(pl.ranks.heap))
	return pl
}

// place assigns a partition to the target that has the lowest load ratio with it, and
// returns that target.
func (pl *placer) place(p int) int32 {
	to := pl.ranks.top()
	if c := pl.b.cost[p]; c > pl.large {
		pl.room = nil
		to = pl.leastFullWith(c)
	}
	pl.b.give(p, int32(to)) //nolint:gosec // fewer than 65536 targets
	pl.ranks.set(to, pl.b.nodes[to].fill())
	return int32(to) //nolint:gosec // as above
}

// updateRanks updates the order of the targets after their loads were changed elsewhere.
func (pl *placer) refresh() {
	for i := range pl.b.nodes {
		if pl.ranks.pos[i] >= 0 {
			pl.ranks.set(i, pl.b.nodes[i].fill())
		}
	}
}

// leastLoadedWith returns the target that has the lowest load ratio with the given cost. If
// that exceeds the tolerated load, it returns the target that has to give up the fewest
// partitions.
func (pl *placer) leastFullWith(cost float64) int {
	best, fill := pl.ranks.top(), maxFill
	for i := range pl.b.nodes {
		if n := &pl.b.nodes[i]; pl.ranks.pos[i] >= 0 {
			if f := n.fillWith(cost); f < fill {
				best, fill = i, f
			}
		}
	}
	if fill <= 1+pl.overfill {
		return best
	}
	if v := pl.cheapest(cost, fill); v >= 0 {
		return v
	}
	return best
}
