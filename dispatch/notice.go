package dispatch

import (
	"time"

	"github.com/boragegate/boragegate/routing"
)

// MarkLeaving records that a target has announced its shutdown in a response. It reports
// whether this is the first announcement of a known target. A later call of SetTargets or
// ChangeTargets in which the target is not draining does not undo it.
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

// PauseUntil records that a target accepts no requests from this instance until the given
// time. It does not shorten an earlier pause.
func (b *Balancer) PauseUntil(id routing.Lifetime, until time.Duration) {
	if t := b.byID[id]; t != nil {
		t.pausedUntil = max(t.pausedUntil, until)
	}
}

// isGraceExpired reports whether the grace period after the target announced its shutdown is
// over.
func (t *targetState) isGraceExpired(now time.Duration) bool {
	return t.leavingAt > 0 && now-t.leavingAt >= leavingGrace
}

// holdForPause holds a request whose holder has asked for a pause if it can still be answered
// within its objective after the pause, and rejects it otherwise.
func (b *Balancer) holdForPause(now time.Duration, t *targetState, r *Request) Decision {
	wait := t.pausedUntil - now
	if r.Elapsed+wait+b.serviceTime(t) <= r.Objective {
		return Decision{Verdict: Hold, Reason: "holder_paused", RetryAfter: wait, ReportAge: -1}
	}
	return reject(r, "holder_paused", b.jitterPause(wait), b.estimate(now, t))
}

// shortestPause returns the time until the first paused target of a service resumes, or 0 if
// none is paused.
func (b *Balancer) shortestPause(now time.Duration, service string) time.Duration {
	shortest := time.Duration(0)
	for _, t := range b.services[service] {
		if wait := t.pausedUntil - now; wait > 0 && !t.Draining && (shortest == 0 || wait < shortest) {
			shortest = wait
		}
	}
	return shortest
}

// jitterPause adds jitter to a pause, so that callers do not all retry when it ends.
func (b *Balancer) jitterPause(wait time.Duration) time.Duration {
	b.sequenceIndex++
	return wait + time.Duration(pauseJitter*b.quasiRandom(b.sequenceIndex)*float64(wait))
}
