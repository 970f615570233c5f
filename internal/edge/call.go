package edge

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/boragegate/boragegate/dispatch"
	"github.com/boragegate/boragegate/internal/httpwire"
	"github.com/boragegate/boragegate/internal/ingress"
	"github.com/boragegate/boragegate/internal/socket"
	"github.com/boragegate/boragegate/internal/upstream"
	"github.com/boragegate/boragegate/internal/wait"
	"github.com/boragegate/boragegate/routing"
)

// proxyCall is one request of a caller together with its attempts at targets.
type proxyCall struct {
	f             *forwarder
	request       *ingress.Request
	route         *routing.Route
	service       string
	key           int // -1 if the request has none or the service isn't partitioned
	deadline      time.Time
	elapsedBefore time.Duration // time that the caller spent on earlier attempts, as far as known
	configVersion uint64        // routing.Config.Version of the configuration with the route

	decision dispatch.Decision
	results  chan attempt
	// pending is the number of attempts whose result is outstanding.
	pending int
	// sentAttempts is the number of attempts, without those that failed before anything was
	// sent; unsentAttempts counts these.
	sentAttempts   int
	execution      execution
	unsentAttempts int
	triedTargets   []string
	// used has the connections on which attempts were sent.
	used upstream.UsedConnections
	// failedAttempt is the last attempt with the result dispatch.Failed. Its response is
	// returned if no better one arrives.
	failedAttempt *attempt
}

// attempt is one exchange with a target.
type attempt struct {
	target   routing.Target
	sentAt   time.Duration // as socket.BootTime
	result   dispatch.Result
	response *upstream.Response
	err      error
	notSent  bool
	// resetByFullTarget is set if the target reset a newly opened connection, or any while it was expected to have a queue.
	resetByFullTarget bool
}

// run makes attempts until there is a response to return to the caller. It returns nil if
// the caller has disconnected.
func (c *proxyCall) run(ctx context.Context) *ingress.Response {
	defer c.discardPending()
	defer func() { c.discard(c.failedAttempt) }()
	defer func() { c.f.shared.stopAwaitingPermit(c.decision.Ticket) }()
	for {
		hedgeDelay, response := c.decide(ctx)
		if response == nil && c.pending > 0 {
			response = c.awaitResult(ctx, hedgeDelay)
		}
		switch response {
		case nil:
		case callerGoneResponse:
			return nil
		default:
			return response
		}
	}
}

// discardPending releases the responses of attempts that are still pending. Their context
// is about to be cancelled.
func (c *proxyCall) discardPending() {
	if c.pending == 0 {
		return
	}
	go func() {
		for range c.pending {
			a := <-c.results
			c.discard(&a)
		}
	}()
}

// callerGoneResponse marks a request whose caller has disconnected.
var callerGoneResponse = &ingress.Response{}

// decide lets the balancer decide on the request, and starts an attempt if the verdict is
// to send. It returns the delay after which a hedged attempt may be made, or 0 if none may
// be made, and the response if the request has ended. Without a response, run waits for the
// attempts in progress and decides again; if there are none, the request was held and run
// decides at once. The response is callerGoneResponse if the caller has disconnected.
func (c *proxyCall) decide(ctx context.Context) (time.Duration, *ingress.Response) {
	remaining := time.Until(c.deadline)
	if remaining <= 0 || ctx.Err() != nil {
		return 0, c.respondExpired(ctx)
	}
	r := &dispatch.Request{
		Service: c.service, Kind: c.route.Kind, Key: c.key, Remaining: remaining, Objective: c.route.Objective,
		Elapsed: time.Since(c.request.Arrived), PriorElapsed: c.elapsedBefore, TriedTargets: c.triedTargets, IsRetry: c.sentAttempts > 0, IsHedge: c.pending > 0,
		Priority: c.route.Priority, Ticket: c.decision.Ticket,
	}
	if c.decision.Verdict == dispatch.Hold {
		r.HeldFor = c.decision.Reason
	}
	d, changed := c.f.shared.choose(r)
	c.decision = d
	switch d.Verdict {
	case dispatch.Send:
		if d.LeavesZone != "" {
			c.f.metrics.countZoneAttempt(d.Target.Service, d.LeavesZone)
		}
		c.startAttempt(ctx, d.Target, remaining)
		if !c.canRetry() || !c.f.shared.policy.Enabled(dispatch.Hedging) {
			return 0, nil
		}
		return max(time.Duration(hedgeDelayFactor*float64(d.ExpectedLatency)), minHedgeDelay), nil
	case dispatch.Hold:
		if c.pending > 0 {
			return 0, nil
		}
		if r.HeldFor == "" {
			c.f.metrics.countHeld(c.service, d.Reason)
		}
		timer := time.NewTimer(min(d.RetryAfter, remaining, maxHoldInterval))
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		return 0, nil
	default:
		if c.pending > 0 {
			return 0, nil
		}
		return 0, c.respondUnserved(d.Reason, d.RetryAfter)
	}
}

// canRetry reports whether the request may be sent again although a target may have run it.
func (c *proxyCall) canRetry() bool {
	return c.route.Kind.IsIdempotent() && c.sentAttempts < c.route.MaxAttempts && c.request.BodyStream == nil
}

// recordStart counts an attempt at a target that is about to start.
func (c *proxyCall) recordStart(t routing.Target) {
	c.pending++
	c.execution.started++
	if c.sentAttempts > 0 {
		c.f.metrics.retriedRequests.Inc(1)
	}
	c.sentAttempts++
	if c.key < 0 {
		c.triedTargets = append(c.triedTargets, t.ID)
	}
}

// startAttempt sends the request to a target in a new goroutine.
func (c *proxyCall) startAttempt(ctx context.Context, t routing.Target, remaining time.Duration) {
	c.recordStart(t)
	request := c.upstreamRequest(&t, remaining)
	go func() {
		a := attempt{target: t, sentAt: socket.BootTime()}
		started := time.Now()
		a.response, a.err = c.f.client.Do(ctx, &t, request)
		a.notSent = errors.Is(a.err, upstream.ErrNotSent)
		a.resetByFullTarget = errors.Is(a.err, upstream.ErrNewConnReset) || request.TargetBusy && errors.Is(a.err, syscall.ECONNRESET)
		var report *dispatch.TargetLoad
		a.result, report = c.f.classify(ctx, &a)
		c.f.observeResponse(&a)
		c.f.shared.recordResult(t.Lifetime(), a.result, time.Since(started), report)
		if a.result == dispatch.Succeeded {
			c.f.shared.recordBodyBytes(t.Service, c.route.Kind, max(c.request.Length, int64(len(c.request.Body)))+max(a.response.Length, int64(len(a.response.Body))))
		}
		c.f.metrics.countAttempt(t.Service, a.result.String())
		c.results <- a
	}()
}

// upstreamRequest returns the request as it is sent to the target, without the headers
// that the caller named in Connection.
func (c *proxyCall) upstreamRequest(t *routing.Target, remaining time.Duration) *upstream.Request {
	h := c.request.Header.Clone()
	h.Set(c.f.headers.Deadline, c.f.platform.FormatDeadline(remaining))
	h.Set(c.f.headers.ExpectTarget, t.ID)
	for _, name := range strings.Split(c.request.Header.Get("Connection"), ",") {
		if name = strings.TrimSpace(name); name != "" {
			h.Del(name)
		}
	}
	return &upstream.Request{
		Method: c.request.Method, URI: requestURI(c.request.Request), Host: c.request.Host, Header: h, ID: c.request.Header.Get(c.f.headers.RequestID),
		Body: c.request.Body, BodyStream: c.request.BodyStream, Length: c.request.Length, Used: &c.used,
		TargetBusy: c.decision.ExpectsQueue(),
	}
}

// classify returns the result of an attempt and the load that the target reported, or nil
// if it reported none.
func (f *forwarder) classify(ctx context.Context, a *attempt) (dispatch.Result, *dispatch.TargetLoad) {
	if a.err != nil {
		if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(a.err, upstream.ErrTooManyConnections) {
			return dispatch.Canceled, nil
		}
		if a.resetByFullTarget {
			return dispatch.Reset, nil
		}
		return dispatch.NoResponse, nil
	}
	var report *dispatch.TargetLoad
	if load, ok := f.platform.ParseLoad(a.response.Header.Get(f.headers.Load)); ok {
		report = &dispatch.TargetLoad{Running: load.Running, Waiting: load.Waiting, Pace: load.Pace}
	}
	h, status := a.response.Header, a.response.Status
	switch {
	case status == http.StatusMisdirectedRequest:
		return dispatch.Misdirected, report
	case h.Get(f.headers.NotExecuted) != "":
		return dispatch.Shed, report
	case status/100 == 2 && h.Get(f.headers.ResponseStamp) == "": // not from a target
		return dispatch.NoResponse, nil
	case status >= http.StatusInternalServerError:
		return dispatch.Failed, report
	default:
		return dispatch.Succeeded, report
	}
}

// observeResponse applies what a response says about its target besides the load: that it
// is leaving, that it limits the rate of requests, or that it asks for a pause (Retry-After). The response to a misdirected
// request is ignored, because it may come from another target.
func (f *forwarder) observeResponse(a *attempt) {
	if a.err != nil || a.result == dispatch.Misdirected {
		return
	}
	f.observeRateLimit(a)
	id, h := a.target.Lifetime(), a.response.Header
	if httpwire.ParseFlag(h.Get(f.headers.Leaving)) && f.shared.markLeaving(id) {
		f.metrics.leavingTargets.Inc(1)
		f.log.StartEvent(zerolog.InfoLevel, "target.leaving").Str("target", id.ID).Int64("incarnation", id.Incarnation).Send()
	}
	if a.response.Status != http.StatusServiceUnavailable {
		return
	}
	pause, err := httpwire.ParseRetryAfter(h, time.Now())
	if err != nil {
		f.metrics.unreadablePauses.Inc(1)
		f.log.StartEvent(zerolog.WarnLevel, "target.pause_unreadable").Str("target", id.ID).Dur("used_ms", pause).Err(err).Send()
	}
	if pause > 0 {
		f.shared.pauseTarget(id, pause)
		f.metrics.pauses.Inc(1)
		f.log.StartEvent(zerolog.InfoLevel, "target.paused").Str("target", id.ID).Int64("incarnation", id.Incarnation).Dur("for_ms", pause).Send()
	}
}

// awaitResult waits for results or until a hedged attempt is due. It returns the response to
// the caller, or nil if the request has to be decided on again.
func (c *proxyCall) awaitResult(ctx context.Context, hedgeDelay time.Duration) *ingress.Response {
	var hedge <-chan time.Time
	if hedgeDelay > 0 {
		timer := time.NewTimer(hedgeDelay)
		defer timer.Stop()
		hedge = timer.C
	}
	for {
		select {
		case a := <-c.results:
			c.pending--
			response, retry := c.handleResult(ctx, &a)
			if response != nil || retry && c.pending == 0 {
				return response
			}
		case <-hedge:
			return nil
		case <-ctx.Done():
			return c.respondExpired(ctx)
		}
	}
}

// handleArrivedResults handles the results that have arrived already, without waiting. It
// returns a response for the caller, or nil if none of them has one.
func (c *proxyCall) handleArrivedResults(ctx context.Context) *ingress.Response {
	for c.pending > 0 {
		select {
		case a := <-c.results:
			c.pending--
			if response, _ := c.handleResult(ctx, &a); response != nil {
				return response
			}
		default:
			return nil
		}
	}
	return nil
}

// handleResult handles the result of an attempt. It returns a response for the caller, or
// whether another attempt may be made.
func (c *proxyCall) handleResult(ctx context.Context, a *attempt) (response *ingress.Response, retry bool) {
	switch a.result {
	case dispatch.Succeeded:
		return c.relay(a), false
	case dispatch.Failed:
		c.discard(c.failedAttempt)
		c.failedAttempt = a
		if c.canRetry() {
			return nil, true
		}
		if c.pending > 0 {
			return nil, false
		}
		return c.relay(a), false
	case dispatch.Shed, dispatch.Misdirected:
		return c.handleNotRun(ctx, a)
	default:
		return c.handleNoResponse(ctx, a)
	}
}

// handleNotRun handles a response that says that the target did not run the request.
func (c *proxyCall) handleNotRun(ctx context.Context, a *attempt) (*ingress.Response, bool) {
	c.discard(a)
	c.execution.provenNotRun++
	if a.response.Status == http.StatusBadRequest && a.result == dispatch.Shed {
		return c.relay(a), false
	}
	c.beginAttemptLog(a).Send()
	if c.sentAttempts < c.route.MaxAttempts && c.request.BodyStream == nil || c.pending > 0 {
		if a.result == dispatch.Misdirected {
			wait.For(unsentRetryDelay, ctx.Done()) // the leader's state update with the new holder is on its way
		}
		return nil, true
	}
	return c.respondAllRefused(a), false
}

// handleNoResponse handles an attempt that ended without a usable response, which
// dispatch counts as NoResponse, Reset or Canceled.
func (c *proxyCall) handleNoResponse(ctx context.Context, a *attempt) (*ingress.Response, bool) {
	c.discard(a) // a success that is not from a target has a response
	if a.notSent {
		c.execution.provenNotRun++
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return c.respondExpired(ctx), false
	}
	c.beginAttemptLog(a).Err(a.err).Send()
	if ctx.Err() != nil {
		return c.respondExpired(ctx), false
	}
	if a.notSent {
		c.sentAttempts--
		c.unsentAttempts++
		if c.unsentAttempts < maxUnsentAttempts {
			if c.key >= 0 {
				wait.For(unsentRetryDelay, ctx.Done())
			}
			return nil, true
		}
		if c.pending > 0 {
			return nil, false
		}
		return c.respondUnserved(reasonTargetUnreachable, maxHoldInterval), false
	}
	if c.canRetry() {
		return nil, true
	}
	if c.pending > 0 {
		return nil, false
	}
	return c.respondUnserved(reasonAnswerBroken, 0), false
}

// beginAttemptLog begins the log line of an attempt that ended without a response for the
// caller.
func (c *proxyCall) beginAttemptLog(a *attempt) *zerolog.Event {
	return c.f.log.StartEvent(zerolog.InfoLevel, "attempt."+a.result.String()).Str("request", c.request.Header.Get(c.f.headers.RequestID)).
		Str("target", a.target.ID).Str("address", a.target.Address).Int("key", c.key).Int("sent", c.sentAttempts).Bool("not_sent", a.notSent).
		Dur("took_ms", time.Since(c.request.Arrived)).Float64("target_load", c.decision.Load).
		Dur("expected_ms", c.decision.ExpectedLatency).Dur("report_age_ms", c.decision.ReportAge)
}
