package placement

// maxSlotFraction is the fraction of the slots of a target that planned load may use. The
// rest absorbs bursts, because requests beyond the slots are queued.
const maxSlotFraction = 0.85

// setFairShares divides the total cost among the targets that can receive partitions, in
// proportion to their weights. Frozen targets keep their load. If costs are loads in slots,
// no target gets more than maxSlotFraction of its slots while another has free capacity;
// the excess is divided among the open targets, those that have not reached that limit.
func (state *planState) setFairShares(costIsLoad bool) {
	remaining := state.totalCost
	open := make([]int, 0, len(state.targets))
	for i := range state.targets {
		t := &state.targets[i]
		t.fairShare = 0
		switch {
		case t.canReceive:
			open = append(open, i)
		case t.frozen:
			t.fairShare = t.load
			remaining -= t.load
		}
	}
	for len(open) > 0 {
		openCount := state.divideByWeight(open, remaining)
		if !costIsLoad || remaining <= 0 {
			return
		}
		stillOpen := open[:0]
		for _, i := range open {
			t := &state.targets[i]
			if limit := maxSlotFraction * float64(t.Slots); t.Slots > 0 && t.fairShare > limit {
				t.fairShare = limit
				remaining -= limit
				continue
			}
			stillOpen = append(stillOpen, i)
		}
		if len(stillOpen) == openCount {
			return
		}
		if len(stillOpen) == 0 {
			state.distributeOverflow(remaining)
			return
		}
		open = stillOpen
	}
}

// divideByWeight divides a cost among the open targets in proportion to their weights and
// returns the number of these targets.
func (state *planState) divideByWeight(open []int, cost float64) int {
	sum := 0.0
	for _, i := range open {
		sum += state.targets[i].Weight
	}
	for _, i := range open {
		state.targets[i].fairShare = cost * state.targets[i].Weight / sum
	}
	return len(open)
}

// distributeOverflow adds cost beyond the slot limits of all targets to their fair shares,
// in proportion to their weights.
func (state *planState) distributeOverflow(cost float64) {
	sum := 0.0
	for i := range state.targets {
		if state.targets[i].canReceive {
			sum += state.targets[i].Weight
		}
	}
	for i := range state.targets {
		if t := &state.targets[i]; t.canReceive {
			t.fairShare += cost * t.Weight / sum
		}
	}
}
