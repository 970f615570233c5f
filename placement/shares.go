package placement

// maxSlotFraction is the fraction of the slots of a target that planned load may use. The
// rest absorbs bursts, because requests beyond the slots are queued.
const slotCeiling = 0.85

// setFairShares divides the total cost among the targets that can receive partitions, in
// proportion to their weights. Frozen targets keep their load. If costs are loads in slots,
// no target gets more than maxSlotFraction of its slots while another has free capacity;
// the excess is divided among the others.
func (b *board) setShares(costIsLoad bool) {
	left := b.total
	open := make([]int, 0, len(b.nodes))
	for i := range b.nodes {
		n := &b.nodes[i]
		n.share = 0
		switch {
		case n.receives:
			open = append(open, i)
		case n.frozen:
			n.share = n.load
			left -= n.load
		}
	}
	for len(open) > 0 {
		full := b.divide(open, left)
		if !costIsLoad || left <= 0 {
			return
		}
		rest := open[:0]
		for _, i := range open {
			n := &b.nodes[i]
			if limit := slotCeiling * float64(n.Slots); n.Slots > 0 && n.share > limit {
				n.share = limit
				left -= limit
				continue
			}
			rest = append(rest, i)
		}
		if len(rest) == full {
			return
		}
		if len(rest) == 0 {
			b.overflow(left)
			return
		}
		open = rest
	}
}

// divideByWeight divides a cost among the open targets in proportion to their weights and
// returns the number of these targets.
func (b *board) divide(open []int, cost float64) int {
	sum := 0.0
	for _, i := range open {
		sum += b.nodes[i].Weight
	}
	for _, i := range open {
		b.nodes[i].share = cost * b.nodes[i].Weight / sum
	}
	return len(open)
}

// distributeOverflow adds cost beyond the slot limits of all targets to their fair shares,
// in proportion to their weights.
func (b *board) overflow(cost float64) {
	sum := 0.0
	for i := range b.nodes {
		if b.nodes[i].receives {
			sum += b.nodes[i].Weight
		}
	}
	for i := range b.nodes {
		if n := &b.nodes[i]; n.receives {
			n.share += cost * n.Weight / sum
		}
	}
}
