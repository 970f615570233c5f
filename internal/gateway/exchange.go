package gateway

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"time"
)

// Errors of answers that cannot be passed on.
var (
	errControllerUnreachable = errors.New("the instance in front of the target is lost")
	errUnsolicitedResponse   = errors.New("the answer came before the request")
	errInvalidStatus         = errors.New("the status of the answer is informational or not valid")
)

// exchange sends one request and returns the answer's header with its body
// still to be read. The failure's outcome is not-run only if no byte of the
// request was written.
func (g *Gateway) exchange(c *call, t http.RoundTripper, u *url.URL, h http.Header) (*http.Response, *failure) {
	c.cancelAttempt()
	a, ctx := newAttempt(c)
	u.RawQuery = c.request.URL.RawQuery
	req := (&http.Request{
		Method: c.request.Method, URL: u, Host: c.request.Host, Header: h,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	c.body.attach(req)
	resp, lost, err := g.roundTrip(c, t, a, req)
	if err == nil {
		err = a.checkResponse(t, resp)
	}
	if err != nil {
		f := g.exchangeFailure(c, a.sealUnwritten(t))
		f.controllerUnreachable = lost
		c.cancelAttempt()
		return nil, f
	}
	return resp, nil
}

// roundTrip waits for the header of the answer. It reports whether the attempt
// was given up because the instance it was forwarded to is lost.
func (g *Gateway) roundTrip(c *call, t http.RoundTripper, a *attempt, req *http.Request) (*http.Response, bool, error) {
	if c.forwardTarget == nil {
		resp, err := t.RoundTrip(req)
		return resp, false, err
	}
	w := &controllerMonitor{g: g, target: c.forwardTarget, ctx: req.Context(), cancel: a.cancel}
	timer := g.clock.AfterFunc(probeGracePeriod, w.run)
	resp, err := t.RoundTrip(req)
	timer.Stop()
	lost := w.stop()
	if lost && err == nil {
		_ = resp.Body.Close()
		err = errControllerUnreachable
	}
	return resp, lost, err
}

// checkResponse closes an answer that must not be passed on.
func (a *attempt) checkResponse(t http.RoundTripper, resp *http.Response) (err error) {
	switch {
	case !a.responseMatches(t):
		err = errUnsolicitedResponse
	case resp.StatusCode < http.StatusOK: // with 101, the server switched protocols unasked
		err = errInvalidStatus
	default:
		return nil
	}
	_ = resp.Body.Close()
	return err
}

// deadlineContext adds a deadline to the caller's context, without a timer.
type deadlineContext struct {
	context.Context
	deadline time.Time
}

// Deadline returns the request's deadline.
func (c *deadlineContext) Deadline() (time.Time, bool) { return c.deadline, true }

// exchangeFailure explains why there is no answer.
func (g *Gateway) exchangeFailure(c *call, nothingWritten bool) *failure {
	f := &failure{
		status: http.StatusBadGateway, slug: "server-lost", detail: "the connection broke before an answer",
		outcome: OutcomeUnknown, retryHint: retryNever,
	}
	switch {
	case errors.Is(c.request.Context().Err(), context.Canceled):
		f.status, f.slug, f.detail = statusClientClosed, "caller-gone", "the caller closed the connection"
	case !g.clock.Now().Before(c.deadline):
		f.status, f.slug, f.detail = http.StatusGatewayTimeout, "deadline", "no answer before the deadline"
	case nothingWritten:
		f.status, f.slug, f.detail = http.StatusServiceUnavailable, "server-unreachable", "no connection"
		// Its lease will lapse soon, and the key gets a new owner.
		f.retryHint, f.retryAfter = retryWhenRouted, time.Second
	}
	if nothingWritten {
		f.outcome = OutcomeNotRun
	}
	return f
}
