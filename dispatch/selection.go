package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/boragegate/boragegate/ratelimit"
)

// chooseForService decides on a request that any target of its service can serve.
func (b *Balancer) chooseForService(now time.Duration, r *Request) Decision {
	if t := b.probeTarget(now, r); t != nil {
		d := b.estimate(now, t)
		d.Verdict = Send
		return d
	}
	within := b.reachOf(now, r)
	d, t := b.chooseWithin(now, r, within)
	if t == nil && !within.all {
		within = reach{all: true, reason: NoTargetInZone}
		d, t = b.chooseWithin(now, r, within)
	} else if !within.all && !within.isComplete && exceedsSubsetLatency(r, d) && !r.waitsForRoom() {
		within = reach{lower: true, unknown: true, reason: ZoneLate}
		if d2, t2 := b.chooseFrom(now, r, b.services[r.Service], within); t2 != nil {
			d, t = d2, t2
		}
	}
	if t == nil {
		if wait := b.shortestPause(now, r.Service); wait > 0 {
			return reject(r, "targets_paused", b.jitterPause(wait), Decision{ReportAge: -1})
		}
		return reject(r, "no_target", defaultHandoverTime, Decision{ReportAge: -1})
	}
	d = b.sendOrReject(now, t, r, d)
	if d.Verdict == Reject {
		if limited := b.earliestPermit(now, r); limited != nil {
			return b.sendOrReject(now, limited, r, b.estimate(now, limited))
		}
	}
	d.LeavesZone = within.reason
	return d
}

// chooseWithin returns the target for a request among those in the given zones and the estimate for it, or nil if none
// of them can receive the request.
func (b *Balancer) chooseWithin(now time.Duration, r *Request, within reach) (Decision, *targetState) {
	instanceSubset := b.subsetFor(r.Service)
	lists := [][]*targetState{b.services[r.Service]}
	if !instanceSubset.hasAllTargets {
		// The lists are tried in order until the expected latency is low enough: the subset, all targets. At times a
		// pair of the subset comes first: the better target of a pair may be a slow one, so that slow targets stay in
		// use and their load stays known.
		lists = [][]*targetState{instanceSubset.targets, b.services[r.Service]}
		if b.pairIndex++; b.pairIndex%pairInterval == 0 {
			pairs := instanceSubset.targets
			if !within.all && !within.lower && !within.unknown && instanceSubset.localCount > 0 {
				pairs = pairs[:instanceSubset.localCount]
			}
			lists = slices.Insert(lists, 0, b.nextPair(pairs))
		}
	}
	var d Decision
	var t *targetState
	for _, list := range lists {
		d, t = b.chooseFrom(now, r, list, within)
		if t == nil {
			continue
		}
		if !exceedsSubsetLatency(r, d) && !b.lacksPermit(now, t, r) && b.leavesRoom(now, t, r) {
			break
		}
		if r.waitsForRoom() {
			break // it is decided on again after each report; all targets would cost too much
		}
	}
	return d, t
}

// chooseFrom returns the target of the list in the given zones with the lowest score and the estimate for it, or nil if
// no target can receive the request. The score is the expected latency plus the zone cost, scaled up
// by the failure rate, plus the time for which the target still counts as full.
func (b *Balancer) chooseFrom(now time.Duration, r *Request, list []*targetState, within reach) (Decision, *targetState) {
	// The order among targets with equal scores differs between instances.
	first := int(b.quasiRandom(b.sequenceIndex) * float64(len(list)))
	b.sequenceIndex++
	zoneCost := b.zoneCost(r)
	best, bestScore := (*targetState)(nil), math.Inf(1)
	var bestDecision Decision
	maxLevel := includeLeaving
	if !within.all {
		maxLevel = healthyTargets // a healthy target in another zone is better
	}
	for level := healthyTargets; level <= maxLevel && best == nil; level++ {
		for i := range list {
			t := list[(i+first)%len(list)]
			if !t.isCandidate(now, level) || !b.includes(now, within, t) || slices.Contains(r.TriedTargets, t.ID) {
				continue
			}
			permitWait := time.Duration(0)
			if b.lacksPermit(now, t, r) {
				if !t.permits.IsWarmingUp(now) {
					// Many targets may warm up at once, and spare permits for all would take too many messages to the leader.
					t.permits.WantSpare(now)
					b.asking[t.Lifetime()] = t
				}
				if level < includeRateLimited {
					continue
				}
				permitWait, _ = t.permits.Wait(now, ratelimit.ClassOf(r.Priority), b.coordination(now))
			}
			d := b.estimate(now, t)
			cost := d.ExpectedLatency + permitWait
			if t.Zone != b.zone && b.policy.Enabled(ZoneCost) {
				cost += zoneCost
			}
			score := float64(cost)
			if b.policy.Enabled(FailureRate) {
				score *= 1 + failurePenalty*t.failureRate
			}
			if now < t.avoidUntil {
				score += float64(t.avoidUntil - now)
			}
			if score < bestScore {
				best, bestScore, bestDecision = t, score, d
			}
		}
	}
	return bestDecision, best
}

// fallbackLevel selects the targets that are considered for a request. Each level adds targets to
// those of the one before, and is used only if those cannot receive the request.
type fallbackLevel int

const (
	// healthyTargets are neither ejected nor leaving, and have no rate limit that the request would have to wait for.
	healthyTargets fallbackLevel = iota
	// includeRateLimited adds targets with a rate limit that the request has to wait for.
	includeRateLimited
	// includeEjected adds ejected targets.
	includeEjected
	// includeLeaving adds leaving targets whose grace period has not expired.
	includeLeaving
)

// isCandidate reports whether a request may be sent to the target at the given level.
func (t *targetState) isCandidate(now time.Duration, level fallbackLevel) bool {
	switch {
	case t.Draining, now < t.pausedUntil, t.isGraceExpired(now):
		return false
	case t.leavingAt > 0:
		return level >= includeLeaving
	default:
		return level >= includeEjected || now >= t.ejectedUntil
	}
}
