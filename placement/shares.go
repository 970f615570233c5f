package placement

// maxSlotFraction is the fraction of the slots of a target that planned load may use. The
// rest absorbs bursts, because requests beyond the slots are queued.
const maxSlotFraction = 0.85

// setFairShares divides the total cost among the targets that can receive partitions, in
// proportion to their weights. Frozen targets keep their load. If costs are loads in slots,
// no target gets more than maxSlotFraction of its slots while another has free capacity;
// the excess is divided among the others.
func (b *planState) setFairShares(costIsLoad bool) {
	left := b.totalCost
	open := make([]int, 0, len(b.targets))
	for i := range b.targets {
		n := &b.targets[i]
		n.fairShare = 0
		switch {
		case n.canReceive:
			open = append(open, i)
		case n.frozen:
			n.fairShare = n.load
			left -= n.load
		}
	}
	for len(open) > 0 {
		full := b.divideByWeight(open, left)
		if !costIsLoad || left <= 0 {
			return
		}
		rest := open[:0]
		for _, i := range open {
			n := &b.targets[i]
			if limit := maxSlotFraction * float64(n.Slots); n.Slots > 0 && n.fairShare > limit {
				n.fairShare = limit
				left -= limit
				continue
			}
			rest = append(rest, i)
		}
		if len(rest) == full {
			return
		}
		if len(rest) == 0 {
			b.distributeOverflow(left)
			return
		}
		open = rest
	}
}

// divideByWeightByWeight divides a cost among the open targets in proportion to their weights and
// returns the number of these targets.
func (b *planState) divideByWeight(open []int, cost float64) int {
	sum := 0.0
	for _, i := range open {
		sum += b.targets[i].Weight
	}
	for _, i := range open {
		b.targets[i].fairShare = cost * b.targets[i].Weight / sum
	}
	return len(open)
}

// distributeOverflow adds cost beyond the slot limits of all targets to their fair shares,
// in proportion to their weights.
func (b *planState) distributeOverflow(cost float64) {
	sum := 0.0
	for i := range b.targets {
		if b.targets[i].canReceive {
			sum += b.targets[i].Weight
		}
	}
	for i := range b.targets {
		if n := &b.targets[i]; n.canReceive {
			n.fairShare += cost * n.Weight / sum
		}
	}
}
