package placement

// heavyPart is the part of its owner's share from which on a partition counts
// as heavy: a partition of ordinary cost is well below it, one with a hot key is not.
const heavyPart = 0.1

// hotspots separates heavy partitions that do not fit on one node together. A
// hot key cannot be split, so relieving its server of other partitions only
// helps while its heavy partitions alone are below the share.
type hotspots struct {
	b *board
	// heavy is the cost of the heavy partitions of each node.
	heavy []float64
	// parts are the heavy partitions of each node by falling cost.
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

// next moves one heavy partition off the node, if its heavy partitions exceed
// its share and another node can hold the partition with a lower heavy fill.
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

// room returns the node with the lowest heavy fill with the partition, if that is below the present one.
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

// hot reports whether the node has a heavy partition.
func (h *hotspots) hot(i int) bool { return h.heavy[i] > 0 }
