// Package dispatch decides for each request which target receives it, whether it waits,
// and when it is rejected. It is deterministic: it uses no clock, no goroutines and no
// network. A Board is not safe for concurrent use; its owner guards it with a lock.
//
// An instance sees only part of the load of a target. It estimates the total from its own
// requests in flight and the load that targets report in their responses; the weight of a
// report decays with its age. A request goes to the target with the lowest expected
// completion time. If that is later than the caller waits, the request is rejected at
// once, with the time after which the target is expected to have capacity again.
package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/boragegate/boragegate/routing"
)

const (
	// reportHalfLife is the age at which the last load report of a target and the average of
	// its reports have equal weight. The half-life is never shorter than the service time,
	// because a queue lasts as long as the requests in it.
	reportHalfLife = 200 * time.Millisecond
	// averageHalfLife is the age of the last report at which the average of the target and
	// the average of its service have equal weight. It is at least averageTimes service
	// times.
	averageHalfLife = time.Second
	averageTimes    = 5
	// usualInterval is the time for which the average load of a service is cached.
	usualInterval = 100 * time.Millisecond
	// averageWeight is the weight of a report in the moving average.
	averageWeight = 0.25
	// latencyWeight is the weight of a sample in the moving average of the service time.
	latencyWeight = 0.1
	// defaultServiceTime is assumed for targets without samples.
	defaultServiceTime = 60 * time.Millisecond
	// leastWorking is the fraction of the known service time that is the lower bound for a
	// sample from a target with a queue.
	leastWorking = 0.6
	// failureWeight is the weight of a sample in the moving average of the failure rate.
	failureWeight = 0.1
	// failurePenalty scales the score of a target by 1 + penalty × failure rate.
	failurePenalty = 4
	// ejectAfter is the number of consecutive failures after which a target is ejected.
	ejectAfter = 3
	// ejectTime is the time after which an ejected target is tried again.
	ejectTime = 700 * time.Millisecond
	// coldFactor multiplies the service time of a target that has just started.
	coldFactor = 2.0
	// lateFactor times the objective of the route is the expected latency above which a
	// request is rejected: a longer queue makes all later requests late. It is below 1
	// because load reports arrive with a delay.
	lateFactor = 0.9
	// backlogFactor replaces that factor for requests that already miss their objective.
	// They must not fill the queue that requests which can still be on time need.
	backlogFactor = 0.45
	// minRetryAfter is the lower bound of the retry delay that callers are given.
	minRetryAfter = 50 * time.Millisecond
	// maxRetryAfter is the upper bound of the retry delay, unless the caller has more than
	// 1/retryShare times as much time remaining: callers wait for at most that fraction of
	// their remaining time.
	maxRetryAfter = 2 * time.Second
	retryShare    = 1.0 / 3
	// shedPause is the time for which a target counts as full after it has shed a request.
	shedPause = 60 * time.Millisecond
	// longestFull is the upper bound of the time for which a target counts as full because
	// of a full queue. By then the leader has published the offered load.
	longestFull = 1500 * time.Millisecond
	// longestHold is the time for which a request may be held for the owner of its key, or
	// the objective of the request if that is longer.
	longestHold = time.Second
	// noHolderWait is the expected time until keys without an owner are assigned one.
	noHolderWait = 250 * time.Millisecond
	// leavingGrace is the time after a target first announces its shutdown for which it is
	// still used if no other target can serve the request. It is half of the shortest time
	// for which targets serve after that.
	leavingGrace = time.Second
	// pauseSpread is the maximum jitter as a fraction of the pause. It is added to the retry
	// delay, so that callers do not return together when the pause ends.
	pauseSpread = 0.25
)

// Verdict is the outcome of a decision.
type Verdict int

// Outcomes of a decision.
const (
	// Send means that the request is sent to the target.
	Send Verdict = iota
	// Hold means that the request waits because the owner of its key is expected to be able
	// to serve it shortly.
	Hold
	// Reject means that the request is answered at once, without having been run.
	Reject
)

// Request has the properties of a request that a decision depends on.
type Request struct {
	Service string
	Kind    routing.Kind
	// Key is the shard key, or -1 if the request has none.
	Key int
	// Left is the time until the deadline of the caller.
	Left time.Duration
	// Objective is the latency objective of the route; 0 means none.
	Objective time.Duration
	// Waited is the time since the request arrived. Lost is the time that its caller had
	// spent on rejected attempts before, as estimated by Arrived.
	Waited, Lost time.Duration
	// Tried has the IDs of the targets that the request was sent to before.
	Tried []string
	// Repeat is set if the request was sent before, Hedge if an earlier attempt is still in
	// progress.
	Repeat, Hedge bool
}

// Decision is a verdict with the data that it is based on.
type Decision struct {
	Verdict Verdict
	Target  routing.Target
	// Reason is the cause of a Hold or Reject; empty for Send.
	Reason string
	// RetryAfter is the delay that a rejected caller is given, or the longest time for which
	// a request is held.
	RetryAfter time.Duration
	// Load is the estimated number of requests at the target. Expected is the estimated time
	// to completion of this request there, and Queue the part of it that is spent in the
	// queue.
	Load            float64
	Expected, Queue time.Duration
	// ReportAge is the age of the last load report of the target; -1 if there is none.
	ReportAge time.Duration
}

// target is the state of one lifetime of a target.
type target struct {
	routing.Target
	coldUntil time.Duration
	inFlight  int
	// reported is the load that the target last reported, at reportedAt. At that time, this
	// instance had own requests in flight there.
	reported   int
	own        int
	reportedAt time.Duration
	hasReport  bool
	// others is the moving average of the reported load without the requests of this
	// instance.
	others float64
	// serviceTime is the average time of a request without queueing; 0 if unknown.
	serviceTime time.Duration
	failureRate float64
	failures    int // consecutive
	ejected     time.Duration
	fullUntil   time.Duration
	queueFull   bool // set if fullUntil is due to a full queue
	// leavingAt is the time at which the target first announced its shutdown in a response;
	// 0 if it has not.
	leavingAt time.Duration
	// pausedUntil is the end of the pause that the target has asked for.
	pausedUntil time.Duration
	// pressure is the offered load published at pressureAt, relative to capacity. turns
	// counts the admission decisions that were based on it.
	pressure   float64
	rank       uint64 // order of preference of this instance
	pressureAt time.Duration
	turns      int
	lateShare  float64 // moving average of the fraction of late requests, while overloaded
	// served is the number of requests, and busy their total service time, since the last
	// call of Samples.
	served int
	busy   time.Duration
}

// Board tracks the targets of all services and the owners of their keys, and decides where
// requests go. It is not safe for concurrent use.
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
	// rejectedAt has the time of the last rejection, by service.
	rejectedAt map[string]time.Duration
	subsets    map[string]*subset // by service
	// instances is the number of instances that share the targets; 0 if unknown.
	instances int
	// seed differs between instances.
	seed uint64
}

// NewBoard returns a board for an instance in the availability zone. Each service gets a
// copy of budget, which has this instance's part of the slack.
func NewBoard(zone string, budget RepeatBudget) *Board {
	return &Board{
		zone: zone, services: map[string][]*target{}, byID: map[routing.Lifetime]*target{},
		owners: map[string][]routing.Owner{}, budgets: map[string]*RepeatBudget{}, budget: budget, usual: map[string]*usualLoad{},
		bytes: map[traffic]float64{}, callers: map[traffic]*timeBudgets{}, rejectedAt: map[string]time.Duration{}, subsets: map[string]*subset{},
	}
}

// SetPolicy sets which mechanisms are disabled.
func (b *Board) SetPolicy(p Policy) { b.policy = p }

// SetSlack sets the part of the budget of every service that does not depend on traffic.
// Budgets that are in use change too.
func (b *Board) SetSlack(slack float64) {
	b.budget.Slack = slack
	for _, s := range b.budgets {
		s.Slack = slack
	}
}

// SetTargets replaces the list of targets. The state of targets that remain is kept.
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

// ChangeTargets adds or replaces the targets in put and removes those in gone.
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

// SetOwners replaces the owners of the keys of a service. The list is ordered by key.
func (b *Board) SetOwners(service string, owners []routing.Owner) { b.owners[service] = owners }

// Choose decides what happens to a request. A retry that is to be sent is counted against
// the budget of its service.
func (b *Board) Choose(now time.Duration, r *Request) Decision {
	var d Decision
	if r.Key >= 0 {
		d = b.chooseOwner(now, r, b.owners[r.Service])
	} else {
		d = b.chooseAny(now, r)
	}
	if d.Verdict == Send && r.Hedge && d.Load >= float64(d.Target.Slots) {
		// A hedged attempt in a queue delays other requests and, at the owner of a key, the
		// first attempt.
		return reject(r, "no_free_slot", d.Queue, d)
	}
	if d.Verdict == Send && r.Repeat && !b.budgetOf(r.Service).Take(now) {
		// The next attempt by the caller counts as a new request, which the target may accept.
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
			// The load offered by all instances is more accurate than an old report to this one.
			d := b.expect(now, t)
			d.Verdict = Send
			return d
		}
	} else if now < t.fullUntil && t.queueFull && !r.Repeat {
		return reject(r, "target_full", t.fullUntil-now, b.expect(now, t))
	}
	return b.judge(now, t, r, b.expect(now, t))
}

// hold holds a request for the owner of its key if the owner is expected soon enough to
// leave half of the caller's time. A handover may repeatedly take longer than expected;
// after a limit the request is rejected, and the caller may retry.
func (b *Board) hold(r *Request, reason string, wait time.Duration) Decision {
	if !b.policy.On(Holding) || wait > r.Left/2 || r.Waited > max(r.Objective, longestHold) {
		return reject(r, reason, wait, Decision{ReportAge: -1})
	}
	return Decision{Verdict: Hold, Reason: reason, RetryAfter: wait, ReportAge: -1}
}

// find returns the entry that contains the key, or nil.
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
		// Choosing the better of two keeps slow targets in use, so that their load stays
		// known.
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

// chooseOf returns the target of the list with the lowest expected completion time.
func (b *Board) chooseOf(now time.Duration, r *Request, list []*target) (Decision, *target) {
	// The order among targets with equal scores differs between instances.
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

// pass is the set of targets that are considered; each value adds to the one before.
type pass int

const (
	usableTargets pass = iota
	// ejectedTargets adds targets that did not respond.
	ejectedTargets
	// leavingTargets adds targets that have recently announced their shutdown.
	leavingTargets
)

// usable reports whether a request may be sent to the target.
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

// judge sends the request to the target unless it is expected to complete too late.
func (b *Board) judge(now time.Duration, t *target, r *Request, d Decision) Decision {
	limit := r.Left
	if r.Objective > 0 && !r.Repeat && b.policy.On(EarlyRejection) {
		limit = min(limit, b.longestWait(t, r))
	}
	if d.Load >= float64(t.Slots) && d.Expected > limit {
		return reject(r, "overloaded", d.Expected-limit+b.serviceTime(t)/2, d)
	}
	if now < t.ejected {
		t.ejected = now + ejectTime // a single request probes the target
	}
	d.Verdict = Send
	return d
}

// longestWait is the expected latency up to which a request is sent. It is set so that the
// request is likely to meet its objective. A request that misses it in any case gets only
// the capacity that others leave.
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

// late reports whether a request misses its objective because of the time that its caller
// has spent before.
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

// HasOwners reports whether the owners of the keys of a service are known.
func (b *Board) HasOwners(service string) bool { return len(b.owners[service]) > 0 }
