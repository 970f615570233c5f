package placement

import "slices"

const (
	// maxDeferredMoves limits the deferred moves of a plan, which only serve for display.
	// There can be thousands when a zone returns.
	deferredLimit = 64
	// rebalanceTolerance is the fraction of its fair share by which the load of a target
	// may deviate after rebalancing.
	growTolerance = 0.01
	// reliefTolerance is the same after load was moved off a target. It is well below the
	// smallest Settings.Enter, so that noise does not trigger the next move.
	relieveTolerance = 0.005
)

// rebalance fills targets below their fair share, and relieves those above it, after the
// fair shares have changed. Targets whose fair share has not changed are not balanced among
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

// receivers returns the targets that can receive partitions: all, or only those whose fair
// share has changed.
func (r *round) receivers(changed bool) []int {
	var is []int
	for i := range r.b.nodes {
		if n := &r.b.nodes[i]; n.receives && (!changed || n.hist.growing) {
			is = append(is, i)
		}
	}
	return is
}

// emitMoves emits the moves of the rebalancer, with the reason for their donor, until the
// limit of deferred moves is reached. It returns true if no move is left or was deferred.
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

// relieveOverload moves load off targets that have been above their fair share for long
// enough.
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

// findOverloaded returns the targets whose load exceeds their fair share: those for which
// that is confirmed and those for which it is not yet.
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
		// Relieving slightly overloaded targets too prevents noise from taking them over
		// the limit one after the other.
		confirmed = append(confirmed, mild...)
	}
	return confirmed, waiting
}

// relieveTargets first separates heavy partitions and then moves others off the donors.
// With a wait reason, the moves are only deferred, for that reason.
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

// emit adds a move to the plan if the budget permits it, otherwise it defers the move.
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

// deferHoldDownMoves adds the moves that targets in hold-down will receive to the deferred
// moves.
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
