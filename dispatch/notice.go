package dispatch

import (
	"time"

	"github.com/boragegate/boragegate/routing"
)

// MarkLeaving notes that a target has said in an answer that it leaves. It reports whether
// that is news. A later list that names the target as ready does not undo it.
func (b *Balancer) MarkLeaving(now time.Duration, id routing.Lifetime) bool {
	t := b.byID[id]
	if t == nil || t.leavingAt > 0 {
		return false
	}
	t.leavingAt = max(now, 1)
	for _, s := range b.subsets {
		s.stale = true
	}
	return true
}

// PauseUntil notes that a target wants nothing from this instance until a time.
func (b *Balancer) PauseUntil(id routing.Lifetime, until time.Duration) {
	if t := b.byID[id]; t != nil {
		t.pausedUntil = max(t.pausedUntil, until)
	}
}

// isGraceExpired reports whether the target said long enough ago that it leaves.
func (t *targetState) isGraceExpired(now time.Duration) bool {
	return t.leavingAt > 0 && now-t.leavingAt >= leavingGrace
}

// holdForPause holds a request for a holder that pauses if it would still be answered
// within its objective, and rejects it otherwise.
func (b *Balancer) holdForPause(now time.Duration, t *targetState, r *Request) Decision {
	wait := t.pausedUntil - now
	if r.Elapsed+wait+b.serviceTime(t) <= r.Objective {
		return Decision{Verdict: Hold, Reason: "holder_paused", RetryAfter: wait, ReportAge: -1}
	}
	return reject(r, "holder_paused", b.jitterPause(wait), b.estimate(now, t))
}

// shortestPause is the time until the first target of a service ends its pause, 0 if
// none pauses.
func (b *Balancer) shortestPause(now time.Duration, service string) time.Duration {
	shortest := time.Duration(0)
	for _, t := range b.services[service] {
		if wait := t.pausedUntil - now; wait > 0 && !t.Draining && (shortest == 0 || wait < shortest) {
			shortest = wait
		}
	}
	return shortest
}

// jitterPause lets callers come back one after the other.
func (b *Balancer) jitterPause(wait time.Duration) time.Duration {
	b.sequenceIndex++
	return wait + time.Duration(pauseJitter*b.sequenceValue(b.sequenceIndex)*float64(wait))
}
