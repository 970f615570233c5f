package edge

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/boragegate/boragegate/dispatch"
	"github.com/boragegate/boragegate/internal/httpwire"
	"github.com/boragegate/boragegate/internal/ingress"
	"github.com/boragegate/boragegate/internal/upstream"
	"github.com/boragegate/boragegate/internal/wait"
	"github.com/boragegate/boragegate/routing"
)

// call is one request of a caller on its way.
type call struct {
	f             *forwarder
	in            *ingress.Request
	route         *routing.Route
	service       string
	key           int
	deadline      time.Time
	lostTime      time.Duration // by earlier tries of the caller, as far as known
	configVersion uint64

	decision dispatch.Decision
	results  chan attempt
	// running is the number of attempts without a result.
	running int
	// sent is the number of attempts of which a target may have received something.
	sent int
	// ran says that a target may have run the request.
	ran    bool
	unsent int
	tried  []string
	// failure is a target's own failure that is passed on if nothing better comes.
	failure *attempt
}

// attempt is one exchange with a target.
type attempt struct {
	target   routing.Target
	result   dispatch.Result
	response *upstream.Response
	err      error
	notSent  bool
	// reset says that the target reset a new connection.
	reset bool
}

// run sends the request until there is an answer to pass on.
func (c *call) run(ctx context.Context) *ingress.Response {
	defer c.discard()
	for {
		again, response := c.next(ctx)
		if response == nil && c.running > 0 {
			response = c.wait(ctx, again)
		}
		switch response {
		case nil:
		case noAnswer:
			return nil
		default:
			return response
		}
	}
}

// discard drops the answers of attempts that still run. Their context is about to end.
func (c *call) discard() {
	if c.running == 0 {
		return
	}
	go func() {
		for range c.running {
			a := <-c.results
			c.drop(&a)
		}
	}()
}

// noAnswer stands for the end of a request whose caller has gone.
var noAnswer = &ingress.Response{}

// next decides and starts an attempt. It returns the time after which the
// request may be sent once more, 0 if it may not.
func (c *call) next(ctx context.Context) (time.Duration, *ingress.Response) {
	left := time.Until(c.deadline)
	if left <= 0 || ctx.Err() != nil {
		return 0, c.gaveUp(ctx)
	}
	r := &dispatch.Request{
		Service: c.service, Kind: c.route.Kind, Key: c.key, Remaining: left, Objective: c.route.Objective,
		Elapsed: time.Since(c.in.Arrived), PriorElapsed: c.lostTime, TriedTargets: c.tried, IsRetry: c.sent > 0, IsHedge: c.running > 0,
	}
	d, changed := c.f.shared.choose(r)
	c.decision = d
	switch d.Verdict {
	case dispatch.Send:
		c.start(ctx, d.Target, left)
		if !c.mayRepeat() || !c.f.shared.policy.Enabled(dispatch.Hedging) {
			return 0, nil
		}
		return max(time.Duration(hedgeFactor*float64(d.ExpectedLatency)), shortestHedge), nil
	case dispatch.Hold:
		if c.running > 0 {
			return 0, nil
		}
		timer := time.NewTimer(min(d.RetryAfter, left, holdStep))
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		return 0, nil
	default:
		if c.running > 0 {
			return 0, nil
		}
		if c.failure != nil {
			return 0, c.pass(c.failure)
		}
		if c.ran {
			return 0, c.broken(d.Reason)
		}
		return 0, c.f.refuse(c, c.in, d.Reason, d.RetryAfter)
	}
}

// mayRepeat reports whether the request may be sent to one more target.
func (c *call) mayRepeat() bool {
	return c.route.Kind.IsIdempotent() && c.sent < c.route.MaxAttempts && c.in.Rest == nil
}

// start sends the request to a target on a goroutine of its own.
func (c *call) start(ctx context.Context, t routing.Target, left time.Duration) {
	c.running++
	if c.sent > 0 {
		c.f.metrics.repeats.Inc(1)
	}
	c.sent++
	if c.key < 0 {
		c.tried = append(c.tried, t.ID)
	}
	request := c.outgoing(&t, left)
	go func() {
		a := attempt{target: t}
		began := time.Now()
		a.response, a.err = c.f.client.Do(ctx, &t, request)
		a.notSent = errors.Is(a.err, upstream.ErrNotSent)
		a.reset = errors.Is(a.err, upstream.ErrNewReset)
		var report *dispatch.TargetLoad
		a.result, report = c.f.classify(ctx, &a)
		c.f.notice(&a)
		c.f.shared.finished(t.Lifetime(), a.result, time.Since(began), report)
		if a.result == dispatch.Succeeded {
			c.f.shared.moved(t.Service, c.route.Kind, max(c.in.Length, int64(len(c.in.Body)))+max(a.response.Length, int64(len(a.response.Body))))
		}
		c.f.metrics.attempted(t.Service, a.result.String())
		c.results <- a
	}()
}

// outgoing is the request as the target gets it.
func (c *call) outgoing(t *routing.Target, left time.Duration) *upstream.Request {
	h := c.in.Header.Clone()
	h.Set(c.f.headers.Deadline, c.f.platform.FormatDeadline(left))
	h.Set(c.f.headers.ExpectTarget, t.ID)
	for _, name := range strings.Split(c.in.Header.Get("Connection"), ",") {
		if name = strings.TrimSpace(name); name != "" {
			h.Del(name)
		}
	}
	return &upstream.Request{
		Method: c.in.Method, URI: uri(c.in.Request), Host: c.in.Host, Header: h, ID: c.in.Header.Get(c.f.headers.RequestID),
		Body: c.in.Body, Rest: c.in.Rest, Length: c.in.Length,
	}
}

// classify says how an attempt ended, with the target's report of its load.
func (f *forwarder) classify(ctx context.Context, a *attempt) (dispatch.Result, *dispatch.TargetLoad) {
	if a.err != nil {
		if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(a.err, upstream.ErrTooMany) {
			return dispatch.Canceled, nil
		}
		if a.reset {
			return dispatch.Reset, nil
		}
		return dispatch.NoResponse, nil
	}
	var report *dispatch.TargetLoad
	if load, ok := f.platform.ParseLoad(a.response.Header.Get(f.headers.Load)); ok {
		report = &dispatch.TargetLoad{Running: load.Running, Waiting: load.Waiting}
	}
	h, status := a.response.Header, a.response.Status
	switch {
	case status == http.StatusMisdirectedRequest:
		return dispatch.Misdirected, report
	case h.Get(f.headers.NotRun) != "":
		return dispatch.Shed, report
	case status/100 == 2 && h.Get(f.headers.Stamp) == "":
		return dispatch.NoResponse, nil
	case status >= http.StatusInternalServerError:
		return dispatch.Failed, report
	default:
		return dispatch.Succeeded, report
	}
}

// notice takes what an answer says of its target beyond its load: that it leaves, or
// wants to be left alone. An answer to a misdirected request may be another target's.
func (f *forwarder) notice(a *attempt) {
	if a.err != nil || a.result == dispatch.Misdirected {
		return
	}
	id, h := a.target.Lifetime(), a.response.Header
	if f.platform.ParseLeaving(h.Get(f.headers.Leaving)) && f.shared.leave(id) {
		f.metrics.leaving.Inc(1)
		f.log.Begin(zerolog.InfoLevel, "target.leaving").Str("target", id.ID).Int64("incarnation", id.Incarnation).Send()
	}
	if a.response.Status != http.StatusServiceUnavailable {
		return
	}
	pause, err := httpwire.RetryAfter(h, time.Now())
	if err != nil {
		f.metrics.badPauses.Inc(1)
		f.log.Begin(zerolog.WarnLevel, "target.pause_unreadable").Str("target", id.ID).Dur("used_ms", pause).Err(err).Send()
	}
	if pause > 0 {
		f.shared.pause(id, pause)
		f.metrics.pauses.Inc(1)
		f.log.Begin(zerolog.InfoLevel, "target.paused").Str("target", id.ID).Int64("incarnation", id.Incarnation).Dur("for_ms", pause).Send()
	}
}

// wait waits for a result or until the request is due to be sent once more.
func (c *call) wait(ctx context.Context, again time.Duration) *ingress.Response {
	var hedge <-chan time.Time
	if again > 0 {
		timer := time.NewTimer(again)
		defer timer.Stop()
		hedge = timer.C
	}
	for {
		select {
		case a := <-c.results:
			c.running--
			response, more := c.take(ctx, &a)
			if response != nil || more && c.running == 0 {
				return response
			}
		case <-hedge:
			return nil
		case <-ctx.Done():
			return c.gaveUp(ctx)
		}
	}
}

// take judges a result. It returns an answer, or whether to go on.
func (c *call) take(ctx context.Context, a *attempt) (response *ingress.Response, more bool) {
	switch a.result {
	case dispatch.Succeeded:
		return c.pass(a), false
	case dispatch.Failed:
		c.ran = true
		c.drop(c.failure)
		c.failure = a
		if c.mayRepeat() {
			return nil, true
		}
		if c.running > 0 {
			return nil, false
		}
		return c.pass(a), false
	case dispatch.Shed, dispatch.Misdirected:
		return c.notRun(ctx, a)
	default:
		return c.lost(ctx, a)
	}
}

// notRun handles an answer that says that the target did not run the request.
func (c *call) notRun(ctx context.Context, a *attempt) (*ingress.Response, bool) {
	c.drop(a)
	if a.response.Status == http.StatusBadRequest && a.result == dispatch.Shed {
		return c.pass(a), false
	}
	c.log(a).Send()
	if c.sent < c.route.MaxAttempts && c.in.Rest == nil || c.running > 0 {
		if a.result == dispatch.Misdirected {
			wait.For(unsentPause, ctx.Done()) // the news of the new holder is on its way
		}
		return nil, true
	}
	return c.refusedBy(a), false
}

// refusedBy answers after the last attempt was refused.
func (c *call) refusedBy(a *attempt) *ingress.Response {
	switch {
	case c.failure != nil:
		return c.pass(c.failure)
	case c.ran:
		return c.broken(reasonBroken)
	case a.result == dispatch.Misdirected:
		return c.f.refuse(c, c.in, reasonMoved, holdStep)
	default:
		return c.f.refuse(c, c.in, reasonShed, max(c.decision.ExpectedQueueTime, shedRetryAfter))
	}
}

// lost handles an attempt without a usable answer.
func (c *call) lost(ctx context.Context, a *attempt) (*ingress.Response, bool) {
	if ctx.Err() != nil {
		return c.gaveUp(ctx), false
	}
	c.log(a).Err(a.err).Send()
	if a.notSent {
		c.sent--
		c.unsent++
		if c.unsent < maxUnsent {
			if c.key >= 0 {
				wait.For(unsentPause, ctx.Done())
			}
			return nil, true
		}
		if c.running > 0 {
			return nil, false
		}
		if c.ran {
			return c.broken(reasonUnsent), false
		}
		return c.f.refuse(c, c.in, reasonUnsent, holdStep), false
	}
	c.ran = true
	if c.mayRepeat() {
		return nil, true
	}
	if c.running > 0 {
		return nil, false
	}
	if c.failure != nil {
		return c.pass(c.failure), false
	}
	return c.broken(reasonBroken), false
}

// log begins the log line of an attempt that brought no answer.
func (c *call) log(a *attempt) *zerolog.Event {
	return c.f.log.Begin(zerolog.InfoLevel, "attempt."+a.result.String()).Str("request", c.in.Header.Get(c.f.headers.RequestID)).
		Str("target", a.target.ID).Str("address", a.target.Address).Int("key", c.key).Int("sent", c.sent).Bool("not_sent", a.notSent).
		Dur("took_ms", time.Since(c.in.Arrived)).Float64("target_load", c.decision.Load).
		Dur("expected_ms", c.decision.ExpectedLatency).Dur("report_age_ms", c.decision.ReportAge)
}

// broken answers that the outcome of the request is not known.
func (c *call) broken(reason string) *ingress.Response {
	c.f.decided(c, c.in, http.StatusBadGateway, reason).Str("target", c.decision.Target.ID).Send()
	c.f.metrics.answered(c.route.Kind.String(), reason, time.Since(c.in.Arrived))
	return &ingress.Response{Status: http.StatusBadGateway, Header: http.Header{}}
}

// gaveUp answers when the caller has gone or its time is over.
func (c *call) gaveUp(ctx context.Context) *ingress.Response {
	if errors.Is(ctx.Err(), context.Canceled) {
		c.f.decided(c, c.in, 0, "caller_gone").Send()
		c.f.metrics.answered(c.route.Kind.String(), "caller_gone", time.Since(c.in.Arrived))
		return noAnswer
	}
	if c.failure != nil {
		return c.pass(c.failure)
	}
	if c.running == 0 && !c.ran {
		return c.f.refuse(c, c.in, reasonTimeout, holdStep)
	}
	c.f.decided(c, c.in, http.StatusGatewayTimeout, reasonTimeout).Str("target", c.decision.Target.ID).
		Dur("expected_ms", c.decision.ExpectedLatency).Float64("target_load", c.decision.Load).Send()
	c.f.metrics.answered(c.route.Kind.String(), reasonTimeout, time.Since(c.in.Arrived))
	return &ingress.Response{Status: http.StatusGatewayTimeout, Header: http.Header{}}
}

// drop discards the answer of an attempt.
func (c *call) drop(a *attempt) {
	if a != nil && a.response != nil && a.response.Stream != nil {
		_ = a.response.Stream.Close()
	}
}

// pass passes a target's answer on.
func (c *call) pass(a *attempt) *ingress.Response {
	if a != c.failure {
		c.drop(c.failure)
	}
	r := a.response
	c.f.log.Begin(zerolog.InfoLevel, "request.answered").Str("request", c.in.Header.Get(c.f.headers.RequestID)).
		Int("status", r.Status).Str("route", c.route.Name).Str("target", a.target.ID).Int("key", c.key).Int("sent", c.sent).
		Dur("took_ms", time.Since(c.in.Arrived)).Uint64("config_version", c.configVersion).Send()
	c.f.metrics.answered(c.route.Kind.String(), "answered", time.Since(c.in.Arrived))
	return r
}
