package edge

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/boragegate/boragegate/dispatch"
	"github.com/boragegate/boragegate/internal/httpwire"
	"github.com/boragegate/boragegate/internal/socket"
	"github.com/boragegate/boragegate/ratelimit"
	"github.com/boragegate/boragegate/routing"
)

// rateLimitReportInterval is the interval at which an instance reports a rate limit to the leader again while
// responses name it. A report may be lost if the leader fails.
const rateLimitReportInterval = time.Second

// minPermitInterval is the shortest time until the leader grants the next permits. Those that become available
// meanwhile are granted together.
const minPermitInterval = 2 * time.Millisecond

// observeRateLimit applies what a response says about the rate limit of its target. A limit that cannot be parsed
// neither sets nor ends one.
func (f *forwarder) observeRateLimit(a *attempt) {
	id, h := a.target.Lifetime(), a.response.Header
	perSecond, named, err := httpwire.ParseRate(h.Values(f.headers.RateLimit))
	if err != nil {
		f.metrics.unreadableRateLimits.Inc(1)
		f.log.StartEvent(zerolog.WarnLevel, "target.rate_limit_unreadable").Str("target", id.ID).Float64("used_per_s", perSecond).Bool("used", named).Err(err).Send()
	}
	var l ratelimit.Limit
	var changed bool
	switch {
	case named:
		l, changed = f.shared.recordRateLimit(id, perSecond)
	case err == nil && h.Get(f.headers.ResponseStamp) != "" && a.result != dispatch.NoResponse:
		l, changed = f.shared.recordNoRateLimit(id, a.sentAt)
	}
	if changed {
		f.metrics.rateLimits.Inc(1)
		logRateLimit(f.log.StartEvent(zerolog.InfoLevel, rateLimitEvent(&l)), id, &l).Str("source", "response").Send()
	}
}

// rateLimitEvent returns the log event for a rate limit that has changed.
func rateLimitEvent(l *ratelimit.Limit) string {
	if l.InForce() {
		return "target.rate_limited"
	}
	return "target.rate_limit_ended"
}

// logRateLimit adds a rate limit and the age of what is known about it to a log line.
func logRateLimit(e *zerolog.Event, id routing.Lifetime, l *ratelimit.Limit) *zerolog.Event {
	return e.Str("target", id.ID).Int64("incarnation", id.Incarnation).Float64("limit_per_s", l.PerSecond).Dur("named_age_ms", socket.BootTime()-l.NamedAt)
}

// recordRateLimit records that a response names the rate limit of a target. It returns what is known about the limit,
// and whether this changes what applies.
func (s *sharedState) recordRateLimit(id routing.Lifetime, perSecond float64) (ratelimit.Limit, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := socket.BootTime()
	l, changed := s.balancer.RecordRateLimit(now, id, perSecond)
	if reportedAt, ok := s.rateLimitReportedAt[id]; changed || !ok || now-reportedAt >= rateLimitReportInterval {
		s.queueRateLimitReport(now, id, changed)
	}
	return l, changed
}

// recordNoRateLimit records that the response to a request sent at the given time names no rate limit. It returns the
// same as recordRateLimit.
func (s *sharedState) recordNoRateLimit(id routing.Lifetime, sentAt time.Duration) (ratelimit.Limit, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, changed := s.balancer.RecordNoRateLimit(sentAt, id)
	if changed {
		s.queueRateLimitReport(socket.BootTime(), id, true)
		s.wakeHeld()
	}
	return l, changed
}

// queueRateLimitReport queues a rate limit to be reported to the leader, at once if it is urgent. The caller holds mu.
func (s *sharedState) queueRateLimitReport(now time.Duration, id routing.Lifetime, urgent bool) {
	s.rateLimitReportedAt[id] = now
	s.unreportedRateLimits[id] = struct{}{}
	if urgent {
		s.signalRateLimits()
	}
}

// signalRateLimits makes the control loop send reports of rate limits and requests for permits at once.
func (s *sharedState) signalRateLimits() {
	select {
	case s.rateLimitSignal <- struct{}{}:
	default: // a signal is pending
	}
}

// takeRateLimitReport returns the rate limits to report to the leader and the permits to ask it for. The limits of targets for
// which permits are needed are among them, so that the leader and the instance agree on whether they are in force.
func (s *sharedState) takeRateLimitReport(now time.Duration) ([]ratelimit.Notice, []ratelimit.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var notices []ratelimit.Notice
	for id := range s.unreportedRateLimits {
		if l := s.balancer.RateLimit(id); l.NamedAt > 0 {
			notices = append(notices, l.Notice(now, id))
		}
	}
	requests := s.balancer.TakePermitRequests(now)
	for i := range requests {
		id := requests[i].Lifetime
		if _, reported := s.unreportedRateLimits[id]; !reported {
			if l := s.balancer.RateLimit(id); l.NamedAt > 0 { // not if the target is only limited for its warm-up
				notices = append(notices, l.Notice(now, id))
			}
		}
	}
	clear(s.unreportedRateLimits)
	return notices, requests
}

// forgetRateLimitReports makes the instance report its rate limits and ask for its permits again, because the leader
// may not have received them or has been replaced.
func (s *sharedState) forgetRateLimitReports(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.balancer.RateLimits() {
		s.unreportedRateLimits[id] = struct{}{}
	}
	s.balancer.SetPermitLeader(now, false)
}

// dropRateLimits forgets when rate limits of targets that have ended were reported.
func (s *sharedState) dropRateLimits(ended []routing.Lifetime) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ended {
		delete(s.unreportedRateLimits, id)
		delete(s.rateLimitReportedAt, id)
	}
}

// rateLimitNotices returns the rate limits that are in force as they are sent to another instance.
func (s *sharedState) rateLimitNotices(now time.Duration) []ratelimit.Notice {
	s.mu.Lock()
	defer s.mu.Unlock()
	var notices []ratelimit.Notice
	for id, l := range s.balancer.RateLimits() {
		notices = append(notices, l.Notice(now, id))
	}
	return notices
}

// mergeRateLimit applies what another instance knows about the rate limit of a target. It returns the same as
// recordRateLimit.
func (s *sharedState) mergeRateLimit(now time.Duration, n *ratelimit.Notice) (ratelimit.Limit, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, changed := s.balancer.MergeRateLimit(now, n)
	if changed {
		s.wakeHeld()
	}
	return l, changed
}

// applyPermits applies permits that the leader has granted, and wakes the requests that wait for them. It returns the
// targets whose limits this ends.
func (s *sharedState) applyPermits(now time.Duration, grants []ratelimit.Grant) []routing.Lifetime {
	s.mu.Lock()
	defer s.mu.Unlock()
	ended := s.balancer.ApplyPermits(now, grants)
	s.wakeHeld()
	return ended
}

// applyPermits applies permits that the leader has granted, and logs the limits that this ends.
func (c *controlLoop) applyPermits(now time.Duration, grants []ratelimit.Grant, leader string) {
	for _, id := range c.shared.applyPermits(now, grants) {
		l := c.shared.rateLimit(id)
		logRateLimit(c.log.Info().Str("event", rateLimitEvent(&l)), id, &l).Str("source", leader).Send()
	}
}

func (s *sharedState) rateLimit(id routing.Lifetime) ratelimit.Limit {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.RateLimit(id)
}

// stopAwaitingPermit records that a request has ended that may have waited for a permit; the ticket is zero if it has
// not.
func (s *sharedState) stopAwaitingPermit(ticket ratelimit.Ticket) {
	if ticket == (ratelimit.Ticket{}) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.StopAwaitingPermit(ticket)
}

// setPermitLeader records that there is a leader that grants permits.
func (s *sharedState) setPermitLeader(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.SetPermitLeader(now, true)
}

// mergeRateLimits applies what another instance knows about rate limits, and logs what changes.
func (c *controlLoop) mergeRateLimits(now time.Duration, notices []ratelimit.Notice, source string) {
	for i := range notices {
		id := notices[i].Lifetime
		l, changed := c.shared.mergeRateLimit(now, &notices[i])
		if changed {
			logRateLimit(c.log.Info().Str("event", rateLimitEvent(&l)), id, &l).Str("source", source).Send()
		}
	}
}

// exchangeRateLimits reports rate limits to the leader and asks it for permits, or does its part if this instance is
// the leader.
func (c *controlLoop) exchangeRateLimits(now time.Duration) {
	if c.leadership != nil {
		c.shared.setPermitLeader(now)
		notices, requests := c.shared.takeRateLimitReport(now)
		c.leadership.handleRateLimits(now, nil, notices, requests)
		c.leadership.grantPermits(now)
		return
	}
	if c.link == nil {
		return
	}
	notices, requests := c.shared.takeRateLimitReport(now)
	if len(notices)+len(requests) == 0 {
		return
	}
	if !c.sendToLeader(&loadReport{RateLimits: notices, PermitRequests: requests}) {
		c.shared.forgetRateLimitReports(now)
	}
}

// handleRateLimits applies what an instance reports about rate limits, and grants it permits. The follower is nil for
// the leader itself. A report is answered to all with what the leader knows if it changes that or differs from it.
func (l *leadership) handleRateLimits(now time.Duration, f *follower, notices []ratelimit.Notice, requests []ratelimit.Request) {
	var publish []ratelimit.Notice
	for i := range notices {
		id := notices[i].Lifetime
		known, _ := l.c.shared.mergeRateLimit(now, &notices[i])
		changed := l.recordNamedLimit(id, &known)
		l.setPermitRate(now, id)
		if changed && f != nil {
			logRateLimit(l.c.log.Info().Str("event", rateLimitEvent(&known)), id, &known).Str("source", f.ID).Send()
		}
		isReportedInForce := notices[i].EndedAge == 0 || notices[i].NamedAge < notices[i].EndedAge
		if known.NamedAt > 0 && (changed || isReportedInForce != known.InForce()) {
			publish = append(publish, known.Notice(now, id))
		}
	}
	if len(publish) > 0 {
		l.broadcast(stateUpdate{RateLimits: publish})
	}
	for i := range requests {
		id := requests[i].Lifetime
		if l.isUnlimited(now, id) {
			l.sendPermits(now, f, []ratelimit.Grant{{Lifetime: id, Unlimited: true}})
			continue
		}
		for recipient, grant := range l.permits.Request(now, f, &requests[i]) {
			l.sendPermits(now, recipient, []ratelimit.Grant{grant})
		}
	}
	l.schedulePermits()
}

// schedulePermits makes the control loop grant the next permits as soon as they are available.
func (l *leadership) schedulePermits() {
	if wait, ok := l.permits.UntilNext(); ok {
		l.permitTimer.Reset(max(wait, minPermitInterval))
	}
}

// setPermitRate applies what is known about the rate limit and the warm-up of a target to the permits that the leader
// grants.
func (l *leadership) setPermitRate(now time.Duration, id routing.Lifetime) {
	if perSecond, limited := l.c.shared.permitRate(now, id); limited {
		l.permits.SetLimit(now, id, perSecond)
	} else {
		l.permits.RemoveLimit(id)
	}
}

// recordNamedLimit records the limit that a target names, and reports whether it differs from what was recorded before.
func (l *leadership) recordNamedLimit(id routing.Lifetime, limit *ratelimit.Limit) bool {
	before, wasLimited := l.namedLimits[id]
	if !limit.InForce() {
		delete(l.namedLimits, id)
		return wasLimited
	}
	l.namedLimits[id] = limit.PerSecond
	return !wasLimited || before != limit.PerSecond
}

// grantPermits sends the permits that have become available.
func (l *leadership) grantPermits(now time.Duration) {
	for recipient, grants := range l.permits.Tick(now) {
		l.sendPermits(now, recipient, grants)
	}
	l.schedulePermits()
}

// sendPermits gives permits to an instance: a follower, or this one if it is nil.
func (l *leadership) sendPermits(now time.Duration, recipient *follower, grants []ratelimit.Grant) {
	if recipient == nil {
		l.c.applyPermits(now, grants, l.c.self.ID)
		return
	}
	l.send(stateUpdate{Permits: grants}, recipient)
}
