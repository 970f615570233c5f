package placement

// heavyFraction is the minimum cost of a heavy partition, as a fraction of the fair share of
// its owner. Ordinary partitions cost much less, and those with a hot key cost more.
const heavyFraction = 0.1

// hotspots separates heavy partitions whose total cost exceeds the fair share of their
// owner. The load of a hot key cannot be divided, so moving other partitions away from its
// owner only helps while the heavy partitions alone are below the fair share.
type hotspots struct {
	state *planState
	// heavyCost is the total cost of the heavy partitions of each target.
	heavyCost []float64
	// heavyPartitions are the heavy partitions of each target by descending cost.
	heavyPartitions [][]int32
}

func newHotspots(state *planState) *hotspots {
	h := &hotspots{state: state, heavyCost: make([]float64, len(state.targets)), heavyPartitions: make([][]int32, len(state.targets))}
	for p, o := range state.owner {
		if o != noTarget && state.cost[p] >= heavyFraction*state.targets[o].fairShare {
			h.heavyCost[o] += state.cost[p]
			h.heavyPartitions[o] = append(h.heavyPartitions[o], int32(p)) //nolint:gosec // at most 65536 partitions
		}
	}
	for i := range h.heavyPartitions {
		state.sortByCost(h.heavyPartitions[i])
	}
	return h
}

// nextMove moves one heavy partition off a target, if the heavy partitions of the target
// exceed its fair share and another target can take the partition with a lower ratio of
// heavy cost to fair share. The cheapest such partition is moved.
func (h *hotspots) nextMove(from int) (p int, to int32, ok bool) {
	t := &h.state.targets[from]
	if h.heavyCost[from] <= t.fairShare {
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

// receiverFor returns the target that would have the lowest ratio of heavy cost to fair
// share with partition p, or -1 if that is not below the present ratio of its owner.
func (h *hotspots) receiverFor(p, from int) int {
	best, lowestRatio := -1, h.heavyCost[from]/h.state.targets[from].fairShare
	for i := range h.state.targets {
		t := &h.state.targets[i]
		if i == from || !t.canReceive || t.fairShare <= 0 {
			continue
		}
		if ratio := (h.heavyCost[i] + h.state.cost[p]) / t.fairShare; ratio < lowestRatio {
			best, lowestRatio = i, ratio
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

// hasHeavy reports whether the target owns a heavy partition.
func (h *hotspots) hasHeavy(i int) bool { return h.heavyCost[i] > 0 }
