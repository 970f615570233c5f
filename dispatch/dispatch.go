// Package dispatch decides for each request which target gets it, whether it has
// to wait, and when it is rejected instead. It is deterministic: no clock, no
// goroutines, no network. A Board is used under the lock of its owner.
//
// An instance sees only a part of what a target serves. It estimates the whole
// from its own requests in flight and the load that targets report with their
// answers; a report loses weight as it ages. A request goes to the target where
// it is expected to finish first, and is rejected at once if that is later than
// its caller waits, with the time after which the target will have caught up.
package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/boragegate/boragegate/routing"
)

const (
	// reportHalfLife is the age at which a target's last report of its load counts
	// half, and the average of its reports the other half. It is not below the service
	// time: a queue lasts as long as the requests in it.
	reportHalfLife = 200 * time.Millisecond
	// averageHalfLife is the age of the last report at which the target's average
	// counts half, and the usual load of its service the other half; averageTimes is
	// its least number of service times.
	averageHalfLife = time.Second
	averageTimes    = 5
	// usualInterval is the time for which a usual load is used again.
	usualInterval = 100 * time.Millisecond
	// averageWeight is the weight of a report in the average.
	averageWeight = 0.25
	// latencyWeight is the weight of a new sample in the average service time.
	latencyWeight = 0.1
	// defaultServiceTime stands for targets of which nothing is known.
	defaultServiceTime = 60 * time.Millisecond
	// leastWorking is the part of the known service time that a request at a target
	// with a queue is taken to need at least.
	leastWorking = 0.6
	// failureWeight is the weight of a new sample in the failure rate.
	failureWeight = 0.1
	// failurePenalty multiplies the expected time of a target by 1 + penalty × failure rate.
	failurePenalty = 4
	// ejectAfter is the number of failures in a row after which a target is left out.
	ejectAfter = 3
	// ejectTime is the time until a target that was left out is tried again.
	ejectTime = 700 * time.Millisecond
	// coldFactor is the slowness of a target that has just started.
	coldFactor = 2.0
	// lateFactor times the route's objective is the expected time from which a
	// request is rejected: a queue that is longer makes all later ones late. It is
	// below 1 because the load of a target is known with a delay.
	lateFactor = 0.9
	// backlogFactor times the objective is that time for requests that are late already.
	// They must not fill the queue that those with all their time still pass in time.
	backlogFactor = 0.45
	// minRetryAfter is the shortest time after which a caller is asked back.
	minRetryAfter = 50 * time.Millisecond
	// maxRetryAfter bounds the time for which a caller is sent away, unless it has more
	// than 1/retryShare of that left: callers wait for that share of their time at most.
	maxRetryAfter = 2 * time.Second
	retryShare    = 1.0 / 3
	// shedPause is the time for which a target that shed a request counts as full.
	shedPause = 60 * time.Millisecond
	// longestFull bounds the time for which a target counts as full whose queue was. By
	// then the pressure on it is told.
	longestFull = 1500 * time.Millisecond
	// longestHold is the time for which a request is held for its holder, or its objective
	// if that is longer.
	longestHold = time.Second
	// noHolderWait is the usual time until keys without a holder get one.
	noHolderWait = 250 * time.Millisecond
	// leavingGrace is the time after a target's first word that it leaves for which it is
	// still used where nothing else can serve. It is half of the shortest time for which
	// targets serve after that.
	leavingGrace = time.Second
	// pauseSpread of a pause is added to the time after which callers are asked back, so
	// that they do not return together when it ends.
	pauseSpread = 0.25
)

// Verdict is what is to happen to a request.
type Verdict int

// Verdicts.
const (
	// Send means that the request goes to the target.
	Send Verdict = iota
	// Hold means that the holder of the key will be known shortly.
	Hold
	// Reject means that the request is answered now, as not run.
	Reject
)

// Request is what has to be known of a request.
type Request struct {
	Service string
	Kind    routing.Kind
	// Key is the shard key, or -1.
	Key int
	// Left is the time that the caller still waits.
	Left time.Duration
	// Objective is the latency within which the answer has its full value.
	Objective time.Duration
	// Waited is the time since the request arrived, Lost what its caller had lost before by
	// tries that were refused, as Arrived estimates it.
	Waited, Lost time.Duration
	// Tried are the targets that got the request before.
	Tried []string
	// Repeat says that the request was sent before, Hedge that an attempt still runs.
	Repeat, Hedge bool
}

// Decision is a verdict with what led to it.
type Decision struct {
	Verdict Verdict
	Target  routing.Target
	// Reason says why a request waits or is rejected.
	Reason string
	// RetryAfter is the time after which the caller should come back, or the time
	// for which a request is held at most.
	RetryAfter time.Duration
	// Load is the estimated number of requests at the target, Expected the time in
	// which it would finish this one, Queue the part of that before it begins.
	Load            float64
	Expected, Queue time.Duration
	// ReportAge is the age of the target's last report of its load; -1 if there is none.
	ReportAge time.Duration
}

// target is the state of one lifetime of a target.
type target struct {
	routing.Target
	coldUntil time.Duration
	inFlight  int
	// reported is the load that the target reported at reportedAt, when own of it
	// were this instance's.
	reported   int
	own        int
	reportedAt time.Duration
	hasReport  bool
	// others is the average of what the target reported beyond this instance's own.
	others float64
	// serviceTime is the average time of a request without waiting, 0 if unknown.
	serviceTime time.Duration
	failureRate float64
	failures    int // in a row
	ejected     time.Duration
	fullUntil   time.Duration
	queueFull   bool // says that fullUntil is due to a full queue
	// leavingAt is when the target first said in an answer that it leaves, 0 if it has not.
	leavingAt time.Duration
	// pausedUntil is the end of the time for which the target wants nothing.
	pausedUntil time.Duration
	// pressure is the Offered of a Pressure that was told at pressureAt; turns counts
	// the requests that it decided about.
	pressure   float64
	rank       uint64 // order in which this instance prefers targets
	pressureAt time.Duration
	turns      int
	lateShare  float64 // of the requests for a target under pressure
	// served and busy sum up what was answered since the last call of Samples.
	served int
	busy   time.Duration
}

// Board has the targets of all services and who holds which keys.
type Board struct {
	policy   Policy
	zone     string
	services map[string][]*target
	byID     map[routing.Lifetime]*target
	owners   map[string][]routing.Owner
	budgets  map[string]*RepeatBudget
	budget   RepeatBudget
	turn     int
	pairs    int
	phase    float64
	usual    map[string]*usualLoad // by service
	bytes    map[traffic]float64
	callers  map[traffic]*timeBudgets
	// rejectedAt has the times of the last rejections, by service.
	rejectedAt map[string]time.Duration
	subsets    map[string]*subset // by service
	// instances is the number of instances that share the targets, 0 if unknown.
	instances int
	// seed differs between instances.
	seed uint64
}

// NewBoard returns a board of an instance in the zone. Budget is the template of
// the budgets of all services, with this instance's share of the slack.
func NewBoard(zone string, budget RepeatBudget) *Board {
	return &Board{
		zone: zone, services: map[string][]*target{}, byID: map[routing.Lifetime]*target{},
		owners: map[string][]routing.Owner{}, budgets: map[string]*RepeatBudget{}, budget: budget, usual: map[string]*usualLoad{},
		bytes: map[traffic]float64{}, callers: map[traffic]*timeBudgets{}, rejectedAt: map[string]time.Duration{}, subsets: map[string]*subset{},
	}
}

// SetPolicy sets which mechanisms are switched off.
func (b *Board) SetPolicy(p Policy) { b.policy = p }

// SetSlack sets this instance's share of the slack.
func (b *Board) SetSlack(slack float64) {
	b.budget.Slack = slack
	for _, s := range b.budgets {
		s.Slack = slack
	}
}

// SetTargets replaces the targets. What is known of those that stay is kept.
func (b *Board) SetTargets(now time.Duration, list []routing.Target) {
	listed := make(map[routing.Lifetime]bool, len(list))
	for i := range list {
		listed[list[i].Lifetime()] = true
	}
	var gone []routing.Lifetime
	for id := range b.byID {
		if !listed[id] {
			gone = append(gone, id)
		}
	}
	b.ChangeTargets(now, list, gone)
}

// ChangeTargets adds or replaces targets and removes others.
func (b *Board) ChangeTargets(now time.Duration, put []routing.Target, gone []routing.Lifetime) {
	for _, s := range b.subsets {
		s.stale = true
	}
	for _, id := range gone {
		if t := b.byID[id]; t != nil {
			delete(b.byID, id)
			b.unlist(t)
		}
	}
	for i := range put {
		t := &put[i]
		s := b.byID[t.Lifetime()]
		switch {
		case s == nil:
			s = &target{coldUntil: now + t.WarmUp}
			b.byID[t.Lifetime()] = s
			b.services[t.Service] = append(b.services[t.Service], s)
		case s.Service != t.Service:
			b.unlist(s)
			b.services[t.Service] = append(b.services[t.Service], s)
		}
		s.Target = *t
	}
}

// unlist removes a target from the list of its service.
func (b *Board) unlist(t *target) {
	list := b.services[t.Service]
	if i := slices.Index(list, t); i >= 0 {
		b.services[t.Service] = slices.Delete(list, i, i+1)
	}
}

// SetOwners replaces the owners of the keys of a service, ordered by key.
func (b *Board) SetOwners(service string, owners []routing.Owner) { b.owners[service] = owners }

// Choose decides about a request. A repeat that is to be sent counts against the budget.
func (b *Board) Choose(now time.Duration, r *Request) Decision {
	var d Decision
	if r.Key >= 0 {
		d = b.chooseOwner(now, r, b.owners[r.Service])
	} else {
		d = b.chooseAny(now, r)
	}
	if d.Verdict == Send && r.Hedge && d.Load >= float64(d.Target.Slots) {
		// In a queue it would only delay others, at the holder of a key the attempt itself.
		return reject(r, "no_free_slot", d.Queue, d)
	}
	if d.Verdict == Send && r.Repeat && !b.budgetOf(r.Service).Take(now) {
		// The caller's own next try counts as a new request, which the target may take.
		d = reject(r, "repeat_budget", d.Queue, d)
	}
	if d.Verdict == Reject {
		b.rejectedAt[r.Service] = now
	}
	return d
}

func (b *Board) chooseOwner(now time.Duration, r *Request, owners []routing.Owner) Decision {
	if len(owners) == 0 {
		return b.hold(r, "owners_unknown", noHolderWait)
	}
	o := find(owners, r.Key)
	if o == nil || !o.Ready {
		wait := noHolderWait
		if o != nil {
			wait = o.Wait
		}
		return b.hold(r, "keys_moving", wait)
	}
	t := b.byID[o.Holder]
	if t == nil || t.Draining || t.left(now) {
		return b.hold(r, "holder_leaving", noHolderWait)
	}
	if now < t.pausedUntil {
		return b.waitForPause(now, t, r)
	}
	if now < t.ejected && !r.Repeat {
		return reject(r, "holder_unreachable", t.ejected-now, b.expect(now, t))
	}
	if b.policy.On(ToldPressure) && t.pressureKnown(now) {
		if d, rejected := b.underPressure(now, t, r); rejected {
			return d
		}
		if now-t.reportedAt > reportHalfLife {
			// What all instances offer says more than what this one saw earlier.
			d := b.expect(now, t)
			d.Verdict = Send
			return d
		}
	} else if now < t.fullUntil && t.queueFull && !r.Repeat {
		return reject(r, "target_full", t.fullUntil-now, b.expect(now, t))
	}
	return b.judge(now, t, r, b.expect(now, t))
}

// hold lets a request wait for its holder if that is expected soon enough to
// leave half of the caller's time. A hand-over may take longer than expected, again
// and again; then the caller is asked back instead.
func (b *Board) hold(r *Request, reason string, wait time.Duration) Decision {
	if !b.policy.On(Holding) || wait > r.Left/2 || r.Waited > max(r.Objective, longestHold) {
		return reject(r, reason, wait, Decision{ReportAge: -1})
	}
	return Decision{Verdict: Hold, Reason: reason, RetryAfter: wait, ReportAge: -1}
}

// find returns the owner of a key, or nil.
func find(owners []routing.Owner, key int) *routing.Owner {
	i, ok := slices.BinarySearchFunc(owners, key, func(o routing.Owner, key int) int { return o.Compare(key) })
	if !ok {
		return nil
	}
	return &owners[i]
}

func (b *Board) chooseAny(now time.Duration, r *Request) Decision {
	usual := b.usualTargets(r.Service)
	lists := [][]*target{b.services[r.Service]}
	if !usual.whole {
		// The better of two keeps slow targets in use, whose load is known by that.
		lists = [][]*target{b.two(usual.list), usual.list, b.services[r.Service]}
	}
	var d Decision
	var t *target
	for _, list := range lists {
		if d, t = b.chooseOf(now, r, list); t != nil && !crowded(r, d) {
			break
		}
	}
	if t == nil {
		if wait := b.shortestPause(now, r.Service); wait > 0 {
			return reject(r, "targets_paused", b.spreadPause(wait), Decision{ReportAge: -1})
		}
		return reject(r, "no_target", noHolderWait, Decision{ReportAge: -1})
	}
	return b.judge(now, t, r, d)
}

// chooseOf returns the target of the list where the request is expected to end first.
func (b *Board) chooseOf(now time.Duration, r *Request, list []*target) (Decision, *target) {
	// Targets that look alike are taken in an order that differs between instances.
	first := int(b.turnOf(b.turn) * float64(len(list)))
	b.turn++
	away := b.zoneCost(r)
	best, bestScore := (*target)(nil), math.Inf(1)
	var bestDecision Decision
	for pass := usableTargets; pass <= leavingTargets && best == nil; pass++ {
		for i := range list {
			t := list[(i+first)%len(list)]
			if !t.usable(now, pass) || slices.Contains(r.Tried, t.ID) {
				continue
			}
			d := b.expect(now, t)
			cost := d.Expected
			if t.Zone != b.zone && b.policy.On(ZoneCost) {
				cost += away
			}
			score := float64(cost)
			if b.policy.On(FailureRate) {
				score *= 1 + failurePenalty*t.failureRate
			}
			if now < t.fullUntil {
				score += float64(t.fullUntil - now)
			}
			if score < bestScore {
				best, bestScore, bestDecision = t, score, d
			}
		}
	}
	return bestDecision, best
}

// pass widens the choice where nothing is left.
type pass int

const (
	usableTargets pass = iota
	// ejectedTargets takes those that did not answer, too.
	ejectedTargets
	// leavingTargets takes those that have just said that they leave, too.
	leavingTargets
)

// usable reports whether a request may go to the target.
func (t *target) usable(now time.Duration, p pass) bool {
	switch {
	case t.Draining, now < t.pausedUntil, t.left(now):
		return false
	case t.leavingAt > 0:
		return p >= leavingTargets
	default:
		return p >= ejectedTargets || now >= t.ejected
	}
}

// judge sends the request to the target unless it would be too late.
func (b *Board) judge(now time.Duration, t *target, r *Request, d Decision) Decision {
	limit := r.Left
	if r.Objective > 0 && !r.Repeat && b.policy.On(EarlyRejection) {
		limit = min(limit, b.longestWait(t, r))
	}
	if d.Load >= float64(t.Slots) && d.Expected > limit {
		return reject(r, "overloaded", d.Expected-limit+b.serviceTime(t)/2, d)
	}
	if now < t.ejected {
		t.ejected = now + ejectTime // one request tries the target again
	}
	d.Verdict = Send
	return d
}

// longestWait is the expected time up to which a request is sent: while it is likely to
// be on time. One that is late whatever happens gets what the others leave of a target.
func (b *Board) longestWait(t *target, r *Request) time.Duration {
	service := b.serviceTime(t)
	if b.policy.On(LateLast) && r.late(service) {
		return time.Duration(backlogFactor * float64(r.Objective))
	}
	left := time.Duration(lateFactor*float64(r.Objective)) - r.Waited
	if b.policy.On(LateLast) {
		left -= r.Lost
	}
	return max(left, 2*service)
}

// late reports whether a request misses its objective because of what its caller has lost.
func (r *Request) late(service time.Duration) bool {
	return r.Lost > 0 && r.Lost+service > r.Objective
}

func reject(r *Request, reason string, after time.Duration, d Decision) Decision {
	d.Verdict, d.Reason = Reject, reason
	longest := max(maxRetryAfter, time.Duration(retryShare*float64(r.Left)))
	d.RetryAfter = min(max(after, minRetryAfter), longest)
	return d
}

func (b *Board) budgetOf(service string) *RepeatBudget {
	s := b.budgets[service]
	if s == nil {
		template := b.budget
		s = &template
		b.budgets[service] = s
	}
	return s
}

// HasOwners reports whether the owners of a service's keys are known.
func (b *Board) HasOwners(service string) bool { return len(b.owners[service]) > 0 }
