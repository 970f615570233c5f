package placement

import (
	"slices"
	"time"
)

// Weighted is the policy "placement.weighted". It keeps the load estimate of one service
// and the history of its targets. It must be used by one goroutine only, that of the
// control loop.
type Weighted struct {
	set     Settings
	loads   *loads
	targets map[string]*history
	planned bool
	moves   budget
	leaving budget
	// rebalanceAll reports whether all targets are to be rebalanced.
	settling bool
	// inheritedOwners reports whether partitions had owners at the first plan, whose time
	// is firstPlanAt. preciselyRebalanced reports whether targets have been rebalanced by a
	// precise load estimate, by this planner or an earlier one.
	inherited, settled bool
	begun              time.Duration
	// startedMoves are moves that were emitted and are not in the assignment yet.
	started map[int]startedMove
	reasons reasons
	board   board
	// keyWeights are the numbers of keys of the partitions relative to their mean.
	// lastKeyCounts is the input from which they were computed.
	keys, lastKeys []float64
}

// startedMove is a move that a plan has emitted.
type startedMove struct {
	from, to, reason string
	at               time.Duration
}

// startedMoveTimeout is the time after which a started move that has not finished is
// planned again.
const startedTimeout = 30 * time.Second

const (
	// minReportRounds is the number of rounds of load reports that a plan by load requires.
	readyRounds = 3
	// preciseReportRounds is the number of rounds of load reports after which the estimate
	// is precise. It is 5 minutes at the default interval.
	settledRounds = 30
	// loadReportTimeout is the time after which a new planner assumes that load is not
	// reported.
	unknownLoadAfter = 2 * time.Minute
)

// NewWeighted returns a policy for one service.
func NewWeighted(s Settings) *Weighted {
	return &Weighted{set: s.withDefaults(), targets: map[string]*history{}, started: map[int]startedMove{}}
}

// planningPass is one call of Plan.
type round struct {
	*Weighted
	in   Input
	th   thresholds
	b    *board
	plan Plan
	// unowned are the partitions that have no owner or whose owner is lost.
	orphans []int32
	// anyOwned reports whether any partition has an owner.
	owned bool
}

// Plan implements Policy. Each move is emitted once. It is planned again if it has not
// happened when MovesInFlight is 0 or after startedMoveTimeout. Owners that Input.Targets
// does not list count as lost.
func (w *Weighted) Plan(in Input) Plan {
	r := &round{Weighted: w, in: in, th: w.set.thresholds(in.PreferStability)}
	w.fit(len(in.Assignment.Owner))
	r.b = &w.board
	r.orphans = r.b.reset(in)
	r.owned = slices.ContainsFunc(in.Assignment.Owner, func(o uint16) bool { return o != NoOwner })
	if !w.planned {
		w.begun, w.inherited, w.settled = in.Now, r.owned, r.owned
	}
	r.observe()
	r.applyStarted()
	r.b.sum()
	r.admit()
	r.refill()
	r.urgent()
	r.vacate()
	if len(r.plan.Urgent) == 0 {
		// After a loss, everything else waits for the next plan. The reassignment is thus
		// planned sooner, and it is active before other decisions are based on it.
		r.rebalance()
		r.relieve()
		r.announce()
	}
	w.planned = true
	return r.plan
}

// resize initialises the state for n partitions. The number of partitions of a service does
// not change.
func (w *Weighted) fit(n int) {
	if len(w.keys) != n {
		w.loads, w.reasons = newLoads(n, w.set.Outlier), newReasons(n)
		w.keys = make([]float64, n)
	}
}

// observe updates the histories of the targets, the load estimate and the costs.
func (r *round) observe() {
	for i := range r.b.nodes {
		n := &r.b.nodes[i]
		if n.hist = r.targets[n.Name]; n.hist == nil {
			n.hist = &history{}
			r.targets[n.Name] = n.hist
		}
		n.hist.observe(r.in.Now, n.Target, !r.planned || !r.owned, r.th)
	}
	for name, h := range r.targets {
		if r.in.Now-h.seen > historyKept {
			delete(r.targets, name)
		}
	}
	news := r.loads.observe(r.in, r.b, r.set.Smoothing)
	if !news && r.planned && sameSlice(r.in.Keys, r.lastKeys) {
		return
	}
	r.lastKeys = r.in.Keys
	relative(r.in.Keys, r.keys)
	if r.loads.known {
		r.loads.costs(r.b.cost, r.keys)
	} else {
		copy(r.b.cost, r.keys)
	}
	r.b.total = 0
	for _, c := range r.b.cost {
		r.b.total += c
	}
}

// sharesMemory reports whether the slices have the same memory. Key counts that are changed
// in place take effect with the next load report.
func sameSlice(a, b []float64) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// minKeyWeight is the minimum number of keys, relative to the mean, with which a partition
// is counted. Even an empty partition costs something, because its owner is tracked.
const leastKeys = 1e-3

// normaliseKeyCounts writes the number of keys of each partition relative to the mean, or 1
// for all if the numbers are unknown.
func relative(keys, part []float64) {
	sum := 0.0
	for _, k := range keys {
		sum += k
	}
	known := len(keys) == len(part) && sum > 0
	scale := float64(len(keys)) / sum
	for i := range part {
		part[i] = 1
		if known {
			part[i] = max(keys[i]*scale, leastKeys)
		}
	}
}

// applyStartedMoves counts started moves as finished and removes those that have ended. A
// target that did not receive a move of rebalancing is rebalanced again.
func (r *round) applyStarted() {
	for p, s := range r.started {
		to := r.b.find(s.to)
		if to != nobody && r.b.owner[p] == to {
			r.reasons.note(Change{Partition: p, Target: s.to}, s.reason, s.at)
			delete(r.started, p)
			continue
		}
		over := r.in.InFlight == 0 || r.in.Now-s.at > startedTimeout
		if over || to == nobody || r.b.owner[p] == nobody || r.b.nodes[to].Lost {
			if to != nobody && s.reason == ReasonWeight {
				r.b.nodes[to].hist.growing = true
			}
			delete(r.started, p)
			continue
		}
		r.b.owner[p], r.b.pinned[p] = to, true
	}
}

// selectReceivers determines which targets can receive partitions, and sets the fair
// shares.
func (r *round) admit() {
	any := false
	weights := 0.0
	for i := range r.b.nodes {
		n := &r.b.nodes[i]
		n.receives = n.eligible() && !n.hist.held(r.in.Now)
		any = any || n.receives
		if n.eligible() {
			weights += n.Weight
		}
	}
	for i := range r.b.nodes {
		n := &r.b.nodes[i]
		if !any {
			n.receives = n.eligible()
		}
		n.frozen = !n.receives && !n.Lost && !n.Leaving && n.Weight > 0
		if n.hist.changed(n, r.b.total*n.Weight/weights) && r.planned {
			n.hist.growing = true
		}
	}
	r.mature()
	r.b.setShares(r.loads.known)
}

// rebalanceOncePrecise starts a rebalance of all targets by load once, when the load
// estimate has become precise.
func (r *round) mature() {
	if r.loads.known && !r.settled && r.loads.rounds >= settledRounds {
		r.settling, r.settled = true, true
	}
}

// needsRebalance reports whether targets are to be rebalanced: after a change of fair
// shares, and always, by number of keys, while the load is unknown.
func (r *round) filling() bool {
	return r.ready() && (r.settling || !r.loads.known || slices.ContainsFunc(r.b.nodes, node.growing))
}

// shareChanged reports whether the fair share of the target has changed and its load has
// not been adapted to it yet.
func (n node) growing() bool { return n.receives && n.hist.growing }

// costsReady reports whether costs are precise enough to rebalance by. A new planner that
// finds owners waits for load reports, because the owners may have been selected by load.
func (r *round) ready() bool {
	if r.loads.known {
		return r.loads.rounds >= readyRounds
	}
	return !r.inherited || r.in.Now-r.begun > unknownLoadAfter
}

// eligible reports whether the target may own partitions.
func (n *node) eligible() bool { return n.Usable && !n.Lost && !n.Leaving && n.Weight > 0 }

// mustBeEmptied reports whether the target has partitions but should have none.
func (n node) vacates() bool { return n.load > 0 && (n.Leaving || n.Weight <= 0) }

// refillBudgets adds the tokens for the time since the last plan to both move budgets.
func (r *round) refill() {
	n := float64(len(r.b.owner))
	r.moves.refill(r.in.Now, max(1, r.th.budget*n), r.set.BudgetInterval)
	r.leaving.refill(r.in.Now, max(1, r.set.LeavingBudget*n), time.Second)
}

// reassignUnowned assigns partitions that have no owner or whose owner is lost.
func (r *round) urgent() {
	if len(r.orphans) == 0 {
		return
	}
	pl := newPlacer(r.b, r.b.failingZones(r.in.Now))
	if pl == nil {
		return
	}
	r.plan.Urgent = make([]Change, 0, len(r.orphans))
	r.placeAll(pl, r.orphans, &r.leaving, func(p int, _, to int32) {
		c := Change{Partition: p, Target: r.b.nodes[to].Name}
		r.plan.Urgent = append(r.plan.Urgent, c)
		reason := ReasonLost
		if r.in.Assignment.Owner[p] == NoOwner {
			reason = ReasonInitial
		}
		r.reasons.note(c, reason, r.in.Now)
	})
}

// emptyTargets moves partitions off targets that should have none.
func (r *round) vacate() {
	if !slices.ContainsFunc(r.b.nodes, node.vacates) {
		return
	}
	var ps []int32
	for p, o := range r.b.owner {
		if o != nobody && r.b.nodes[o].vacates() {
			ps = append(ps, int32(p)) //nolint:gosec // at most 65536 partitions
		}
	}
	if len(ps) == 0 {
		return
	}
	pl := newPlacer(r.b, nil)
	if pl == nil {
		return
	}
	r.placeAll(pl, ps, &r.leaving, func(p int, from, to int32) {
		if r.b.nodes[from].Leaving {
			r.emit(&r.leaving, p, from, to, ReasonLeaving)
		} else {
			r.emit(&r.moves, p, from, to, ReasonWeight)
		}
	})
}

// placeAll assigns each of the partitions to a target, the most expensive ones first, and
// passes each assignment to note. Targets whose load exceeds their fair share after
// receiving a large partition are relieved before the others are placed, while there is the
// most room for their partitions. These moves are charged to the budget charge.
func (r *round) placeAll(pl *placer, ps []int32, charge *budget, note func(p int, from, to int32)) {
	r.b.byCost(ps)
	pl.overfill = r.th.enter
	i := 0
	if r.loads.known {
		for ; i < len(ps) && r.b.cost[ps[i]] > pl.large; i++ {
			from := r.b.owner[ps[i]]
			note(int(ps[i]), from, pl.place(int(ps[i])))
		}
	}
	if i > 0 && r.planned {
		r.makeRoom(pl, charge)
	}
	for ; i < len(ps); i++ {
		from := r.b.owner[ps[i]]
		note(int(ps[i]), from, pl.place(int(ps[i])))
	}
}

// relieveOverfilled relieves the targets whose load exceeds their fair share because of
// large partitions.
func (r *round) makeRoom(pl *placer, charge *budget) {
	for _, m := range pl.passes {
		from := r.b.owner[m.p]
		r.b.give(int(m.p), m.to)
		r.emit(charge, int(m.p), from, m.to, ReasonHotKey)
	}
	var donors []int
	for i := range r.b.nodes {
		if n := &r.b.nodes[i]; pl.ranks.pos[i] >= 0 && n.load > (1+r.th.enter)*n.share {
			donors = append(donors, i)
		}
	}
	if len(donors) > 0 {
		rb := newRebalancer(r.b, r.th.enter, false, donors, r.receivers(false))
		rb.overfill = r.th.enter
		r.drain(rb, charge, func(int32) string { return ReasonHotKey })
		pl.refresh()
	}
}
