package placement

import "time"

// deferredLimit bounds the deferred moves of a plan. They are for display; a
// zone's return can want thousands.
const deferredLimit = 64

// tolerance is the part of a share by which a target may deviate after a change of weights.
const tolerance = 0.01

// Weighted is the policy "placement.weighted". It owns the history of one
// service and is used by the goroutine of the control loop.
type Weighted struct {
	set     Settings
	moves   budget
	leaving budget
	// started are moves that were handed out and are not visible in the assignment yet.
	started map[int]startedMove
}

// startedMove is a move that was handed out.
type startedMove struct {
	to string
	at time.Duration
}

// startedTimeout is the time after which a started move that has not happened is planned again.
const startedTimeout = 30 * time.Second

// NewWeighted returns a policy for one service.
func NewWeighted(s Settings) *Weighted {
	return &Weighted{set: s.withDefaults(), started: map[int]startedMove{}}
}

// Plan implements Policy. Each move is handed out once; it is planned again if
// it has not happened when InFlight is 0 or after startedTimeout. Owners that
// Input.Targets does not list count as lost.
func (w *Weighted) Plan(in Input) Plan {
	var plan Plan
	b := newBoard(in, w.costs(in))
	for i := range b.nodes {
		n := &b.nodes[i]
		n.receives = n.Usable && !n.Lost && !n.Leaving && n.Weight > 0
	}
	w.applyStarted(in, b)
	b.sum()
	b.setShares(in.Load != nil)
	w.refill(in)
	pl := newPlacer(b)
	if pl == nil {
		return plan
	}
	w.urgent(b, pl, &plan)
	w.vacate(in, b, pl, &plan)
	w.rebalance(in, b, &plan)
	return plan
}

// costs returns the cost of each partition: its load, else its keys, else 1.
func (w *Weighted) costs(in Input) []float64 {
	n := len(in.Assignment.Owner)
	switch {
	case len(in.Load) == n:
		return in.Load
	case len(in.Keys) == n:
		return in.Keys
	}
	cost := make([]float64, n)
	for i := range cost {
		cost[i] = 1
	}
	return cost
}

func (w *Weighted) refill(in Input) {
	part := w.set.Budget
	if in.PreferStability {
		part = w.set.StableBudget
	}
	n := float64(len(in.Assignment.Owner))
	w.moves.refill(in.Now, max(1, part*n), w.set.BudgetInterval)
	w.leaving.refill(in.Now, max(1, w.set.LeavingBudget*n), time.Second)
}

// applyStarted counts started moves as done and forgets those that ended.
func (w *Weighted) applyStarted(in Input, b *board) {
	for p, s := range w.started {
		to := b.find(s.to)
		over := in.InFlight == 0 || in.Now-s.at > startedTimeout
		if over || p >= len(b.owner) || to == nobody || b.owner[p] == nobody || b.owner[p] == to || b.nodes[to].Lost {
			delete(w.started, p)
			continue
		}
		b.owner[p] = to
	}
}

// urgent gives partitions without a living owner a new one.
func (w *Weighted) urgent(b *board, pl *placer, plan *Plan) {
	var orphans []int32
	for p, o := range b.owner {
		if o == nobody {
			orphans = append(orphans, int32(p)) //nolint:gosec // at most 65536 partitions
		}
	}
	b.byCost(orphans)
	for _, p := range orphans {
		to := pl.place(int(p))
		plan.Urgent = append(plan.Urgent, Change{Partition: int(p), Target: b.nodes[to].Name})
	}
}

// vacate moves partitions off targets that should have none.
func (w *Weighted) vacate(in Input, b *board, pl *placer, plan *Plan) {
	var ps []int32
	for p, o := range b.owner {
		if o != nobody && (b.nodes[o].Leaving || b.nodes[o].Weight <= 0) {
			ps = append(ps, int32(p)) //nolint:gosec // at most 65536 partitions
		}
	}
	b.byCost(ps)
	for _, p := range ps {
		from := b.owner[p]
		to := pl.place(int(p))
		m := Move{Change: Change{Partition: int(p), Target: b.nodes[to].Name}, From: b.nodes[from].Name}
		if b.nodes[from].Leaving {
			w.emit(in, &w.leaving, m, ReasonLeaving, plan)
		} else {
			w.emit(in, &w.moves, m, ReasonWeight, plan)
		}
	}
}

// rebalance moves partitions from targets above their share to targets below it.
func (w *Weighted) rebalance(in Input, b *board, plan *Plan) {
	r := newRebalancer(b, tolerance, true)
	for len(plan.Deferred) < deferredLimit {
		p, from, to, ok := r.next()
		if !ok {
			return
		}
		m := Move{Change: Change{Partition: p, Target: b.nodes[to].Name}, From: b.nodes[from].Name}
		w.emit(in, &w.moves, m, ReasonWeight, plan)
	}
}

// emit hands the move out if the budget allows it, else defers it.
func (w *Weighted) emit(in Input, from *budget, m Move, reason string, plan *Plan) {
	m.Reason = reason
	if from.available() > 0 {
		from.take(1)
		w.started[m.Partition] = startedMove{to: m.Target, at: in.Now}
		plan.Moves = append(plan.Moves, m)
		return
	}
	m.Reason = ReasonBudget
	if len(plan.Deferred) < deferredLimit {
		plan.Deferred = append(plan.Deferred, m)
	}
}
