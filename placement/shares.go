package placement

// maxSlotFraction is the part of a target's slots that planned load may use. The
// rest absorbs bursts; a target at its slots only queues.
const maxSlotFraction = 0.85

// setFairShares divides the total cost over the receiving nodes in proportion to
// weight; frozen nodes keep what they have. If costs are loads in slots, no node gets more than maxSlotFraction of
// its slots while another has room; what it cannot take goes to the others.
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

// divideByWeight gives the open nodes their parts of the cost and returns their number.
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

// distributeOverflow adds cost beyond the limits of all nodes in proportion to weight.
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
