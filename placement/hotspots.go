package placement

// heavyFraction is the fraction of the fair share of its owner from which on a partition
// counts as heavy. Ordinary partitions are well below it, and those with a hot key above.
const heavyPart = 0.1

// hotspots separates heavy partitions whose total cost exceeds the fair share of their
// owner. The load of a hot key cannot be divided, so moving other partitions away from its
// owner only helps while the heavy partitions alone are below the fair share.
type hotspots struct {
	b *board
	// heavyCost is the total cost of the heavy partitions of each target.
	heavy []float64
	// heavyPartitions are the heavy partitions of each target by descending cost.
	parts [][]int32
}

func newHotspots(b *board) *hotspots {
	h := &hotspots{b: b, heavy: make([]float64, len(b.nodes)), parts: make([][]int32, len(b.nodes))}
	for p, o := range b.owner {
		if o != nobody && b.cost[p] >= heavyPart*b.nodes[o].share {
			h.heavy[o] += b.cost[p]
			h.parts[o] = append(h.parts[o], int32(p)) //nolint:gosec // at most 65536 partitions
		}
	}
	for i := range h.parts {
		b.byCost(h.parts[i])
	}
	return h
}

// nextMove moves one heavy partition off a target, if the heavy partitions of the target
// exceed its fair share and another target can take the partition with a lower ratio of
// heavy cost to fair share. The cheapest such partition is moved.
func (h *hotspots) next(from int) (p int, to int32, ok bool) {
	n := &h.b.nodes[from]
	if h.heavy[from] <= n.share {
		return 0, 0, false
	}
	for i := len(h.parts[from]) - 1; i >= 0; i-- {
		if p = int(h.parts[from][i]); h.b.pinned[p] {
			continue
		}
		if v := h.room(p, from); v >= 0 {
			h.parts[from] = append(h.parts[from][:i], h.parts[from][i+1:]...)
			h.take(p, from, v)
			return p, int32(v), true //nolint:gosec // fewer than 65536 targets
		}
	}
	return 0, 0, false
}

// receiverFor returns the target that would have the lowest ratio of heavy cost to fair
// share with partition p, or -1 if that is not below the present ratio of its owner.
func (h *hotspots) room(p, from int) int {
	best, fill := -1, h.heavy[from]/h.b.nodes[from].share
	for i := range h.b.nodes {
		n := &h.b.nodes[i]
		if i == from || !n.receives || n.share <= 0 {
			continue
		}
		if f := (h.heavy[i] + h.b.cost[p]) / n.share; f < fill {
			best, fill = i, f
		}
	}
	return best
}

func (h *hotspots) take(p, from, to int) {
	h.heavy[from] -= h.b.cost[p]
	h.heavy[to] += h.b.cost[p]
	h.parts[to] = append(h.parts[to], int32(p)) //nolint:gosec // at most 65536 partitions
	h.b.byCost(h.parts[to])
	h.b.give(p, int32(to)) //nolint:gosec // fewer than 65536 targets
}

// hasHeavy reports whether the target owns a heavy partition.
func (h *hotspots) hot(i int) bool { return h.heavy[i] > 0 }
