package placement

import "slices"

const (
	// maxDeferredMoves bounds the deferred moves of a plan. They are for display; a
	// zone's return can want thousands.
	maxDeferredMoves = 64
	// rebalanceTolerance is the part of a share by which a target may deviate after a change of shares.
	rebalanceTolerance = 0.01
	// reliefTolerance is the same after a move of load. It is well below the
	// smallest Enter, so that noise does not trigger the next move.
	reliefTolerance = 0.005
)

// rebalance fills up targets below their share, and empties those above it,
// after a change of shares. Targets that have not changed are not balanced among
// each other, which would be churn.
func (r *planningPass) rebalance() {
	if !r.needsRebalance() {
		return
	}
	all, changed := r.receivers(false), r.receivers(true)
	done := false
	if r.rebalanceAll || !r.loads.known {
		done = r.emitRebalance(newRebalancer(r.state, rebalanceTolerance, true, all, all))
	} else {
		to := newRebalancer(r.state, rebalanceTolerance, true, all, changed)
		to.keepExcess = true
		from := newRebalancer(r.state, rebalanceTolerance, true, changed, all)
		done = r.emitRebalance(to)
		done = r.emitRebalance(from) && done
	}
	if done {
		r.rebalanceAll = false
		for _, i := range changed {
			r.state.targets[i].history.shareChanged = false
		}
	}
}

func (r *planningPass) emitRebalance(rb *rebalancer) bool {
	return r.emitMoves(rb, &r.moveTokens, func(int32) string { return ReasonWeight })
}

// receivers lists the nodes that receive partitions, all or those whose share has changed.
func (r *planningPass) receivers(changed bool) []int {
	var is []int
	for i := range r.state.targets {
		if n := &r.state.targets[i]; n.canReceive && (!changed || n.history.shareChanged) {
			is = append(is, i)
		}
	}
	return is
}

// emitMoves hands out the rebalancer's moves and returns true when none is left or deferred.
func (r *planningPass) emitMoves(rb *rebalancer, charge *moveBudget, reason func(from int32) string) bool {
	before := len(r.plan.Deferred)
	for len(r.plan.Deferred) < maxDeferredMoves {
		p, from, to, ok := rb.nextMove()
		if !ok {
			return len(r.plan.Deferred) == before
		}
		r.emit(charge, p, from, to, reason(from))
	}
	return false
}

// relieveOverload moves load off targets that have been above their share for long enough.
func (r *planningPass) relieveOverload() {
	if !r.loads.known || r.needsRebalance() {
		return
	}
	confirmed, waiting := r.findOverloaded()
	if len(confirmed) > 0 {
		r.relieveTargets(confirmed, "")
	}
	if len(waiting) > 0 && len(r.plan.Deferred) < maxDeferredMoves {
		r.relieveTargets(waiting, ReasonUnconfirmed)
	}
}

// findOverloaded returns the nodes above their share, apart by whether that is confirmed.
func (r *planningPass) findOverloaded() (confirmed, waiting []int) {
	mean := r.state.totalCost / float64(max(1, len(r.state.cost)))
	var mild []int
	var noise []float64
	for i := range r.state.targets {
		n := &r.state.targets[i]
		if !n.canReceive || n.history.reportIsStale(r.in.Now) || n.load < idleFraction*float64(n.Slots) {
			n.history.overloaded = false
			continue
		}
		excess := n.load - n.fairShare
		limit := max(r.thresholds.enter*n.fairShare, mean)
		if excess > limit {
			if noise == nil {
				noise = r.loads.standardErrors(r.state)
			}
			limit += r.settings.NoiseMargin * noise[i]
		}
		confirm := r.thresholds.confirm
		if excess > r.thresholds.severe*n.fairShare {
			confirm = r.thresholds.severeConfirm
		}
		switch ok := n.history.confirmOverload(r.in.Now, excess > limit, confirm); {
		case ok:
			confirmed = append(confirmed, i)
		case n.history.overloaded:
			waiting = append(waiting, i)
		case excess > max(r.thresholds.enter*n.fairShare, mean)/2:
			mild = append(mild, i)
		}
	}
	if len(confirmed) > 0 {
		// Relieving the mild ones too keeps them from crossing the limit one by one by noise.
		confirmed = append(confirmed, mild...)
	}
	return confirmed, waiting
}

// relieveTargets first separates heavy partitions and then moves others off the
// donors. Moves with a wait reason are only announced.
func (r *planningPass) relieveTargets(donors []int, wait string) {
	spots := newHotspots(r.state)
	for i := 0; i < len(donors); i++ {
		for {
			p, to, ok := spots.nextMove(donors[i])
			if !ok {
				break
			}
			r.emitOrDefer(p, int32(donors[i]), to, ReasonHotKey, wait) //nolint:gosec // fewer than 65536 targets
			if !slices.Contains(donors, int(to)) {
				donors = append(donors, int(to))
			}
		}
	}
	rb := newRebalancer(r.state, reliefTolerance, false, donors, r.receivers(false))
	for len(r.plan.Deferred) < maxDeferredMoves {
		p, from, to, ok := rb.nextMove()
		if !ok {
			return
		}
		reason := ReasonLoad
		if spots.hasHeavy(int(from)) {
			reason = ReasonHotKey
		}
		r.emitOrDefer(p, from, to, reason, wait)
	}
}

func (r *planningPass) emitOrDefer(p int, from, to int32, reason, wait string) {
	if wait == "" {
		r.emit(&r.moveTokens, p, from, to, reason)
		return
	}
	r.deferMove(r.newMove(p, from, to, wait))
}

func (r *planningPass) newMove(p int, from, to int32, reason string) Move {
	return Move{
		Change: Change{Partition: p, Target: r.state.targets[to].Name}, From: r.state.targets[from].Name, Reason: reason,
	}
}

func (r *planningPass) deferMove(m Move) {
	if len(r.plan.Deferred) < maxDeferredMoves {
		r.plan.Deferred = append(r.plan.Deferred, m)
	}
}

// emit hands the move out if the budget allows it, else defers it.
func (r *planningPass) emit(from *moveBudget, p int, donor, to int32, reason string) {
	m := r.newMove(p, donor, to, reason)
	if from.available() == 0 {
		m.Reason = ReasonBudgetExhausted
		r.deferMove(m)
		return
	}
	from.charge(1)
	r.startedMoves[p] = startedMove{from: m.From, to: m.Target, reason: reason, startedAt: r.in.Now}
	r.plan.Moves = append(r.plan.Moves, m)
}

// deferHoldDownMoves defers the moves that targets in hold-down will get.
func (r *planningPass) deferHoldDownMoves() {
	held := false
	for i := range r.state.targets {
		n := &r.state.targets[i]
		if n.eligible() && !n.canReceive {
			n.canReceive, n.frozen, held = true, false, true
		}
	}
	if !held || len(r.plan.Deferred) >= maxDeferredMoves {
		return
	}
	r.state.setFairShares(r.loads.known)
	rb := newRebalancer(r.state, rebalanceTolerance, true, r.receivers(false), r.receivers(false))
	for len(r.plan.Deferred) < maxDeferredMoves {
		p, from, to, ok := rb.nextMove()
		if !ok {
			return
		}
		if r.state.targets[to].history.inHoldDown(r.in.Now) {
			r.deferMove(r.newMove(p, from, to, ReasonHoldDown))
		}
	}
}
