// Package dispatch decides for each request which target receives it, whether it waits, and
// when it is rejected. It is deterministic: it uses no clock, no goroutines and no network.
//
// An instance sees only part of the load of a target. It estimates the total from its own requests in flight
// and the load that targets report in their responses; the weight of a report decays with its age. A request
// with a shard key goes to the holder of the key, any other to the target with the lowest expected latency. If
// that is longer than the caller waits or the objective allows, the request is rejected at once, with the time
// after which the target is expected to have capacity again.
//
// One of the instances is the leader: it measures the load that all instances together offer to each target
// and publishes it to them. A hedged attempt is a second attempt that is made while the first one is still in
// progress. A target is draining if its entry in the store says that it is shutting down; it is leaving if it
// has announced the shutdown in a response, which arrives sooner.
package dispatch

import (
	"slices"
	"time"

	"github.com/boragegate/boragegate/routing"
)

const (
	// reportHalfLife is the age at which a target's last load report and the average of its reports have equal
	// weight. For a target with a longer service time, that time is used instead, because a queue persists while
	// its requests are served.
	reportHalfLife = 200 * time.Millisecond
	// averageHalfLife is the age of the last report at which the average of the target and the average of its
	// service have equal weight. For slow targets it is minAverageServiceTimes times the service time.
	averageHalfLife        = time.Second
	minAverageServiceTimes = 5
	// averageLoadInterval is the time for which the result of averageOthersLoad is cached.
	averageLoadInterval = 100 * time.Millisecond
	// reportWeight is the weight of a report in the moving average of the reported load.
	reportWeight = 0.25
	// paceFactorWeight is the weight of a report in the moving average of the pace of all targets of a service, and
	// basePaceRise the part by which a higher pace raises the base of its target.
	paceFactorWeight = 0.02
	basePaceRise     = 0.05
	// serviceTimeWeight is the weight of a sample in the moving average of the service time.
	serviceTimeWeight = 0.1
	// serviceTimePriorSamples is the number of samples as which the mean of the service counts in the service time of
	// a target. One instance of many gets few samples from each target, and single ones vary by more than targets do.
	serviceTimePriorSamples = 3
	// workTimePriorSamples replaces serviceTimePriorSamples for targets that report their pace, and so how much they
	// differ from the others.
	workTimePriorSamples = 20
	// defaultServiceTime is assumed for targets without samples.
	defaultServiceTime = 60 * time.Millisecond
	// minServiceTimeFraction limits how far a sample may fall below the known service time: a
	// sample from a target with a queue counts as at least this fraction of it.
	minServiceTimeFraction = 0.6
	// failureWeight is the weight of a sample in the moving average of the failure rate.
	failureWeight = 0.1
	// failurePenalty scales the score of a target by 1 + penalty × failure rate.
	failurePenalty = 4
	// ejectionThreshold is the number of consecutive failures after which a target is ejected.
	ejectionThreshold = 3
	// ejectionDuration is the time after which an ejected target is tried again.
	ejectionDuration = 700 * time.Millisecond
	// coldStartFactor multiplies the service time of a target that has just started.
	coldStartFactor = 2.0
	// latencyLimitFactor times the route's objective is the expected latency above which a request is rejected:
	// a longer queue makes all later requests late. It is below 1 because load reports arrive with a delay.
	latencyLimitFactor = 0.9
	// lateLatencyLimitFactor replaces latencyLimitFactor for requests that cannot meet their objective any more.
	// They must not fill the queue, so that requests which can still be on time get a place in it.
	lateLatencyLimitFactor = 0.45
	// minRetryAfter is the lower bound of the retry delay that callers are given.
	minRetryAfter = 50 * time.Millisecond
	// The upper bound of the retry delay is maxRetryAfter or maxRetryAfterFraction of the caller's remaining
	// time, whichever is longer.
	maxRetryAfter         = 2 * time.Second
	maxRetryAfterFraction = 1.0 / 3
	// shedBackoff is the time for which a target counts as full after it has shed a request, unless markFull
	// sets a longer one because its queue is full.
	shedBackoff = 60 * time.Millisecond
	// maxFullDuration is the upper bound of the time for which a target counts as full because
	// of a full queue. By the end of it, the leader has published the offered load.
	maxFullDuration = 1500 * time.Millisecond
	// minHoldLimit is the time after its arrival up to which a request may be held for the holder of its key. If
	// the objective of the request is longer, it applies instead.
	minHoldLimit = time.Second
	// defaultHandoverTime is the expected time until keys without a holder are assigned one.
	defaultHandoverTime = 250 * time.Millisecond
	// leavingGrace is the time for which a target that has announced its shutdown is still used if no other can
	// serve the request. It is half of the shortest time for which targets keep serving after the announcement.
	leavingGrace = time.Second
	// pauseJitter is the maximum jitter that is added to the retry delay for paused targets, as a
	// fraction of the delay, so that callers do not return together when the pause ends.
	pauseJitter = 0.25
)

// Balancer tracks the targets of all services and the holders of their keys, and decides where
// requests go. The parameter now of its methods is the time since a fixed point, such as the
// start of the process. A Balancer is not safe for concurrent use; its user guards it with a lock.
type Balancer struct {
	policy         Policy
	zone           string
	services       map[string][]*targetState
	byID           map[routing.Lifetime]*targetState
	owners         map[string][]routing.Owner
	retryBudgets   map[string]*RetryBudget
	budgetTemplate RetryBudget
	// sequenceIndex and pairIndex are positions in the quasi-random sequence: the former is used for the order of
	// targets with equal scores and for jitter, the latter for the pairs of a subset. The sequence starts at
	// sequenceOffset.
	sequenceIndex  int
	pairIndex      int
	sequenceOffset float64
	averageLoads   map[string]*cachedLoad // by service
	exchangeSizes  map[trafficClass]float64
	callerTimeouts map[trafficClass]*timeoutEstimator
	// lastRejection has the time of the last rejection, by service.
	lastRejection map[string]time.Duration
	// lateFractions has the moving average of the fraction of late requests among those for overloaded targets, by
	// service. One instance of many sends too little to each target to know the fraction there.
	lateFractions map[string]float64
	subsets       map[string]*subset       // by service
	spillovers    map[string]*spillover    // by service
	starts        map[string]*serviceStart // by service
	// instanceCount is the number of instances that share the targets; 0 if unknown.
	instanceCount int
	// seed is the seed of the hash that ranks targets for the subset. It differs between instances.
	seed          uint64
	serviceTotals map[string]*serviceTotals
	// limited has the targets that have named a rate limit, whether or not it is still in force, warming those that are
	// limited for their warm-up, and asking those for which the leader may have to be asked for permits.
	limited, warming, asking map[routing.Lifetime]*targetState
	warmUpRates              map[string]float64 // by service
	// nextProbeScan is the time from which targets are searched again for one to be probed, by service.
	nextProbeScan map[string]time.Duration
	priorities    map[string]*priorityUse // by service
	roomFreed     bool                    // see TakeRoomFreed
	// permitLeaderUntil is the time until which a leader is known to grant permits for targets with a rate limit.
	permitLeaderUntil time.Duration
}

// NewBalancer returns a balancer for an instance in the zone. Each service gets a copy of budgetTemplate, whose
// MinRetries is this instance's share of the retries that all instances together may make without traffic.
func NewBalancer(zone string, budgetTemplate RetryBudget) *Balancer {
	return &Balancer{
		zone: zone, budgetTemplate: budgetTemplate,
		services: map[string][]*targetState{}, byID: map[routing.Lifetime]*targetState{}, owners: map[string][]routing.Owner{},
		retryBudgets: map[string]*RetryBudget{}, averageLoads: map[string]*cachedLoad{}, serviceTotals: map[string]*serviceTotals{},
		exchangeSizes: map[trafficClass]float64{}, callerTimeouts: map[trafficClass]*timeoutEstimator{},
		lastRejection: map[string]time.Duration{}, lateFractions: map[string]float64{}, subsets: map[string]*subset{},
		limited: map[routing.Lifetime]*targetState{}, warming: map[routing.Lifetime]*targetState{}, asking: map[routing.Lifetime]*targetState{},
		nextProbeScan: map[string]time.Duration{}, priorities: map[string]*priorityUse{}, spillovers: map[string]*spillover{}, starts: map[string]*serviceStart{},
	}
}

// SetPolicy sets which mechanisms are disabled.
func (b *Balancer) SetPolicy(p Policy) { b.policy = p }

// SetMinRetries sets the number of retries per window that every service is allowed without
// traffic. Budgets that are in use change too.
func (b *Balancer) SetMinRetries(n float64) {
	b.budgetTemplate.MinRetries = n
	for _, budget := range b.retryBudgets {
		budget.MinRetries = n
	}
}

// Choose decides what happens to a request. A retry that is to be sent is counted against the
// budget of its service.
func (b *Balancer) Choose(now time.Duration, r *Request) Decision {
	d := b.decide(now, r)
	if r.Ticket != d.Ticket {
		b.StopAwaitingPermit(r.Ticket)
	}
	b.setZoneReason(r, &d, d.LeavesZone)
	if d.Verdict == Reject {
		b.lastRejection[r.Service] = now
	}
	return d
}

// decide does the work of Choose, but for what follows from the decision in any case.
func (b *Balancer) decide(now time.Duration, r *Request) Decision {
	if d, late := b.turnAwayLate(now, r); late {
		return d
	}
	var d Decision
	if r.Key >= 0 {
		d = b.chooseForKey(now, r, b.owners[r.Service])
	} else {
		d = b.chooseForService(now, r)
	}
	if d.Verdict == Send && r.IsHedge && d.Load >= float64(d.Target.Slots) {
		// A hedged attempt in a queue delays other requests and, at the holder of a key, the first attempt.
		return reject(r, "no_free_slot", d.ExpectedQueueTime, d)
	}
	if d.Verdict == Send {
		d = b.limitRate(now, r, d)
	}
	if d.Verdict == Send && r.IsRetry && !b.retryBudget(r.Service).Allow(now) {
		b.giveBackPermit(now, d.Target.Lifetime())
		// The caller is told to retry. Its next attempt is a new request, which this budget does not limit.
		return reject(r, "repeat_budget", d.ExpectedQueueTime, d)
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
	if t.permits.Applies(now) {
		// Permits keep the rate below the limit more accurately than the offered load and the backoff do.
		return b.sendOrReject(now, t, r, b.estimate(now, t))
	}
	if !r.waitsForRoom() {
		t.keys.add(now, r.Key)
	}
	_, neighbor := b.isForHotKey(now, t, r)
	if b.policy.Enabled(OfferedLoadAdmission) && t.isOverloaded(now) {
		if d, rejected := b.rejectOverload(now, t, r); rejected {
			return d
		}
		if now-t.reportedAt > reportHalfLife {
			// The offered load, which admitted the request, is more accurate than an estimate from an old report.
			d := b.estimate(now, t)
			d.Verdict = Send
			return d
		}
	} else if now < t.avoidUntil && t.fullByQueue && !r.IsRetry && !neighbor {
		return reject(r, "target_full", t.avoidUntil-now, b.estimate(now, t))
	}
	return b.holdNeighbor(now, t, r, b.sendOrReject(now, t, r, b.estimate(now, t)))
}

// holdOrReject holds a request if its key is expected to have a ready holder within half of the
// caller's remaining time. Because a handover may repeatedly take longer than expected, the request
// is rejected once the longer of minHoldLimit and its objective has passed; the caller may retry.
func (b *Balancer) holdOrReject(r *Request, reason string, wait time.Duration) Decision {
	if !b.policy.Enabled(Holding) || wait > r.Remaining/2 || r.Elapsed > max(r.Objective, minHoldLimit) {
		return reject(r, reason, wait, Decision{ReportAge: -1})
	}
	return Decision{Verdict: Hold, Reason: reason, RetryAfter: wait, ReportAge: -1}
}

// findOwner returns the entry that contains the key, or nil.
func findOwner(owners []routing.Owner, key int) *routing.Owner {
	i, ok := slices.BinarySearchFunc(owners, key, func(o routing.Owner, key int) int { return o.Compare(key) })
	if !ok {
		return nil
	}
	return &owners[i]
}

// sendOrReject decides to send the request to the target unless the target has no free slot and the
// request is expected to complete there too late.
func (b *Balancer) sendOrReject(now time.Duration, t *targetState, r *Request, d Decision) Decision {
	if wait, yields := b.yieldToUrgent(now, t, r, d); yields {
		return wait
	}
	limit := r.Remaining
	if r.Objective > 0 && !r.IsRetry && b.policy.Enabled(EarlyRejection) {
		limit = min(limit, b.maxExpectedLatency(now, t, r))
	}
	if d.Load >= float64(t.Slots) && (d.ExpectedLatency > limit || b.exceedsHotKeyShare(now, t, r)) {
		return reject(r, reasonOverloaded, b.overloadDelay(now, t, r, d.ExpectedLatency-limit), d)
	}
	if now < t.ejectedUntil {
		// This request probes the ejected target. Others avoid the target until an attempt succeeds there or
		// ejectionDuration has passed.
		t.ejectedUntil = now + ejectionDuration
	}
	d.Verdict = Send
	return d
}

// maxExpectedLatency returns the expected latency up to which a request is sent. It is set so
// that the request is likely to meet its objective. For a request that misses it in any case,
// lateLatencyLimitFactor applies, so that it uses only capacity that others leave.
func (b *Balancer) maxExpectedLatency(now time.Duration, t *targetState, r *Request) time.Duration {
	serviceTime := b.serviceTime(t)
	if b.policy.Enabled(OnTimeFirst) && r.missesObjective(serviceTime) {
		return time.Duration(lateLatencyLimitFactor * float64(r.Objective))
	}
	limit := time.Duration(latencyLimitFactor*float64(r.Objective)) - r.Elapsed
	if b.policy.Enabled(OnTimeFirst) {
		limit -= r.PriorElapsed
	}
	if b.isHotUnpublished(now, t, r) {
		limit = time.Duration(hotKeyQueueFraction * float64(limit))
	}
	return max(limit, 2*serviceTime)
}

// missesObjective reports whether a request misses its objective even if it is served without
// queueing, because of the time that its caller has spent on earlier attempts.
func (r *Request) missesObjective(serviceTime time.Duration) bool {
	return r.PriorElapsed > 0 && r.PriorElapsed+serviceTime > r.Objective
}

// reasonOverloaded is the reason of a rejection because of the expected latency.
const reasonOverloaded = "overloaded"

func reject(r *Request, reason string, delay time.Duration, d Decision) Decision {
	d.Verdict, d.Reason = Reject, reason
	maxDelay := max(maxRetryAfter, time.Duration(maxRetryAfterFraction*float64(r.Remaining)))
	d.RetryAfter = min(max(delay, minRetryAfter), maxDelay)
	return d
}

func (b *Balancer) retryBudget(service string) *RetryBudget {
	budget := b.retryBudgets[service]
	if budget == nil {
		template := b.budgetTemplate
		budget = &template
		b.retryBudgets[service] = budget
	}
	return budget
}

// HasOwners reports whether the holders of the keys of a service are known.
func (b *Balancer) HasOwners(service string) bool { return len(b.owners[service]) > 0 }
