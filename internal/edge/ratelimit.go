package edge

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/boragegate/boragegate/dispatch"
	"github.com/boragegate/boragegate/internal/socket"
	"github.com/boragegate/boragegate/ratelimit"
	"github.com/boragegate/boragegate/routing"
)

// observeRateLimit applies what a response says about the rate limit of its target. A limit that cannot be parsed
// neither sets nor ends one.
func (f *forwarder) observeRateLimit(a *attempt) {
	id, h := a.target.Lifetime(), a.response.Header
	perSecond, named, err := f.platform.ParseRateLimit(h.Values(f.headers.RateLimit))
	if err != nil {
		f.metrics.unreadableRateLimits.Inc(1)
		f.log.StartEvent(zerolog.WarnLevel, "target.rate_limit_unreadable").Str("target", id.ID).Float64("used_per_s", perSecond).Bool("used", named).Err(err).Send()
	}
	switch {
	case named:
		f.shared.recordRateLimit(id, perSecond, f.reportRateLimit)
	case err == nil && h.Get(f.headers.ResponseStamp) != "" && a.result != dispatch.NoResponse:
		f.shared.recordNoRateLimit(id, a.sentAt, f.reportRateLimit)
	}
}

// reportRateLimit logs and counts a rate limit that came into force, changed or ended because of a response to
// this instance.
func (f *forwarder) reportRateLimit(id routing.Lifetime, l *ratelimit.Limit, now time.Duration) {
	if l.InForce() {
		f.metrics.rateLimits.Inc(1)
	}
	logRateLimit(f.log.StartEvent(zerolog.InfoLevel, rateLimitEvent(l)), id, l, now).Str("source", "response").Send()
}

// rateLimitEvent returns the log event for a changed rate limit.
func rateLimitEvent(l *ratelimit.Limit) string {
	if l.InForce() {
		return "target.rate_limited"
	}
	return "target.rate_limit_ended"
}

// logRateLimit adds a rate limit and the age of what is known about it to a log line.
func logRateLimit(e *zerolog.Event, id routing.Lifetime, l *ratelimit.Limit, now time.Duration) *zerolog.Event {
	return e.Str("target", id.ID).Int64("incarnation", id.Incarnation).Float64("limit_per_s", l.PerSecond).Dur("named_age_ms", now-l.NamedAt)
}

// rateLimitObserver is called with a limit that applies in another way than before.
type rateLimitObserver func(id routing.Lifetime, l *ratelimit.Limit, now time.Duration)

// recordRateLimit records that a response names the rate limit of a target.
func (s *sharedState) recordRateLimit(id routing.Lifetime, perSecond float64, onChange rateLimitObserver) {
	s.mu.Lock()
	now := socket.BootTime()
	l, changed := s.balancer.RecordRateLimit(now, id, perSecond)
	s.mu.Unlock()
	if changed {
		onChange(id, &l, now)
	}
}

// recordNoRateLimit records that the response to a request sent at the given time names no rate limit.
func (s *sharedState) recordNoRateLimit(id routing.Lifetime, sentAt time.Duration, onChange rateLimitObserver) {
	s.mu.Lock()
	l, changed := s.balancer.RecordNoRateLimit(sentAt, id)
	s.mu.Unlock()
	if changed {
		onChange(id, &l, socket.BootTime())
	}
}
