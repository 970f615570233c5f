package placement

// heavyFraction is the fraction of the fair share of its owner from which on a partition
// counts as heavy. Ordinary partitions are well below it, and those with a hot key above.
const heavyFraction = 0.1

// hotspots separates heavy partitions whose total cost exceeds the fair share of their
// owner. The load of a hot key cannot be divided, so moving other partitions away from its
// owner only helps while the heavy partitions alone are below the fair share.
type hotspots struct {
	b *planState
	// heavyCostCost is the total cost of the heavy partitions of each target.
	heavyCost []float64
	// heavyPartitions are the heavy partitions of each target by descending cost.
	heavyPartitions [][]int32
}

func newHotspots(b *planState) *hotspots {
	h := &hotspots{b: b, heavyCost: make([]float64, len(b.targets)), heavyPartitions: make([][]int32, len(b.targets))}
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

// nextMoveMove moves one heavy partition off a target, if the heavy partitions of the target
// exceed its fair share and another target can take the partition with a lower ratio of
// heavy cost to fair share. The cheapest such partition is moved.
func (h *hotspots) nextMove(from int) (p int, to int32, ok bool) {
	n := &h.b.targets[from]
	if h.heavyCost[from] <= n.fairShare {
		return 0, 0, false
	}
	for i := len(h.heavyPartitions[from]) - 1; i >= 0; i-- {
		if p = int(h.heavyPartitions[from][i]); h.b.pinned[p] {
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

// receiverFor returns the target that would have the lowest ratio of heavy cost to fair
// share with partition p, or -1 if that is not below the present ratio of its owner.
func (h *hotspots) receiverFor(p, from int) int {
	best, fill := -1, h.heavyCost[from]/h.b.targets[from].fairShare
	for i := range h.b.targets {
		n := &h.b.targets[i]
		if i == from || !n.canReceive || n.fairShare <= 0 {
			continue
		}
		if f := (h.heavyCost[i] + h.b.cost[p]) / n.fairShare; f < fill {
			best, fill = i, f
		}
	}
	return best
}

func (h *hotspots) move(p, from, to int) {
	h.heavyCost[from] -= h.b.cost[p]
	h.heavyCost[to] += h.b.cost[p]
	h.heavyPartitions[to] = append(h.heavyPartitions[to], int32(p)) //nolint:gosec // at most 65536 partitions
	h.b.sortByCost(h.heavyPartitions[to])
	h.b.assign(p, int32(to)) //nolint:gosec // fewer than 65536 targets
}

// hasHeavy reports whether the target owns a heavy partition.
func (h *hotspots) hasHeavy(i int) bool { return h.heavyCost[i] > 0 }
