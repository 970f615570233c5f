package dispatch

import (
	"slices"
	"time"

	"github.com/boragegate/boragegate/ratelimit"
	"github.com/boragegate/boragegate/routing"
)

const (
	// permitLeaderTimeout is the time after the last sign of a leader that grants permits for which an instance
	// waits for its permits. It is the longest silence in which a leader that works is not suspected.
	permitLeaderTimeout = time.Second
	// minPermitWait is the time for which a request may wait for a permit even if it misses its objective then. It
	// covers the exchange with the leader.
	minPermitWait = 100 * time.Millisecond
)

// RecordRateLimit records that a response which was just received names the rate limit of its target. It returns
// what is known about the limit, and whether this changes what applies.
func (b *Balancer) RecordRateLimit(now time.Duration, id routing.Lifetime, perSecond float64) (ratelimit.Limit, bool) {
	t := b.byID[id]
	if t == nil {
		return ratelimit.Limit{}, false
	}
	b.limited[id] = t
	changed := t.permits.ObserveNamed(now, perSecond)
	return t.permits.Limit, changed
}

// RecordNoRateLimit records that the response to a request that was sent at the given time names no rate limit. It
// returns the same as RecordRateLimit.
func (b *Balancer) RecordNoRateLimit(sentAt time.Duration, id routing.Lifetime) (ratelimit.Limit, bool) {
	t := b.byID[id]
	if t == nil {
		return ratelimit.Limit{}, false
	}
	changed := t.permits.ObserveUnnamed(sentAt)
	return t.permits.Limit, changed
}

// MergeRateLimit applies what another instance knows about the rate limit of a target. It returns the same as
// RecordRateLimit.
func (b *Balancer) MergeRateLimit(now time.Duration, n *ratelimit.Notice) (ratelimit.Limit, bool) {
	t := b.byID[n.Lifetime]
	if t == nil {
		return ratelimit.Limit{}, false
	}
	b.limited[n.Lifetime] = t
	changed := t.permits.Merge(now, n)
	return t.permits.Limit, changed
}

// RateLimits returns the rate limits that are in force, by target.
func (b *Balancer) RateLimits() map[routing.Lifetime]ratelimit.Limit {
	limits := map[routing.Lifetime]ratelimit.Limit{}
	for id, t := range b.limited {
		if t.permits.InForce() {
			limits[id] = t.permits.Limit
		}
	}
	return limits
}

// RateLimit returns what is known about the rate limit of a target.
func (b *Balancer) RateLimit(id routing.Lifetime) ratelimit.Limit {
	if t := b.byID[id]; t != nil {
		return t.permits.Limit
	}
	return ratelimit.Limit{}
}

// SetPermitLeader records whether this instance has a leader that grants permits, or is one. Without further calls, the
// leader counts as lost after a while.
func (b *Balancer) SetPermitLeader(now time.Duration, present bool) {
	if !present {
		b.permitLeaderUntil = 0
		for _, targets := range []map[routing.Lifetime]*targetState{b.limited, b.warming} {
			for _, t := range targets {
				t.permits.ForgetRequests()
			}
		}
		return
	}
	b.permitLeaderUntil = now + permitLeaderTimeout
}

// TakePermitRequests returns the permits to ask the leader for.
func (b *Balancer) TakePermitRequests(now time.Duration) []ratelimit.Request {
	if now >= b.permitLeaderUntil {
		return nil
	}
	var list []ratelimit.Request
	for id, t := range b.asking {
		if request, ok := t.permits.TakeRequest(now, id); ok {
			list = append(list, request)
		}
		if t.permits.NeedsNothing(now) {
			delete(b.asking, id)
		}
	}
	return list
}

// ApplyPermits applies permits that the leader has granted. It returns the targets whose limits this ends.
func (b *Balancer) ApplyPermits(now time.Duration, grants []ratelimit.Grant) []routing.Lifetime {
	var ended []routing.Lifetime
	for i := range grants {
		t := b.byID[grants[i].Lifetime]
		if t == nil {
			continue
		}
		if t.permits.ApplyGrant(now, &grants[i]) {
			ended = append(ended, grants[i].Lifetime)
		}
		b.asking[t.Lifetime()] = t
	}
	return ended
}

// StopAwaitingPermit records that the request with the ticket no longer waits for a permit. A zero ticket is ignored.
func (b *Balancer) StopAwaitingPermit(ticket ratelimit.Ticket) {
	if t := b.byID[ticket.Target]; t != nil {
		t.permits.StopWaiting(ticket)
	}
}

// ticketFor returns the ticket of the request if it waits for a permit for the target.
func (r *Request) ticketFor(t *targetState) ratelimit.Ticket {
	if r.Ticket.Target != t.Lifetime() {
		return ratelimit.Ticket{}
	}
	return r.Ticket
}

func (b *Balancer) giveBackPermit(now time.Duration, id routing.Lifetime) {
	if t := b.byID[id]; t != nil && t.permits.Applies(now) {
		t.permits.GiveBack(now)
	}
}

// coordination describes how this instance coordinates its requests to limited targets with the other instances.
func (b *Balancer) coordination(now time.Duration) ratelimit.Coordination {
	return ratelimit.Coordination{HasLeader: now < b.permitLeaderUntil, Instances: b.instanceCount, Spread: b.quasiRandom(b.sequenceIndex + 1)}
}

// lacksPermit reports whether a request for the target would have to wait because of the target's rate limit.
func (b *Balancer) lacksPermit(now time.Duration, t *targetState, r *Request) bool {
	return t.permits.Applies(now) && !t.permits.Available(now, ratelimit.ClassOf(r.Priority), r.ticketFor(t), b.coordination(now))
}

// earliestPermit returns the target of the request's service for which it would get a permit first, among the healthy ones
// that limit their rate; nil if there is none.
func (b *Balancer) earliestPermit(now time.Duration, r *Request) *targetState {
	if len(b.limited)+len(b.warming) == 0 {
		return nil
	}
	var best *targetState
	var shortest time.Duration
	list := b.services[r.Service]
	// Among targets with the same wait, different requests get different ones.
	first := int(b.quasiRandom(b.sequenceIndex) * float64(len(list)))
	for i := range list {
		t := list[(i+first)%len(list)]
		if !t.permits.Applies(now) || !t.isCandidate(now, healthyTargets) || slices.Contains(r.TriedTargets, t.ID) {
			continue
		}
		wait, _ := t.permits.Wait(now, ratelimit.ClassOf(r.Priority), b.coordination(now))
		if best == nil || wait < shortest {
			best, shortest = t, wait
		}
	}
	return best
}

// limitRate decides on a request that is about to be sent. If the target limits its rate, the request needs a permit.
// Without one it is held, if a permit is expected while the request can still be served on time, or else rejected.
func (b *Balancer) limitRate(now time.Duration, r *Request, d Decision) Decision {
	t := b.byID[d.Target.Lifetime()]
	if t == nil || !t.permits.Applies(now) {
		return d
	}
	d.LimitPerSecond = t.permits.Rate(now)
	class, coordination := ratelimit.ClassOf(r.Priority), b.coordination(now)
	ticket := r.ticketFor(t)
	if t.permits.Take(now, class, ticket, coordination) {
		return d
	}
	wait, known := t.permits.Wait(now, class, coordination)
	longest := b.maxPermitWait(now, t, r)
	waits := ticket != (ratelimit.Ticket{})
	cannotWait := !waits && known && wait > longest || waits && t.permits.IsRefused(now, ticket, coordination)
	if r.IsHedge || longest <= 0 || cannotWait {
		return reject(r, "target_rate_limited", b.jitterPause(wait), d)
	}
	if !waits {
		ticket = t.permits.StartWaiting(t.Lifetime(), class, now+longest)
		b.asking[t.Lifetime()] = t
	}
	d.Verdict, d.Reason, d.RetryAfter, d.Ticket = Hold, "target_rate_limited", longest, ticket
	return d
}

// maxPermitWait returns the time for which a request may still wait for a permit so that it meets its objective. The
// result is negative if the request has waited too long.
func (b *Balancer) maxPermitWait(now time.Duration, t *targetState, r *Request) time.Duration {
	if r.Objective <= 0 {
		return r.Remaining/2 - r.Elapsed
	}
	onTime := time.Duration(latencyLimitFactor*float64(r.Objective)) - r.PriorElapsed - b.currentServiceTime(now, t)
	return min(max(onTime, minPermitWait)-r.Elapsed, r.Remaining/2)
}
