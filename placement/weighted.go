package placement

import (
	"slices"
	"time"
)

// Weighted is the policy "placement.weighted". It owns the load estimate and
// the history of one service and is used by the goroutine of the control loop.
type Weighted struct {
	settings      Settings
	loads         *loadEstimator
	histories     map[string]*targetHistory
	hasPlanned    bool
	moveTokens    moveBudget
	leavingTokens moveBudget
	// rebalanceAll says that all targets are to be filled up.
	rebalanceAll bool
	// inheritedOwners says that the first plan found owners, begun is its time, and
	// settled says that targets have been filled up once with a precise load
	// estimate, here or by an earlier planner.
	inheritedOwners, preciselyRebalanced bool
	firstPlanAt                          time.Duration
	// startedMoves are moves that were handed out and are not visible in the assignment yet.
	startedMoves map[int]startedMove
	decisions    decisions
	reusedState  planState
	// keyWeights are the keys of each partition relative to their mean.
	keyWeights, lastKeyCounts []float64
}

// startedMove is a move that was handed out.
type startedMove struct {
	from, to, reason string
	startedAt        time.Duration
}

// startedMoveTimeout is the time after which a started move that has not happened is planned again.
const startedMoveTimeout = 30 * time.Second

const (
	// minReportRounds is the number of load reports that a plan by load needs.
	minReportRounds = 3
	// preciseReportRounds is the number of load reports, 5 minutes at the usual
	// interval, after which the estimate is precise.
	preciseReportRounds = 30
	// loadReportTimeout is the time after which a new planner takes the load as not reported at all.
	loadReportTimeout = 2 * time.Minute
)

// NewWeighted returns a policy for one service.
func NewWeighted(s Settings) *Weighted {
	return &Weighted{settings: s.withDefaults(), histories: map[string]*targetHistory{}, startedMoves: map[int]startedMove{}}
}

// planningPass is one call of Plan.
type planningPass struct {
	*Weighted
	in         Input
	thresholds thresholds
	state      *planState
	plan       Plan
	// unowned are the partitions without a living owner.
	unowned []int32
	// anyOwned says that some partition has an owner.
	anyOwned bool
}

// Plan implements Policy. Each move is handed out once; it is planned again if
// it has not happened when MovesInFlight is 0 or after startedMoveTimeout. Owners that
// Input.Targets does not list count as lost.
func (w *Weighted) Plan(in Input) Plan {
	r := &planningPass{Weighted: w, in: in, thresholds: w.settings.thresholds(in.PreferStability)}
	w.resize(len(in.Assignment.Owner))
	r.state = &w.reusedState
	r.unowned = r.state.reset(in)
	r.anyOwned = slices.ContainsFunc(in.Assignment.Owner, func(o uint16) bool { return o != NoOwner })
	if !w.hasPlanned {
		w.firstPlanAt, w.inheritedOwners, w.preciselyRebalanced = in.Now, r.anyOwned, r.anyOwned
	}
	r.observe()
	r.applyStartedMoves()
	r.state.sumLoads()
	r.selectReceivers()
	r.refillBudgets()
	r.reassignUnowned()
	r.emptyTargets()
	if len(r.plan.Urgent) == 0 {
		// After a loss, all else waits for the next plan: the loss is planned
		// sooner, and its changes are in force before others build on them.
		r.rebalance()
		r.relieveOverload()
		r.deferHoldDownMoves()
	}
	w.hasPlanned = true
	return r.plan
}

// resize sizes the state for n partitions. The number of a service never changes.
func (w *Weighted) resize(n int) {
	if len(w.keyWeights) != n {
		w.loads, w.decisions = newLoadEstimator(n, w.settings.Outlier), newDecisions(n)
		w.keyWeights = make([]float64, n)
	}
}

// observe updates the histories of the targets and the load estimate, and sets the costs.
func (r *planningPass) observe() {
	for i := range r.state.targets {
		n := &r.state.targets[i]
		if n.history = r.histories[n.Name]; n.history == nil {
			n.history = &targetHistory{}
			r.histories[n.Name] = n.history
		}
		n.history.observe(r.in.Now, n.Target, !r.hasPlanned || !r.anyOwned, r.thresholds)
	}
	for name, h := range r.histories {
		if r.in.Now-h.lastListedAt > historyTTL {
			delete(r.histories, name)
		}
	}
	news := r.loads.observe(r.in, r.state, r.settings.Smoothing)
	if !news && r.hasPlanned && sharesMemory(r.in.KeyCounts, r.lastKeyCounts) {
		return
	}
	r.lastKeyCounts = r.in.KeyCounts
	normaliseKeyCounts(r.in.KeyCounts, r.keyWeights)
	if r.loads.known {
		r.loads.writeCosts(r.state.cost, r.keyWeights)
	} else {
		copy(r.state.cost, r.keyWeights)
	}
	r.state.totalCost = 0
	for _, c := range r.state.cost {
		r.state.totalCost += c
	}
}

// sharesMemory says that the slices share their memory. Keys that change in place
// are taken in with the next load report.
func sharesMemory(a, b []float64) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// minKeyWeight is the least number of keys, relative to the mean, for which a
// partition counts. An empty partition still has an owner to be kept track of.
const minKeyWeight = 1e-3

// normaliseKeyCounts writes the keys of each partition relative to their mean, or ones if they are not known.
func normaliseKeyCounts(keys, part []float64) {
	sum := 0.0
	for _, k := range keys {
		sum += k
	}
	known := len(keys) == len(part) && sum > 0
	scale := float64(len(keys)) / sum
	for i := range part {
		part[i] = 1
		if known {
			part[i] = max(keys[i]*scale, minKeyWeight)
		}
	}
}

// applyStartedMoves counts started moves as done and forgets those that ended. A
// target that did not get its move is filled up again.
func (r *planningPass) applyStartedMoves() {
	for p, s := range r.startedMoves {
		to := r.state.targetIndex(s.to)
		if to != noTarget && r.state.owner[p] == to {
			r.decisions.record(Change{Partition: p, Target: s.to}, s.reason, s.startedAt)
			delete(r.startedMoves, p)
			continue
		}
		over := r.in.MovesInFlight == 0 || r.in.Now-s.startedAt > startedMoveTimeout
		if over || to == noTarget || r.state.owner[p] == noTarget || r.state.targets[to].Lost {
			if to != noTarget && s.reason == ReasonWeight {
				r.state.targets[to].history.shareChanged = true
			}
			delete(r.startedMoves, p)
			continue
		}
		r.state.owner[p], r.state.pinned[p] = to, true
	}
}

// selectReceivers decides which targets receive partitions, and sets the shares.
func (r *planningPass) selectReceivers() {
	any := false
	weights := 0.0
	for i := range r.state.targets {
		n := &r.state.targets[i]
		n.canReceive = n.eligible() && !n.history.inHoldDown(r.in.Now)
		any = any || n.canReceive
		if n.eligible() {
			weights += n.Weight
		}
	}
	for i := range r.state.targets {
		n := &r.state.targets[i]
		if !any {
			n.canReceive = n.eligible()
		}
		n.frozen = !n.canReceive && !n.Lost && !n.Leaving && n.Weight > 0
		if n.history.updateLimits(n, r.state.totalCost*n.Weight/weights) && r.hasPlanned {
			n.history.shareChanged = true
		}
	}
	r.rebalanceOncePrecise()
	r.state.setFairShares(r.loads.known)
}

// rebalanceOncePrecise starts to fill up targets once by load when the estimate is precise.
func (r *planningPass) rebalanceOncePrecise() {
	if r.loads.known && !r.preciselyRebalanced && r.loads.reportRounds >= preciseReportRounds {
		r.rebalanceAll, r.preciselyRebalanced = true, true
	}
}

// needsRebalance says that targets are filled up to their share: after a change of
// shares, and always by number of keys while the load is not known.
func (r *planningPass) needsRebalance() bool {
	return r.costsReady() && (r.rebalanceAll || !r.loads.known || slices.ContainsFunc(r.state.targets, targetState.shareChanged))
}

// shareChanged says that the target's share has changed and is not filled yet.
func (n targetState) shareChanged() bool { return n.canReceive && n.history.shareChanged }

// costsReady says that costs are good enough for filling up. A new planner that finds
// owners waits for load reports, since the owners may have been chosen by load.
func (r *planningPass) costsReady() bool {
	if r.loads.known {
		return r.loads.reportRounds >= minReportRounds
	}
	return !r.inheritedOwners || r.in.Now-r.firstPlanAt > loadReportTimeout
}

// eligible says that the target may own partitions.
func (n *targetState) eligible() bool { return n.Usable && !n.Lost && !n.Leaving && n.Weight > 0 }

// mustBeEmptied says that the target has partitions that it should not have.
func (n targetState) mustBeEmptied() bool { return n.load > 0 && (n.Leaving || n.Weight <= 0) }

func (r *planningPass) refillBudgets() {
	n := float64(len(r.state.owner))
	r.moveTokens.refill(r.in.Now, max(1, r.thresholds.budget*n), r.settings.BudgetInterval)
	r.leavingTokens.refill(r.in.Now, max(1, r.settings.LeavingBudget*n), time.Second)
}

// reassignUnowned gives partitions without a living owner a new one.
func (r *planningPass) reassignUnowned() {
	if len(r.unowned) == 0 {
		return
	}
	pl := newPlacer(r.state, r.state.failingZones(r.in.Now))
	if pl == nil {
		return
	}
	r.plan.Urgent = make([]Change, 0, len(r.unowned))
	r.placeAll(pl, r.unowned, &r.leavingTokens, func(p int, _, to int32) {
		c := Change{Partition: p, Target: r.state.targets[to].Name}
		r.plan.Urgent = append(r.plan.Urgent, c)
		reason := ReasonLost
		if r.in.Assignment.Owner[p] == NoOwner {
			reason = ReasonInitial
		}
		r.decisions.record(c, reason, r.in.Now)
	})
}

// emptyTargets moves partitions off targets that should have none.
func (r *planningPass) emptyTargets() {
	if !slices.ContainsFunc(r.state.targets, targetState.mustBeEmptied) {
		return
	}
	var ps []int32
	for p, o := range r.state.owner {
		if o != noTarget && r.state.targets[o].mustBeEmptied() {
			ps = append(ps, int32(p)) //nolint:gosec // at most 65536 partitions
		}
	}
	if len(ps) == 0 {
		return
	}
	pl := newPlacer(r.state, nil)
	if pl == nil {
		return
	}
	r.placeAll(pl, ps, &r.leavingTokens, func(p int, from, to int32) {
		if r.state.targets[from].Leaving {
			r.emit(&r.leavingTokens, p, from, to, ReasonLeaving)
		} else {
			r.emit(&r.moveTokens, p, from, to, ReasonWeight)
		}
	})
}

// placeAll gives each partition a new owner, those of the largest cost first.
// Owners that a large one fills beyond their share are relieved before the
// others are placed, while there is most room for what they give up. Those
// moves are charged to the budget.
func (r *planningPass) placeAll(pl *placer, ps []int32, charge *moveBudget, note func(p int, from, to int32)) {
	r.state.sortByCost(ps)
	pl.excessTolerance = r.thresholds.enter
	i := 0
	if r.loads.known {
		for ; i < len(ps) && r.state.cost[ps[i]] > pl.largeCost; i++ {
			from := r.state.owner[ps[i]]
			note(int(ps[i]), from, pl.place(int(ps[i])))
		}
	}
	if i > 0 && r.hasPlanned {
		r.relieveOverfilled(pl, charge)
	}
	for ; i < len(ps); i++ {
		from := r.state.owner[ps[i]]
		note(int(ps[i]), from, pl.place(int(ps[i])))
	}
}

// relieveOverfilled relieves the nodes that large partitions have filled beyond their share.
func (r *planningPass) relieveOverfilled(pl *placer, charge *moveBudget) {
	for _, m := range pl.relocations {
		from := r.state.owner[m.partition]
		r.state.assign(int(m.partition), m.to)
		r.emit(charge, int(m.partition), from, m.to, ReasonHotKey)
	}
	var donors []int
	for i := range r.state.targets {
		if n := &r.state.targets[i]; pl.byLoadRatio.position[i] >= 0 && n.load > (1+r.thresholds.enter)*n.fairShare {
			donors = append(donors, i)
		}
	}
	if len(donors) > 0 {
		rb := newRebalancer(r.state, r.thresholds.enter, false, donors, r.receivers(false))
		rb.excessTolerance = r.thresholds.enter
		r.emitMoves(rb, charge, func(int32) string { return ReasonHotKey })
		pl.updateRanks()
	}
}
