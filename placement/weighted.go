package placement

import (
	"slices"
	"time"
)

// Weighted is the policy "placement.weighted". It keeps the load estimate of one service
// and the history of its targets. It must not be used by several goroutines at a time.
type Weighted struct {
	settings      Settings
	loads         *loadEstimator
	histories     map[string]*targetHistory
	hasPlanned    bool
	moveTokens    moveBudget // for Settings.Budget or Settings.StableBudget
	leavingTokens moveBudget // for Settings.LeavingBudget
	// rebalanceAll reports whether all targets are to be rebalanced.
	rebalanceAll bool
	// inheritedOwners reports whether partitions had owners at the first plan, whose time
	// is firstPlanAt. preciselyRebalanced reports whether the targets have been rebalanced
	// with a precise load estimate, which is assumed if owners were inherited.
	inheritedOwners, preciselyRebalanced bool
	firstPlanAt                          time.Duration
	// startedMoves are moves that were emitted and are not in the assignment yet.
	startedMoves map[int]startedMove
	decisions    decisions
	reusedState  planState
	// keyWeights are the numbers of keys of the partitions relative to their mean.
	// lastKeyCounts is the input from which they were computed.
	keyWeights, lastKeyCounts []float64
}

// startedMove is a move that a plan has emitted.
type startedMove struct {
	from, to, reason string
	startedAt        time.Duration
}

// startedMoveTimeout is the time after which a started move that has not finished is
// planned again.
const startedMoveTimeout = 30 * time.Second

const (
	// minReportRounds is the number of rounds of load reports before targets are rebalanced
	// by load.
	minReportRounds = 3
	// preciseReportRounds is the number of rounds of load reports after which the estimate
	// is precise. They take 5 minutes at the default interval.
	preciseReportRounds = 30
	// loadReportTimeout is the time after which a new planner assumes that load is not
	// reported.
	loadReportTimeout = 2 * time.Minute
)

// NewWeighted returns a policy for one service.
func NewWeighted(s Settings) *Weighted {
	return &Weighted{settings: s.withDefaults(), histories: map[string]*targetHistory{}, startedMoves: map[int]startedMove{}}
}

// planningPass is the state of one call of Plan.
type planningPass struct {
	*Weighted
	in         Input
	thresholds thresholds
	state      *planState
	plan       Plan
	// unowned are the partitions that have no owner or whose owner is lost.
	unowned []int32
	// anyOwned reports whether any partition has an owner.
	anyOwned bool
}

// Plan implements Policy. Each move is emitted once. It is planned again if it has not
// finished when MovesInFlight is 0 or more than 30 s have passed. Owners that Input.Targets
// does not list count as lost.
func (w *Weighted) Plan(in Input) Plan {
	pass := &planningPass{Weighted: w, in: in, thresholds: w.settings.thresholds(in.PreferStability)}
	w.resize(len(in.Assignment.Owner))
	pass.state = &w.reusedState
	pass.unowned = pass.state.reset(in)
	pass.anyOwned = slices.ContainsFunc(in.Assignment.Owner, func(o uint16) bool { return o != NoOwner })
	if !w.hasPlanned {
		w.firstPlanAt, w.inheritedOwners, w.preciselyRebalanced = in.Now, pass.anyOwned, pass.anyOwned
	}
	pass.observe()
	pass.applyStartedMoves()
	pass.state.sumLoads()
	pass.selectReceivers()
	pass.refillBudgets()
	pass.reassignUnowned()
	pass.emptyTargets()
	if len(pass.plan.Urgent) == 0 {
		// If there are urgent changes, the steps below wait for the next plan. The changes are
		// thus planned sooner, and they are active before other decisions are based on them.
		pass.rebalance()
		pass.relieveOverload()
		pass.deferHoldDownMoves()
	}
	w.hasPlanned = true
	return pass.plan
}

// resize allocates the state for n partitions at the first plan. The number of partitions of
// a service does not change.
func (w *Weighted) resize(n int) {
	if len(w.keyWeights) != n {
		w.loads, w.decisions = newLoadEstimator(n, w.settings.Outlier), newDecisions(n)
		w.keyWeights = make([]float64, n)
	}
}

// observe updates the histories of the targets, the load estimate and the costs.
func (pass *planningPass) observe() {
	for i := range pass.state.targets {
		t := &pass.state.targets[i]
		if t.history = pass.histories[t.Name]; t.history == nil {
			t.history = &targetHistory{}
			pass.histories[t.Name] = t.history
		}
		t.history.observe(pass.in.Now, t.Target, !pass.hasPlanned || !pass.anyOwned, pass.thresholds)
	}
	for name, history := range pass.histories {
		if pass.in.Now-history.lastListedAt > historyTTL {
			delete(pass.histories, name)
		}
	}
	changed := pass.loads.observe(pass.in, pass.state, pass.settings.Smoothing)
	if !changed && pass.hasPlanned && sharesMemory(pass.in.KeyCounts, pass.lastKeyCounts) {
		return
	}
	pass.lastKeyCounts = pass.in.KeyCounts
	normaliseKeyCounts(pass.in.KeyCounts, pass.keyWeights)
	if pass.loads.known {
		pass.loads.writeCosts(pass.state.cost, pass.keyWeights)
	} else {
		copy(pass.state.cost, pass.keyWeights)
	}
	pass.state.totalCost = 0
	for _, c := range pass.state.cost {
		pass.state.totalCost += c
	}
}

// sharesMemory reports whether the slices have the same memory. Key counts that are changed
// in place take effect with the next load report.
func sharesMemory(a, b []float64) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// minKeyWeight is the minimum weight of a partition by its number of keys, relative to the
// mean. Even an empty partition costs something, because its owner is tracked.
const minKeyWeight = 1e-3

// normaliseKeyCounts writes the number of keys of each partition relative to the mean, or 1
// for all if the numbers are unknown.
func normaliseKeyCounts(keyCounts, weights []float64) {
	sum := 0.0
	for _, k := range keyCounts {
		sum += k
	}
	known := len(keyCounts) == len(weights) && sum > 0
	scale := float64(len(keyCounts)) / sum
	for i := range weights {
		weights[i] = 1
		if known {
			weights[i] = max(keyCounts[i]*scale, minKeyWeight)
		}
	}
}

// applyStartedMoves removes the started moves that have finished or failed, and makes the
// receiver of each remaining one the owner in the plan state. A target is rebalanced again if
// a move to it for ReasonWeight has failed.
func (pass *planningPass) applyStartedMoves() {
	for p, s := range pass.startedMoves {
		to := pass.state.targetIndex(s.to)
		if to != noTarget && pass.state.owner[p] == to {
			pass.decisions.record(Change{Partition: p, Target: s.to}, s.reason, s.startedAt)
			delete(pass.startedMoves, p)
			continue
		}
		ended := pass.in.MovesInFlight == 0 || pass.in.Now-s.startedAt > startedMoveTimeout
		if ended || to == noTarget || pass.state.owner[p] == noTarget || pass.state.targets[to].Lost {
			if to != noTarget && s.reason == ReasonWeight {
				pass.state.targets[to].history.shareChanged = true
			}
			delete(pass.startedMoves, p)
			continue
		}
		pass.state.owner[p], pass.state.pinned[p] = to, true
	}
}

// selectReceivers determines which targets can receive partitions, and sets the fair
// shares. If all eligible targets are in hold-down, it disregards the hold-down.
func (pass *planningPass) selectReceivers() {
	any := false
	weightSum := 0.0
	for i := range pass.state.targets {
		t := &pass.state.targets[i]
		t.canReceive = t.eligible() && !t.history.inHoldDown(pass.in.Now)
		any = any || t.canReceive
		if t.eligible() {
			weightSum += t.Weight
		}
	}
	for i := range pass.state.targets {
		t := &pass.state.targets[i]
		if !any {
			t.canReceive = t.eligible()
		}
		t.frozen = !t.canReceive && !t.Lost && !t.Leaving && t.Weight > 0
		if t.history.updateCapacity(t, pass.state.totalCost*t.Weight/weightSum) && pass.hasPlanned {
			t.history.shareChanged = true
		}
	}
	pass.rebalanceOncePrecise()
	pass.state.setFairShares(pass.loads.known)
}

// rebalanceOncePrecise starts a rebalance of all targets by load once, when the load
// estimate has become precise.
func (pass *planningPass) rebalanceOncePrecise() {
	if pass.loads.known && !pass.preciselyRebalanced && pass.loads.reportRounds >= preciseReportRounds {
		pass.rebalanceAll, pass.preciselyRebalanced = true, true
	}
}

// needsRebalance reports whether targets are to be rebalanced: after a change of fair
// shares, once when the load estimate has become precise, and always, by number of keys,
// while the load is unknown.
func (pass *planningPass) needsRebalance() bool {
	return pass.costsReady() && (pass.rebalanceAll || !pass.loads.known || slices.ContainsFunc(pass.state.targets, targetState.shareChanged))
}

// shareChanged reports whether the fair share of the target has changed and its load has
// not been adapted to it yet.
func (t targetState) shareChanged() bool { return t.canReceive && t.history.shareChanged }

// costsReady reports whether costs are precise enough to rebalance by. A new planner that
// finds owners waits for load reports, because the owners may have been selected by load.
func (pass *planningPass) costsReady() bool {
	if pass.loads.known {
		return pass.loads.reportRounds >= minReportRounds
	}
	return !pass.inheritedOwners || pass.in.Now-pass.firstPlanAt > loadReportTimeout
}

// eligible reports whether the target may own partitions.
func (t *targetState) eligible() bool { return t.Usable && !t.Lost && !t.Leaving && t.Weight > 0 }

// mustBeEmptied reports whether the target has partitions but should have none.
func (t targetState) mustBeEmptied() bool { return t.load > 0 && (t.Leaving || t.Weight <= 0) }

// refillBudgets adds the tokens for the time since the last plan to both move budgets.
func (pass *planningPass) refillBudgets() {
	n := float64(len(pass.state.owner))
	pass.moveTokens.refill(pass.in.Now, max(1, pass.thresholds.budget*n), pass.settings.BudgetInterval)
	pass.leavingTokens.refill(pass.in.Now, max(1, pass.settings.LeavingBudget*n), time.Second)
}

// reassignUnowned assigns partitions that have no owner or whose owner is lost.
func (pass *planningPass) reassignUnowned() {
	if len(pass.unowned) == 0 {
		return
	}
	pl := newPlacer(pass.state, pass.state.failingZones(pass.in.Now))
	if pl == nil {
		return
	}
	pass.plan.Urgent = make([]Change, 0, len(pass.unowned))
	pass.placeAll(pl, pass.unowned, &pass.leavingTokens, func(p int, _, to int32) {
		c := Change{Partition: p, Target: pass.state.targets[to].Name}
		pass.plan.Urgent = append(pass.plan.Urgent, c)
		reason := ReasonLost
		if pass.in.Assignment.Owner[p] == NoOwner {
			reason = ReasonInitial
		}
		pass.decisions.record(c, reason, pass.in.Now)
	})
}

// emptyTargets moves partitions off targets that should have none.
func (pass *planningPass) emptyTargets() {
	if !slices.ContainsFunc(pass.state.targets, targetState.mustBeEmptied) {
		return
	}
	var ps []int32
	for p, o := range pass.state.owner {
		if o != noTarget && pass.state.targets[o].mustBeEmptied() {
			ps = append(ps, int32(p)) //nolint:gosec // at most 65536 partitions
		}
	}
	if len(ps) == 0 {
		return
	}
	pl := newPlacer(pass.state, nil)
	if pl == nil {
		return
	}
	pass.placeAll(pl, ps, &pass.leavingTokens, func(p int, from, to int32) {
		if pass.state.targets[from].Leaving {
			pass.emit(&pass.leavingTokens, p, from, to, ReasonLeaving)
		} else {
			pass.emit(&pass.moveTokens, p, from, to, ReasonWeight)
		}
	})
}

// placeAll assigns each of the partitions to a target, the most expensive ones first, and
// passes each assignment to record. Targets whose load exceeds their fair share after
// receiving large partitions are relieved before the smaller ones are placed, while there is
// the most room for what they give up. These moves are charged to budget.
func (pass *planningPass) placeAll(pl *placer, ps []int32, budget *moveBudget, record func(p int, from, to int32)) {
	pass.state.sortByCost(ps)
	pl.excessTolerance = pass.thresholds.enter
	i := 0
	if pass.loads.known {
		for ; i < len(ps) && pass.state.cost[ps[i]] > pl.largeCost; i++ {
			from := pass.state.owner[ps[i]]
			record(int(ps[i]), from, pl.place(int(ps[i])))
		}
	}
	if i > 0 && pass.hasPlanned {
		pass.relieveOverfilled(pl, budget)
	}
	for ; i < len(ps); i++ {
		from := pass.state.owner[ps[i]]
		record(int(ps[i]), from, pl.place(int(ps[i])))
	}
}

// relieveOverfilled makes the relocations that the placer has chosen, and then relieves the
// targets whose load exceeds their fair share because of large partitions.
func (pass *planningPass) relieveOverfilled(pl *placer, budget *moveBudget) {
	for _, m := range pl.relocations {
		from := pass.state.owner[m.partition]
		pass.state.assign(int(m.partition), m.to)
		pass.emit(budget, int(m.partition), from, m.to, ReasonHotKey)
	}
	var donors []int
	for i := range pass.state.targets {
		if t := &pass.state.targets[i]; pl.byLoadRatio.position[i] >= 0 && t.load > (1+pass.thresholds.enter)*t.fairShare {
			donors = append(donors, i)
		}
	}
	if len(donors) > 0 {
		rb := newRebalancer(pass.state, pass.thresholds.enter, false, donors, pass.receivers(false))
		rb.excessTolerance = pass.thresholds.enter
		pass.emitMoves(rb, budget, func(int32) string { return ReasonHotKey })
		pl.updateRanks()
	}
}
