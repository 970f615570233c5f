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

// call is one request of a caller together with its attempts at targets.
type call struct {
	f             *forwarder
	in            *ingress.Request
	route         *routing.Route
	service       string
	key           int
	deadline      time.Time
	lostTime      time.Duration // time the caller spent on earlier tries, as far as known
	configVersion uint64

	decision dispatch.Decision
	results  chan attempt
	// running is the number of attempts whose result is outstanding.
	running int
	// sent is the number of attempts of which a target may have received something.
	sent int
	// ran reports whether a target may have run the request.
	ran    bool
	unsent int
	tried  []string
	// failure is a 5xx response from a target that is returned if no better response
	// arrives.
	failure *attempt
}

// attempt is one exchange with a target.
type attempt struct {
	target   routing.Target
	result   dispatch.Result
	response *upstream.Response
	err      error
	notSent  bool
	// reset reports that the target reset a newly opened connection.
	reset bool
}

// run makes attempts until there is a response to return to the caller. It returns nil if
// the caller has disconnected.
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

// discard releases the responses of attempts that are still pending. Their context is
// about to be cancelled.
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

// noAnswer marks a request whose caller has disconnected.
var noAnswer = &ingress.Response{}

// next decides on the request and starts an attempt if the decision is to send. It returns
// the delay after which a hedged attempt may be made, or 0 if none may be made.
func (c *call) next(ctx context.Context) (time.Duration, *ingress.Response) {
	left := time.Until(c.deadline)
	if left <= 0 || ctx.Err() != nil {
		return 0, c.gaveUp(ctx)
	}
	r := &dispatch.Request{
		Service: c.service, Kind: c.route.Kind, Key: c.key, Left: left, Objective: c.route.Objective,
		Waited: time.Since(c.in.Arrived), Lost: c.lostTime, Tried: c.tried, Repeat: c.sent > 0, Hedge: c.running > 0,
	}
	d, changed := c.f.shared.choose(r)
	c.decision = d
	switch d.Verdict {
	case dispatch.Send:
		c.start(ctx, d.Target, left)
		if !c.mayRepeat() || !c.f.shared.policy.On(dispatch.Hedging) {
			return 0, nil
		}
		return max(time.Duration(hedgeFactor*float64(d.Expected)), shortestHedge), nil
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
	return c.route.Kind.Repeatable() && c.sent < c.route.MaxAttempts && c.in.Rest == nil
}

// start sends the request to a target in a new goroutine.
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
		var report *dispatch.Report
		a.result, report = c.f.classify(ctx, &a)
		c.f.notice(&a)
		c.f.shared.finished(t.Lifetime(), a.result, time.Since(began), report)
		if a.result == dispatch.Answered {
			c.f.shared.moved(t.Service, c.route.Kind, max(c.in.Length, int64(len(c.in.Body)))+max(a.response.Length, int64(len(a.response.Body))))
		}
		c.f.metrics.attempted(t.Service, a.result.String())
		c.results <- a
	}()
}

// outgoing returns the request as it is sent to the target, without the headers that the
// caller named in Connection.
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

// classify returns the result of an attempt and the load that the target reported, or nil
// if it reported none.
func (f *forwarder) classify(ctx context.Context, a *attempt) (dispatch.Result, *dispatch.Report) {
	if a.err != nil {
		if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(a.err, upstream.ErrTooMany) {
			return dispatch.Abandoned, nil
		}
		if a.reset {
			return dispatch.Reset, nil
		}
		return dispatch.Broken, nil
	}
	var report *dispatch.Report
	if load, ok := f.platform.ParseLoad(a.response.Header.Get(f.headers.Load)); ok {
		report = &dispatch.Report{Running: load.Running, Waiting: load.Waiting}
	}
	h, status := a.response.Header, a.response.Status
	switch {
	case status == http.StatusMisdirectedRequest:
		return dispatch.Misdirected, report
	case h.Get(f.headers.NotRun) != "":
		return dispatch.Shed, report
	case status/100 == 2 && h.Get(f.headers.Stamp) == "":
		return dispatch.Broken, nil
	case status >= http.StatusInternalServerError:
		return dispatch.Failed, report
	default:
		return dispatch.Answered, report
	}
}

// notice applies what a response says about its target besides the load: that it is
// leaving, or that it asks for no requests for some time (Retry-After). The response to a
// misdirected request is ignored, because it may come from another target.
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

// wait waits for a result or until a hedged attempt is due.
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

// take handles the result of an attempt. It returns a response for the caller, or whether
// another attempt may be made.
func (c *call) take(ctx context.Context, a *attempt) (response *ingress.Response, more bool) {
	switch a.result {
	case dispatch.Answered:
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

// notRun handles a response that says that the target did not run the request.
func (c *call) notRun(ctx context.Context, a *attempt) (*ingress.Response, bool) {
	c.drop(a)
	if a.response.Status == http.StatusBadRequest && a.result == dispatch.Shed {
		return c.pass(a), false
	}
	c.log(a).Send()
	if c.sent < c.route.MaxAttempts && c.in.Rest == nil || c.running > 0 {
		if a.result == dispatch.Misdirected {
			wait.For(unsentPause, ctx.Done()) // the leader's update with the new holder is on its way
		}
		return nil, true
	}
	return c.refusedBy(a), false
}

// refusedBy responds to the caller after the last attempt was rejected by its target.
func (c *call) refusedBy(a *attempt) *ingress.Response {
	switch {
	case c.failure != nil:
		return c.pass(c.failure)
	case c.ran:
		return c.broken(reasonBroken)
	case a.result == dispatch.Misdirected:
		return c.f.refuse(c, c.in, reasonMoved, holdStep)
	default:
		return c.f.refuse(c, c.in, reasonShed, max(c.decision.Queue, shedRetryAfter))
	}
}

// lost handles an attempt that ended without a usable response.
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

// log begins the log line of an attempt that ended without a response for the caller.
func (c *call) log(a *attempt) *zerolog.Event {
	return c.f.log.Begin(zerolog.InfoLevel, "attempt."+a.result.String()).Str("request", c.in.Header.Get(c.f.headers.RequestID)).
		Str("target", a.target.ID).Str("address", a.target.Address).Int("key", c.key).Int("sent", c.sent).Bool("not_sent", a.notSent).
		Dur("took_ms", time.Since(c.in.Arrived)).Float64("target_load", c.decision.Load).
		Dur("expected_ms", c.decision.Expected).Dur("report_age_ms", c.decision.ReportAge)
}

// broken responds 502 because the outcome of the request is unknown.
func (c *call) broken(reason string) *ingress.Response {
	c.f.decided(c, c.in, http.StatusBadGateway, reason).Str("target", c.decision.Target.ID).Send()
	c.f.metrics.answered(c.route.Kind.String(), reason, time.Since(c.in.Arrived))
	return &ingress.Response{Status: http.StatusBadGateway, Header: http.Header{}}
}

// gaveUp responds after the caller has disconnected or the deadline of the request has
// passed.
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
		Dur("expected_ms", c.decision.Expected).Float64("target_load", c.decision.Load).Send()
	c.f.metrics.answered(c.route.Kind.String(), reasonTimeout, time.Since(c.in.Arrived))
	return &ingress.Response{Status: http.StatusGatewayTimeout, Header: http.Header{}}
}

// drop closes the body stream of an attempt's response. a may be nil.
func (c *call) drop(a *attempt) {
	if a != nil && a.response != nil && a.response.Stream != nil {
		_ = a.response.Stream.Close()
	}
}

// pass returns a target's response to the caller.
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
