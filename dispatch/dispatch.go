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
	// counts half, and the usual load of its service the other half; minAverageServiceTimes is
	// its least number of service times.
	averageHalfLife        = time.Second
	minAverageServiceTimes = 5
	// averageLoadInterval is the time for which a usual load is used again.
	averageLoadInterval = 100 * time.Millisecond
	// reportWeight is the weight of a report in the average.
	reportWeight = 0.25
	// serviceTimeWeight is the weight of a new sample in the average service time.
	serviceTimeWeight = 0.1
	// defaultServiceTime stands for targets of which nothing is known.
	defaultServiceTime = 60 * time.Millisecond
	// minServiceTimeFraction is the part of the known service time that a request at a target
	// with a queue is taken to need at least.
	minServiceTimeFraction = 0.6
	// failureWeight is the weight of a new sample in the failure rate.
	failureWeight = 0.1
	// failurePenalty multiplies the expected time of a target by 1 + penalty × failure rate.
	failurePenalty = 4
	// ejectionThreshold is the number of failures in a row after which a target is left out.
	ejectionThreshold = 3
	// ejectionDuration is the time until a target that was left out is tried again.
	ejectionDuration = 700 * time.Millisecond
	// coldStartFactor is the slowness of a target that has just started.
	coldStartFactor = 2.0
	// latencyLimitFactor times the route's objective is the expected time from which a
	// request is rejected: a queue that is longer makes all later ones late. It is
	// below 1 because the load of a target is known with a delay.
	latencyLimitFactor = 0.9
	// lateLatencyLimitFactor times the objective is that time for requests that are late already.
	// They must not fill the queue that those with all their time still pass in time.
	lateLatencyLimitFactor = 0.45
	// minRetryAfter is the shortest time after which a caller is asked back.
	minRetryAfter = 50 * time.Millisecond
	// maxRetryAfter bounds the time for which a caller is sent away, unless it has more
	// than 1/maxRetryAfterFraction of that left: callers wait for that share of their time at most.
	maxRetryAfter         = 2 * time.Second
	maxRetryAfterFraction = 1.0 / 3
	// shedBackoff is the time for which a target that shed a request counts as full.
	shedBackoff = 60 * time.Millisecond
	// maxFullDuration bounds the time for which a target counts as full whose queue was. By
	// then the pressure on it is told.
	maxFullDuration = 1500 * time.Millisecond
	// minHoldLimit is the time for which a request is held for its holder, or its objective
	// if that is longer.
	minHoldLimit = time.Second
	// defaultHandoverTime is the usual time until keys without a holder get one.
	defaultHandoverTime = 250 * time.Millisecond
	// leavingGrace is the time after a target's first word that it leaves for which it is
	// still used where nothing else can serve. It is half of the shortest time for which
	// targets serve after that.
	leavingGrace = time.Second
	// pauseJitter of a pause is added to the time after which callers are asked back, so
	// that they do not return together when it ends.
	pauseJitter = 0.25
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
	// Remaining is the time that the caller still waits.
	Remaining time.Duration
	// Objective is the latency within which the answer has its full value.
	Objective time.Duration
	// Elapsed is the time since the request arrived, Lost what its caller had lost before by
	// tries that were refused, as Arrived estimates it.
	Elapsed, PriorElapsed time.Duration
	// TriedTargets are the targets that got the request before.
	TriedTargets []string
	// IsRetry says that the request was sent before, Hedge that an attempt still runs.
	IsRetry, IsHedge bool
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
	Load                               float64
	ExpectedLatency, ExpectedQueueTime time.Duration
	// ReportAge is the age of the target's last report of its load; -1 if there is none.
	ReportAge time.Duration
}

// targetState is the state of one lifetime of a target.
type targetState struct {
	routing.Target
	coldUntil time.Duration
	inFlight  int
	// reportedLoad is the load that the target reported at reportedAt, when own of it
	// were this instance's.
	reportedLoad int
	ownAtReport  int
	reportedAt   time.Duration
	hasReport    bool
	// othersLoad is the average of what the target reported beyond this instance's own.
	othersLoad float64
	// serviceTime is the average time of a request without waiting, 0 if unknown.
	serviceTime         time.Duration
	failureRate         float64
	consecutiveFailures int // in a row
	ejectedUntil        time.Duration
	fullUntil           time.Duration
	fullByQueue         bool // says that fullUntil is due to a full queue
	// leavingAt is when the target first said in an answer that it leaves, 0 if it has not.
	leavingAt time.Duration
	// pausedUntil is the end of the time for which the target wants nothing.
	pausedUntil time.Duration
	// offeredLoad is the Offered of a Pressure that was told at offeredLoadAt; turns counts
	// the requests that it decided about.
	offeredLoad    float64
	rank           uint64 // order in which this instance prefers targets
	offeredLoadAt  time.Duration
	admissionIndex int
	lateFraction   float64 // of the requests for a target under pressure
	// servedCount and busy sum up what was answered since the last call of Samples.
	servedCount int
	busyTime    time.Duration
}

// Balancer has the targets of all services and who holds which keys.
type Balancer struct {
	policy         Policy
	zone           string
	services       map[string][]*targetState
	byID           map[routing.Lifetime]*targetState
	owners         map[string][]routing.Owner
	retryBudgets   map[string]*RetryBudget
	budgetTemplate RetryBudget
	sequenceIndex  int
	pairIndex      int
	sequenceOffset float64
	averageLoads   map[string]*cachedLoad // by service
	exchangeSizes  map[trafficClass]float64
	callerTimeouts map[trafficClass]*timeoutEstimator
	// lastRejection has the times of the last rejections, by service.
	lastRejection map[string]time.Duration
	subsets       map[string]*subset // by service
	// instanceCount is the number of instances that share the targets, 0 if unknown.
	instanceCount int
	// seed differs between instances.
	seed uint64
}

// NewBalancer returns a board of an instance in the zone. Budget is the template of
// the budgets of all services, with this instance's share of the slack.
func NewBalancer(zone string, budget RetryBudget) *Balancer {
	return &Balancer{
		zone: zone, services: map[string][]*targetState{}, byID: map[routing.Lifetime]*targetState{},
		owners: map[string][]routing.Owner{}, retryBudgets: map[string]*RetryBudget{}, budgetTemplate: budget, averageLoads: map[string]*cachedLoad{},
		exchangeSizes: map[trafficClass]float64{}, callerTimeouts: map[trafficClass]*timeoutEstimator{}, lastRejection: map[string]time.Duration{}, subsets: map[string]*subset{},
	}
}

// SetPolicy sets which mechanisms are switched off.
func (b *Balancer) SetPolicy(p Policy) { b.policy = p }

// SetMinRetries sets this instance's share of the slack.
func (b *Balancer) SetMinRetries(slack float64) {
	b.budgetTemplate.MinRetries = slack
	for _, s := range b.retryBudgets {
		s.MinRetries = slack
	}
}

// SetTargets replaces the targets. What is known of those that stay is kept.
func (b *Balancer) SetTargets(now time.Duration, list []routing.Target) {
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
func (b *Balancer) ChangeTargets(now time.Duration, put []routing.Target, gone []routing.Lifetime) {
	for _, s := range b.subsets {
		s.stale = true
	}
	for _, id := range gone {
		if t := b.byID[id]; t != nil {
			delete(b.byID, id)
			b.removeFromService(t)
		}
	}
	for i := range put {
		t := &put[i]
		s := b.byID[t.Lifetime()]
		switch {
		case s == nil:
			s = &targetState{coldUntil: now + t.WarmUp}
			b.byID[t.Lifetime()] = s
			b.services[t.Service] = append(b.services[t.Service], s)
		case s.Service != t.Service:
			b.removeFromService(s)
			b.services[t.Service] = append(b.services[t.Service], s)
		}
		s.Target = *t
	}
}

// removeFromService removes a target from the list of its service.
func (b *Balancer) removeFromService(t *targetState) {
	list := b.services[t.Service]
	if i := slices.Index(list, t); i >= 0 {
		b.services[t.Service] = slices.Delete(list, i, i+1)
	}
}

// SetOwners replaces the owners of the keys of a service, ordered by key.
func (b *Balancer) SetOwners(service string, owners []routing.Owner) { b.owners[service] = owners }

// Choose decides about a request. A repeat that is to be sent counts against the budget.
func (b *Balancer) Choose(now time.Duration, r *Request) Decision {
	var d Decision
	if r.Key >= 0 {
		d = b.chooseForKey(now, r, b.owners[r.Service])
	} else {
		d = b.chooseForService(now, r)
	}
	if d.Verdict == Send && r.IsHedge && d.Load >= float64(d.Target.Slots) {
		// In a queue it would only delay others, at the holder of a key the attempt itself.
		return reject(r, "no_free_slot", d.ExpectedQueueTime, d)
	}
	if d.Verdict == Send && r.IsRetry && !b.retryBudget(r.Service).Allow(now) {
		// The caller's own next try counts as a new request, which the target may take.
		d = reject(r, "repeat_budget", d.ExpectedQueueTime, d)
	}
	if d.Verdict == Reject {
		b.lastRejection[r.Service] = now
	}
	return d
}

func (b *Balancer) chooseForKey(now time.Duration, r *Request, owners []routing.Owner) Decision {
	if len(owners) == 0 {
		return b.holdOrReject(r, "owners_unknown", defaultHandoverTime)
	}
	o := findOwner(owners, r.Key)
	if o == nil || !o.Ready {
		wait := defaultHandoverTime
		if o != nil {
			wait = o.ReadyIn
		}
		return b.holdOrReject(r, "keys_moving", wait)
	}
	t := b.byID[o.Holder]
	if t == nil || t.Draining || t.isGraceExpired(now) {
		return b.holdOrReject(r, "holder_leaving", defaultHandoverTime)
	}
	if now < t.pausedUntil {
		return b.holdForPause(now, t, r)
	}
	if now < t.ejectedUntil && !r.IsRetry {
		return reject(r, "holder_unreachable", t.ejectedUntil-now, b.estimate(now, t))
	}
	if b.policy.Enabled(OfferedLoadAdmission) && t.isOverloaded(now) {
		if d, rejected := b.shedOverload(now, t, r); rejected {
			return d
		}
		if now-t.reportedAt > reportHalfLife {
			// What all instances offer says more than what this one saw earlier.
			d := b.estimate(now, t)
			d.Verdict = Send
			return d
		}
	} else if now < t.fullUntil && t.fullByQueue && !r.IsRetry {
		return reject(r, "target_full", t.fullUntil-now, b.estimate(now, t))
	}
	return b.sendOrReject(now, t, r, b.estimate(now, t))
}

// holdOrReject lets a request wait for its holder if that is expected soon enough to
// leave half of the caller's time. A hand-over may take longer than expected, again
// and again; then the caller is asked back instead.
func (b *Balancer) holdOrReject(r *Request, reason string, wait time.Duration) Decision {
	if !b.policy.Enabled(Holding) || wait > r.Remaining/2 || r.Elapsed > max(r.Objective, minHoldLimit) {
		return reject(r, reason, wait, Decision{ReportAge: -1})
	}
	return Decision{Verdict: Hold, Reason: reason, RetryAfter: wait, ReportAge: -1}
}

// findOwner returns the owner of a key, or nil.
func findOwner(owners []routing.Owner, key int) *routing.Owner {
	i, ok := slices.BinarySearchFunc(owners, key, func(o routing.Owner, key int) int { return o.Compare(key) })
	if !ok {
		return nil
	}
	return &owners[i]
}

func (b *Balancer) chooseForService(now time.Duration, r *Request) Decision {
	usual := b.subsetFor(r.Service)
	lists := [][]*targetState{b.services[r.Service]}
	if !usual.hasAllTargets {
		// The better of two keeps slow targets in use, whose load is known by that.
		lists = [][]*targetState{b.nextPair(usual.targets), usual.targets, b.services[r.Service]}
	}
	var d Decision
	var t *targetState
	for _, list := range lists {
		if d, t = b.chooseFrom(now, r, list); t != nil && !exceedsSubsetLatency(r, d) {
			break
		}
	}
	if t == nil {
		if wait := b.shortestPause(now, r.Service); wait > 0 {
			return reject(r, "targets_paused", b.jitterPause(wait), Decision{ReportAge: -1})
		}
		return reject(r, "no_target", defaultHandoverTime, Decision{ReportAge: -1})
	}
	return b.sendOrReject(now, t, r, d)
}

// chooseFrom returns the target of the list where the request is expected to end first.
func (b *Balancer) chooseFrom(now time.Duration, r *Request, list []*targetState) (Decision, *targetState) {
	// Targets that look alike are taken in an order that differs between instances.
	first := int(b.sequenceValue(b.sequenceIndex) * float64(len(list)))
	b.sequenceIndex++
	away := b.zoneCost(r)
	best, bestScore := (*targetState)(nil), math.Inf(1)
	var bestDecision Decision
	for pass := healthyTargets; pass <= withLeaving && best == nil; pass++ {
		for i := range list {
			t := list[(i+first)%len(list)]
			if !t.isCandidate(now, pass) || slices.Contains(r.TriedTargets, t.ID) {
				continue
			}
			d := b.estimate(now, t)
			cost := d.ExpectedLatency
			if t.Zone != b.zone && b.policy.Enabled(ZoneCost) {
				cost += away
			}
			score := float64(cost)
			if b.policy.Enabled(FailureRate) {
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

// fallbackLevel widens the choice where nothing is left.
type fallbackLevel int

const (
	healthyTargets fallbackLevel = iota
	// withEjected takes those that did not answer, too.
	withEjected
	// withLeaving takes those that have just said that they leave, too.
	withLeaving
)

// isCandidate reports whether a request may go to the target.
func (t *targetState) isCandidate(now time.Duration, p fallbackLevel) bool {
	switch {
	case t.Draining, now < t.pausedUntil, t.isGraceExpired(now):
		return false
	case t.leavingAt > 0:
		return p >= withLeaving
	default:
		return p >= withEjected || now >= t.ejectedUntil
	}
}

// sendOrReject sends the request to the target unless it would be too late.
func (b *Balancer) sendOrReject(now time.Duration, t *targetState, r *Request, d Decision) Decision {
	limit := r.Remaining
	if r.Objective > 0 && !r.IsRetry && b.policy.Enabled(EarlyRejection) {
		limit = min(limit, b.maxExpectedLatency(t, r))
	}
	if d.Load >= float64(t.Slots) && d.ExpectedLatency > limit {
		return reject(r, "overloaded", d.ExpectedLatency-limit+b.serviceTime(t)/2, d)
	}
	if now < t.ejectedUntil {
		t.ejectedUntil = now + ejectionDuration // one request tries the target again
	}
	d.Verdict = Send
	return d
}

// maxExpectedLatency is the expected time up to which a request is sent: while it is likely to
// be on time. One that is late whatever happens gets what the others leave of a target.
func (b *Balancer) maxExpectedLatency(t *targetState, r *Request) time.Duration {
	service := b.serviceTime(t)
	if b.policy.Enabled(OnTimeFirst) && r.missesObjective(service) {
		return time.Duration(lateLatencyLimitFactor * float64(r.Objective))
	}
	left := time.Duration(latencyLimitFactor*float64(r.Objective)) - r.Elapsed
	if b.policy.Enabled(OnTimeFirst) {
		left -= r.PriorElapsed
	}
	return max(left, 2*service)
}

// missesObjective reports whether a request misses its objective because of what its caller has lost.
func (r *Request) missesObjective(service time.Duration) bool {
	return r.PriorElapsed > 0 && r.PriorElapsed+service > r.Objective
}

func reject(r *Request, reason string, after time.Duration, d Decision) Decision {
	d.Verdict, d.Reason = Reject, reason
	longest := max(maxRetryAfter, time.Duration(maxRetryAfterFraction*float64(r.Remaining)))
	d.RetryAfter = min(max(after, minRetryAfter), longest)
	return d
}

func (b *Balancer) retryBudget(service string) *RetryBudget {
	s := b.retryBudgets[service]
	if s == nil {
		template := b.budgetTemplate
		s = &template
		b.retryBudgets[service] = s
	}
	return s
}

// HasOwners reports whether the owners of a service's keys are known.
func (b *Balancer) HasOwners(service string) bool { return len(b.owners[service]) > 0 }
