package placement

// largeCost is the cost, as a part of the mean share, from which on the best
// node is searched among all instead of taking the emptiest one.
const largeCost = 0.05

// placer chooses nodes for partitions that need a new owner.
type placer struct {
	b     *board
	ranks *ranking
	// large is the cost from which on all nodes are compared.
	large float64
	// overfill is the part of its share by which a node may exceed it without being relieved.
	overfill float64
	// start and index are the partitions grouped by owner, parts those of a node
	// by falling cost; all made when first needed.
	start, index []int32
	parts        [][]int32
	// room ranks the nodes by their room while a place is searched, scratch is a copy to change.
	room, scratch *ranking
	// passes are moves of further heavy partitions that make room for the placed ones.
	passes []pass
}

// pass is a move of a partition to another node.
type pass struct {
	p, to int32
}

// newPlacer returns a placer over the receiving nodes, or nil if there are none.
// Nodes in the zones to avoid are used only if there are no others.
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

// place gives the partition to the node that is least full with it.
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

// refresh takes in loads that others have changed.
func (pl *placer) refresh() {
	for i := range pl.b.nodes {
		if pl.ranks.pos[i] >= 0 {
			pl.ranks.set(i, pl.b.nodes[i].fill())
		}
	}
}

// leastFullWith returns the node that is least full with the cost or, if that
// is beyond its share, the one that has the fewest partitions to give up for it.
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
