package placement

// heavyFraction is the part of its owner's share from which on a partition counts
// as heavy: a partition of ordinary cost is well below it, one with a hot key is not.
const heavyFraction = 0.1

// hotspots separates heavy partitions that do not fit on one node together. A
// hot key cannot be split, so relieving its server of other partitions only
// helps while its heavy partitions alone are below the share.
type hotspots struct {
	state *planState
	// heavyCost is the cost of the heavy partitions of each node.
	heavyCost []float64
	// heavyPartitions are the heavy partitions of each node by falling cost.
	heavyPartitions [][]int32
}

func newHotspots(b *planState) *hotspots {
	h := &hotspots{state: b, heavyCost: make([]float64, len(b.targets)), heavyPartitions: make([][]int32, len(b.targets))}
	for p, o := range b.owner {
		if o != noTarget && b.cost[p] >= heavyFraction*b.targets[o].fairShare {
			h.heavyCost[o] += b.cost[p]
			h.heavyPartitions[o] = append(h.heavyPartitions[o], int32(p)) //nolint:gosec // at most 65536 partitions
		}
	}
	for i := range h.heavyPartitions {
		b.sortByCost(h.heavyPartitions[i])
	}
	return h
}

// nextMove moves one heavy partition off the node, if its heavy partitions exceed
// its share and another node can hold the partition with a lower heavy fill.
func (h *hotspots) nextMove(from int) (p int, to int32, ok bool) {
	n := &h.state.targets[from]
	if h.heavyCost[from] <= n.fairShare {
		return 0, 0, false
	}
	for i := len(h.heavyPartitions[from]) - 1; i >= 0; i-- {
		if p = int(h.heavyPartitions[from][i]); h.state.pinned[p] {
			continue
		}
		if v := h.receiverFor(p, from); v >= 0 {
			h.heavyPartitions[from] = append(h.heavyPartitions[from][:i], h.heavyPartitions[from][i+1:]...)
			h.move(p, from, v)
			return p, int32(v), true //nolint:gosec // fewer than 65536 targets
		}
	}
	return 0, 0, false
}

// receiverFor returns the node with the lowest heavy fill with the partition, if that is below the present one.
func (h *hotspots) receiverFor(p, from int) int {
	best, fill := -1, h.heavyCost[from]/h.state.targets[from].fairShare
	for i := range h.state.targets {
		n := &h.state.targets[i]
		if i == from || !n.canReceive || n.fairShare <= 0 {
			continue
		}
		if f := (h.heavyCost[i] + h.state.cost[p]) / n.fairShare; f < fill {
			best, fill = i, f
		}
	}
	return best
}

func (h *hotspots) move(p, from, to int) {
	h.heavyCost[from] -= h.state.cost[p]
	h.heavyCost[to] += h.state.cost[p]
	h.heavyPartitions[to] = append(h.heavyPartitions[to], int32(p)) //nolint:gosec // at most 65536 partitions
	h.state.sortByCost(h.heavyPartitions[to])
	h.state.assign(p, int32(to)) //nolint:gosec // fewer than 65536 targets
}

// hasHeavy reports whether the node has a heavy partition.
func (h *hotspots) hasHeavy(i int) bool { return h.heavyCost[i] > 0 }
