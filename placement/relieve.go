package placement

import "slices"

const (
	// maxDeferredMoves limits the deferred moves of a plan, which only serve for display.
	// There can be thousands when a zone returns.
	maxDeferredMoves = 64
	// rebalanceTolerance is the fraction of its fair share by which the load of a target
	// may deviate after rebalancing.
	rebalanceTolerance = 0.01
	// reliefTolerance is the fraction that applies instead when overloaded targets are
	// relieved. It is well below the defaults of Settings.Enter, so that noise does not
	// trigger the next move.
	reliefTolerance = 0.005
)

// rebalance fills targets below their fair share, and relieves those above it, after the
// fair shares have changed. Targets whose fair share has not changed are not balanced among
// each other, which would be churn.
func (pass *planningPass) rebalance() {
	if !pass.needsRebalance() {
		return
	}
	all, changed := pass.receivers(false), pass.receivers(true)
	done := false
	if pass.rebalanceAll || !pass.loads.known {
		done = pass.emitRebalance(newRebalancer(pass.state, rebalanceTolerance, true, all, all))
	} else {
		towardsChanged := newRebalancer(pass.state, rebalanceTolerance, true, all, changed)
		towardsChanged.keepExcess = true
		offChanged := newRebalancer(pass.state, rebalanceTolerance, true, changed, all)
		done = pass.emitRebalance(towardsChanged)
		done = pass.emitRebalance(offChanged) && done
	}
	if done {
		pass.rebalanceAll = false
		for _, i := range changed {
			pass.state.targets[i].history.shareChanged = false
		}
	}
}

func (pass *planningPass) emitRebalance(rb *rebalancer) bool {
	return pass.emitMoves(rb, &pass.moveTokens, func(int32) string { return ReasonWeight })
}

// receivers returns the targets that can receive partitions: all, or only those whose fair
// share has changed.
func (pass *planningPass) receivers(onlyChanged bool) []int {
	var indexes []int
	for i := range pass.state.targets {
		if t := &pass.state.targets[i]; t.canReceive && (!onlyChanged || t.history.shareChanged) {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// emitMoves emits the moves of the rebalancer, with the reason for their donor, until the
// limit of deferred moves is reached. It returns true if no move is left and none was
// deferred.
func (pass *planningPass) emitMoves(rb *rebalancer, budget *moveBudget, reason func(from int32) string) bool {
	before := len(pass.plan.Deferred)
	for len(pass.plan.Deferred) < maxDeferredMoves {
		p, from, to, ok := rb.nextMove()
		if !ok {
			return len(pass.plan.Deferred) == before
		}
		pass.emit(budget, p, from, to, reason(from))
	}
	return false
}

// relieveOverload moves load off targets that have been above their fair share for long
// enough.
func (pass *planningPass) relieveOverload() {
	if !pass.loads.known || pass.needsRebalance() {
		return
	}
	confirmed, waiting := pass.findOverloaded()
	if len(confirmed) > 0 {
		pass.relieveTargets(confirmed, "")
	}
	if len(waiting) > 0 && len(pass.plan.Deferred) < maxDeferredMoves {
		pass.relieveTargets(waiting, ReasonUnconfirmed)
	}
}

// findOverloaded returns the targets whose load exceeds their fair share: those for which
// that is confirmed and those for which it is not yet.
func (pass *planningPass) findOverloaded() (confirmed, waiting []int) {
	meanCost := pass.state.totalCost / float64(max(1, len(pass.state.cost)))
	var slightlyOverloaded []int
	var noise []float64
	for i := range pass.state.targets {
		t := &pass.state.targets[i]
		if !t.canReceive || t.history.reportIsStale(pass.in.Now) || t.load < idleFraction*float64(t.Slots) {
			t.history.overloaded = false
			continue
		}
		excess := t.load - t.fairShare
		limit := max(pass.thresholds.enter*t.fairShare, meanCost)
		if excess > limit {
			if noise == nil {
				noise = pass.loads.standardErrors(pass.state)
			}
			limit += pass.settings.NoiseMargin * noise[i]
		}
		confirm := pass.thresholds.confirm
		if excess > pass.thresholds.severe*t.fairShare {
			confirm = pass.thresholds.severeConfirm
		}
		switch ok := t.history.confirmOverload(pass.in.Now, excess > limit, confirm); {
		case ok:
			confirmed = append(confirmed, i)
		case t.history.overloaded:
			waiting = append(waiting, i)
		case excess > max(pass.thresholds.enter*t.fairShare, meanCost)/2:
			slightlyOverloaded = append(slightlyOverloaded, i)
		}
	}
	if len(confirmed) > 0 {
		// Relieving slightly overloaded targets too prevents noise from taking them over
		// the limit one after the other.
		confirmed = append(confirmed, slightlyOverloaded...)
	}
	return confirmed, waiting
}

// relieveTargets first separates heavy partitions, whose receivers become donors as well,
// and then moves others off the donors. If waitReason is not empty, all these moves are
// deferred, for that reason.
func (pass *planningPass) relieveTargets(donors []int, waitReason string) {
	spots := newHotspots(pass.state)
	for i := 0; i < len(donors); i++ {
		for {
			p, to, ok := spots.nextMove(donors[i])
			if !ok {
				break
			}
			pass.emitOrDefer(p, int32(donors[i]), to, ReasonHotKey, waitReason) //nolint:gosec // fewer than 65536 targets
			if !slices.Contains(donors, int(to)) {
				donors = append(donors, int(to))
			}
		}
	}
	rb := newRebalancer(pass.state, reliefTolerance, false, donors, pass.receivers(false))
	for len(pass.plan.Deferred) < maxDeferredMoves {
		p, from, to, ok := rb.nextMove()
		if !ok {
			return
		}
		reason := ReasonLoad
		if spots.hasHeavy(int(from)) {
			reason = ReasonHotKey
		}
		pass.emitOrDefer(p, from, to, reason, waitReason)
	}
}

func (pass *planningPass) emitOrDefer(p int, from, to int32, reason, waitReason string) {
	if waitReason == "" {
		pass.emit(&pass.moveTokens, p, from, to, reason)
		return
	}
	pass.deferMove(pass.newMove(p, from, to, waitReason))
}

func (pass *planningPass) newMove(p int, from, to int32, reason string) Move {
	return Move{
		Change: Change{Partition: p, Target: pass.state.targets[to].Name}, From: pass.state.targets[from].Name, Reason: reason,
	}
}

func (pass *planningPass) deferMove(m Move) {
	if len(pass.plan.Deferred) < maxDeferredMoves {
		pass.plan.Deferred = append(pass.plan.Deferred, m)
	}
}

// emit adds a move to the plan and charges it to the budget from. If no token is available,
// it defers the move instead.
func (pass *planningPass) emit(from *moveBudget, p int, donor, to int32, reason string) {
	m := pass.newMove(p, donor, to, reason)
	if from.available() == 0 {
		m.Reason = ReasonBudgetExhausted
		pass.deferMove(m)
		return
	}
	from.charge(1)
	pass.startedMoves[p] = startedMove{from: m.From, to: m.Target, reason: reason, startedAt: pass.in.Now}
	pass.plan.Moves = append(pass.plan.Moves, m)
}

// deferHoldDownMoves adds the moves to targets in hold-down to the deferred moves.
func (pass *planningPass) deferHoldDownMoves() {
	anyHeldDown := false
	for i := range pass.state.targets {
		t := &pass.state.targets[i]
		if t.eligible() && !t.canReceive {
			t.canReceive, t.frozen, anyHeldDown = true, false, true
		}
	}
	if !anyHeldDown || len(pass.plan.Deferred) >= maxDeferredMoves {
		return
	}
	pass.state.setFairShares(pass.loads.known)
	rb := newRebalancer(pass.state, rebalanceTolerance, true, pass.receivers(false), pass.receivers(false))
	for len(pass.plan.Deferred) < maxDeferredMoves {
		p, from, to, ok := rb.nextMove()
		if !ok {
			return
		}
		if pass.state.targets[to].history.inHoldDown(pass.in.Now) {
			pass.deferMove(pass.newMove(p, from, to, ReasonHoldDown))
		}
	}
}
