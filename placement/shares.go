package placement

// slotCeiling is the part of a target's slots that planned load may use. The
// rest absorbs bursts; a target at its slots only queues.
const slotCeiling = 0.85

// setShares divides the total cost over the receiving nodes in proportion to
// weight; frozen nodes keep what they have. If costs are loads in slots, no node gets more than slotCeiling of
// its slots while another has room; what it cannot take goes to the others.
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

// divide gives the open nodes their parts of the cost and returns their number.
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

// overflow adds cost beyond the limits of all nodes in proportion to weight.
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
