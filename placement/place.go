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
}

// newPlacer returns a placer over the receiving nodes, or nil if there are none.
func newPlacer(b *board) *placer {
	pl := &placer{b: b, ranks: newRanking(len(b.nodes))}
	shares := 0.0
	for i := range b.nodes {
		if b.nodes[i].receives {
			pl.ranks.set(i, b.nodes[i].fill())
			shares += b.nodes[i].share
		}
	}
	if pl.ranks.top() < 0 {
		return nil
	}
	pl.large = largeCost * shares / float64(len(pl.ranks.heap))
	return pl
}

// place gives the partition to the node that is least full with it.
func (pl *placer) place(p int) int32 {
	to := pl.ranks.top()
	if c := pl.b.cost[p]; c > pl.large {
		to = pl.leastFullWith(c)
	}
	pl.b.give(p, int32(to)) //nolint:gosec // fewer than 65536 targets
	pl.ranks.set(to, pl.b.nodes[to].fill())
	return int32(to) //nolint:gosec // as above
}

func (pl *placer) leastFullWith(cost float64) int {
	best, fill := pl.ranks.top(), maxFill
	for i := range pl.b.nodes {
		n := &pl.b.nodes[i]
		if !n.receives {
			continue
		}
		if f := n.fillWith(cost); f < fill {
			best, fill = i, f
		}
	}
	return best
}
