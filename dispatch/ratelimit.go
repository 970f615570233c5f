package dispatch

import (
	"time"

	"github.com/boragegate/boragegate/ratelimit"
	"github.com/boragegate/boragegate/routing"
)

// RecordRateLimit records that a response which was just received names the rate limit of its target. It returns
// what is known about the limit, and whether this changes what applies.
func (b *Balancer) RecordRateLimit(now time.Duration, id routing.Lifetime, perSecond float64) (ratelimit.Limit, bool) {
	t := b.byID[id]
	if t == nil {
		return ratelimit.Limit{}, false
	}
	changed := t.rateLimit.ObserveNamed(now, perSecond)
	return t.rateLimit, changed
}

// RecordNoRateLimit records that the response to a request that was sent at the given time names no rate limit. It
// returns the same as RecordRateLimit.
func (b *Balancer) RecordNoRateLimit(sentAt time.Duration, id routing.Lifetime) (ratelimit.Limit, bool) {
	t := b.byID[id]
	if t == nil {
		return ratelimit.Limit{}, false
	}
	changed := t.rateLimit.ObserveUnnamed(sentAt)
	return t.rateLimit, changed
}
