package ratelimit

import "time"

// warmUpConfirmationTime is the time from the beginning of a warm-up until the leader knows of it too. An earlier
// answer that the target is not limited does not end the warm-up, because the leader may learn of it later.
const warmUpConfirmationTime = time.Second

// warmUp is the limit of a target that warms up; its zero value stands for none. Unlike a Limit, it ends by itself.
type warmUp struct {
	perSecond   float64
	since       time.Duration
	until       time.Duration
	notInEffect bool // the leader does not limit the target
}

// applyUnlimited applies the leader's answer that the target is not limited.
func (w *warmUp) applyUnlimited(now time.Duration) {
	if now-w.since >= warmUpConfirmationTime {
		w.notInEffect = true
	}
}

// SetWarmUp limits the requests to perSecond until the given time because the target warms up, in addition to a limit
// that it names. Permits that were granted before expire if a warm-up begins.
func (p *Permits) SetWarmUp(now time.Duration, perSecond float64, until time.Duration) {
	if !p.IsWarmingUp(now) {
		p.warmUp = warmUp{since: now}
		p.unused = nil
	}
	p.warmUp.perSecond, p.warmUp.until = perSecond, until
}

// EndWarmUp ends the limit of SetWarmUp.
func (p *Permits) EndWarmUp() { p.warmUp = warmUp{} }

// IsWarmingUp reports whether the target is limited because it warms up.
func (p *Permits) IsWarmingUp(now time.Duration) bool {
	return now < p.warmUp.until && !p.warmUp.notInEffect
}

// Applies reports whether a request for the target needs a permit.
func (p *Permits) Applies(now time.Duration) bool { return p.InForce() || p.IsWarmingUp(now) }

// Rate returns the number of requests per second that the target takes from all instances together. It is the lower one
// of the limit that the target names and that of its warm-up.
func (p *Permits) Rate(now time.Duration) float64 {
	switch {
	case !p.IsWarmingUp(now):
		return p.PerSecond
	case !p.InForce():
		return p.warmUp.perSecond
	default:
		return min(p.PerSecond, p.warmUp.perSecond)
	}
}

// WarmUpLeft returns the time for which the target is still limited because it warms up.
func (p *Permits) WarmUpLeft(now time.Duration) time.Duration {
	if !p.IsWarmingUp(now) {
		return 0
	}
	return p.warmUp.until - now
}
