package placement

import "slices"

const (
	// deferredLimit bounds the deferred moves of a plan. They are for display; a
	// zone's return can want thousands.
	deferredLimit = 64
	// growTolerance is the part of a share by which a target may deviate after a change of shares.
	growTolerance = 0.01
	// relieveTolerance is the same after a move of load. It is well below the
	// smallest Enter, so that noise does not trigger the next move.
	relieveTolerance = 0.005
)

// rebalance fills up targets below their share, and empties those above it,
// after a change of shares. Targets that have not changed are not balanced among
// each other, which would be churn.
func (r *round) rebalance() {
	if !r.filling() {
		return
	}
	all, changed := r.receivers(false), r.receivers(true)
	done := false
	if r.settling || !r.loads.known {
		done = r.fillUp(newRebalancer(r.b, growTolerance, true, all, all))
	} else {
		to := newRebalancer(r.b, growTolerance, true, all, changed)
		to.keepExcess = true
		from := newRebalancer(r.b, growTolerance, true, changed, all)
		done = r.fillUp(to)
		done = r.fillUp(from) && done
	}
	if done {
		r.settling = false
		for _, i := range changed {
			r.b.nodes[i].hist.growing = false
		}
	}
}

func (r *round) fillUp(rb *rebalancer) bool {
	return r.drain(rb, &r.moves, func(int32) string { return ReasonWeight })
}

// receivers lists the nodes that receive partitions, all or those whose share has changed.
func (r *round) receivers(changed bool) []int {
	var is []int
	for i := range r.b.nodes {
		if n := &r.b.nodes[i]; n.receives && (!changed || n.hist.growing) {
			is = append(is, i)
		}
	}
	return is
}

// drain hands out the rebalancer's moves and returns true when none is left or deferred.
func (r *round) drain(rb *rebalancer, charge *budget, reason func(from int32) string) bool {
	before := len(r.plan.Deferred)
	for len(r.plan.Deferred) < deferredLimit {
		p, from, to, ok := rb.next()
		if !ok {
			return len(r.plan.Deferred) == before
		}
		r.emit(charge, p, from, to, reason(from))
	}
	return false
}

// relieve moves load off targets that have been above their share for long enough.
func (r *round) relieve() {
	if !r.loads.known || r.filling() {
		return
	}
	confirmed, waiting := r.overloaded()
	if len(confirmed) > 0 {
		r.relieveFrom(confirmed, "")
	}
	if len(waiting) > 0 && len(r.plan.Deferred) < deferredLimit {
		r.relieveFrom(waiting, ReasonConfirmed)
	}
}

// overloaded returns the nodes above their share, apart by whether that is confirmed.
func (r *round) overloaded() (confirmed, waiting []int) {
	mean := r.b.total / float64(max(1, len(r.b.cost)))
	var mild []int
	var noise []float64
	for i := range r.b.nodes {
		n := &r.b.nodes[i]
		if !n.receives || n.hist.stale(r.in.Now) || n.load < idlePart*float64(n.Slots) {
			n.hist.over = false
			continue
		}
		excess := n.load - n.share
		limit := max(r.th.enter*n.share, mean)
		if excess > limit {
			if noise == nil {
				noise = r.loads.noise(r.b)
			}
			limit += r.set.NoiseMargin * noise[i]
		}
		confirm := r.th.confirm
		if excess > r.th.severe*n.share {
			confirm = r.th.severeConfirm
		}
		switch ok := n.hist.noteOver(r.in.Now, excess > limit, confirm); {
		case ok:
			confirmed = append(confirmed, i)
		case n.hist.over:
			waiting = append(waiting, i)
		case excess > max(r.th.enter*n.share, mean)/2:
			mild = append(mild, i)
		}
	}
	if len(confirmed) > 0 {
		// Relieving the mild ones too keeps them from crossing the limit one by one by noise.
		confirmed = append(confirmed, mild...)
	}
	return confirmed, waiting
}

// relieveFrom first separates heavy partitions and then moves others off the
// donors. Moves with a wait reason are only announced.
func (r *round) relieveFrom(donors []int, wait string) {
	spots := newHotspots(r.b)
	for i := 0; i < len(donors); i++ {
		for {
			p, to, ok := spots.next(donors[i])
			if !ok {
				break
			}
			r.emitOrWait(p, int32(donors[i]), to, ReasonHotKey, wait) //nolint:gosec // fewer than 65536 targets
			if !slices.Contains(donors, int(to)) {
				donors = append(donors, int(to))
			}
		}
	}
	rb := newRebalancer(r.b, relieveTolerance, false, donors, r.receivers(false))
	for len(r.plan.Deferred) < deferredLimit {
		p, from, to, ok := rb.next()
		if !ok {
			return
		}
		reason := ReasonLoad
		if spots.hot(int(from)) {
			reason = ReasonHotKey
		}
		r.emitOrWait(p, from, to, reason, wait)
	}
}

func (r *round) emitOrWait(p int, from, to int32, reason, wait string) {
	if wait == "" {
		r.emit(&r.moves, p, from, to, reason)
		return
	}
	r.postpone(r.move(p, from, to, wait))
}

func (r *round) move(p int, from, to int32, reason string) Move {
	return Move{
		Change: Change{Partition: p, Target: r.b.nodes[to].Name}, From: r.b.nodes[from].Name, Reason: reason,
	}
}

func (r *round) postpone(m Move) {
	if len(r.plan.Deferred) < deferredLimit {
		r.plan.Deferred = append(r.plan.Deferred, m)
	}
}

// emit hands the move out if the budget allows it, else defers it.
func (r *round) emit(from *budget, p int, donor, to int32, reason string) {
	m := r.move(p, donor, to, reason)
	if from.available() == 0 {
		m.Reason = ReasonBudget
		r.postpone(m)
		return
	}
	from.take(1)
	r.started[p] = startedMove{from: m.From, to: m.Target, reason: reason, at: r.in.Now}
	r.plan.Moves = append(r.plan.Moves, m)
}

// announce defers the moves that targets in hold-down will get.
func (r *round) announce() {
	held := false
	for i := range r.b.nodes {
		n := &r.b.nodes[i]
		if n.eligible() && !n.receives {
			n.receives, n.frozen, held = true, false, true
		}
	}
	if !held || len(r.plan.Deferred) >= deferredLimit {
		return
	}
	r.b.setShares(r.loads.known)
	rb := newRebalancer(r.b, growTolerance, true, r.receivers(false), r.receivers(false))
	for len(r.plan.Deferred) < deferredLimit {
		p, from, to, ok := rb.next()
		if !ok {
			return
		}
		if r.b.nodes[to].hist.held(r.in.Now) {
			r.postpone(r.move(p, from, to, ReasonHoldDown))
		}
	}
}
