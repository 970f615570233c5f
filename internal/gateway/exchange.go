package gateway

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"time"

	"github.com/boragegate/boragegate/internal/httpwire"
)

// Errors for responses that must not be relayed to the caller.
var (
	errControllerUnreachable = errors.New("controller of the target unreachable while waiting for the response")
	errUnsolicitedResponse   = errors.New("response received before the request was written")
	errInvalidStatus         = errors.New("response status is not a final one from 200 to 599")
)

// exchange sends one request and returns the response with its body still to be
// read. The failure's outcome is not-run only if no byte of the request was
// written.
func (g *Gateway) exchange(c *call, t http.RoundTripper, u *url.URL, h http.Header) (*http.Response, *failure) {
	c.cancelAttempt()
	a, ctx := newAttempt(c)
	u.RawQuery = c.request.URL.RawQuery
	req := (&http.Request{
		Method: c.request.Method, URL: u, Host: c.request.Host, Header: h,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	c.body.attach(req)
	resp, unreachable, err := g.roundTrip(c, t, a, req)
	if err == nil {
		err = a.checkResponse(t, resp)
	}
	if err != nil {
		f := g.exchangeFailure(c, a.sealUnwritten(t))
		f.controllerUnreachable = unreachable
		c.cancelAttempt()
		return nil, f
	}
	return resp, nil
}

// roundTrip sends the request and waits for the response header. The second
// result reports whether the attempt was cancelled because the instance that the
// request was forwarded to is unreachable.
func (g *Gateway) roundTrip(c *call, t http.RoundTripper, a *attempt, req *http.Request) (*http.Response, bool, error) {
	if c.forwardTarget == nil {
		resp, err := t.RoundTrip(req)
		return resp, false, err
	}
	monitor := &controllerMonitor{g: g, target: c.forwardTarget, ctx: req.Context(), cancel: a.cancel}
	timer := g.clock.AfterFunc(probeGracePeriod, monitor.run)
	resp, err := t.RoundTrip(req)
	timer.Stop()
	unreachable := monitor.stop()
	if unreachable && err == nil {
		_ = resp.Body.Close()
		err = errControllerUnreachable
	}
	return resp, unreachable, err
}

// checkResponse returns an error and closes the body if the response must not
// be relayed.
func (a *attempt) checkResponse(t http.RoundTripper, resp *http.Response) (err error) {
	switch {
	case !a.responseMatches(t):
		err = errUnsolicitedResponse
	case resp.StatusCode < http.StatusOK || !httpwire.IsValidStatus(resp.StatusCode): // 101: the server switched protocols without being asked to
		err = errInvalidStatus
	case a.conn != nil:
		err = a.conn.checkVersion(resp)
	}
	if err != nil {
		_ = resp.Body.Close()
	}
	return err
}

// deadlineContext adds a deadline to the caller's context without starting a
// timer. Its Done channel is that of the caller's context.
type deadlineContext struct {
	context.Context
	deadline time.Time
}

// Deadline returns the request's deadline.
func (c *deadlineContext) Deadline() (time.Time, bool) { return c.deadline, true }

// exchangeFailure returns the failure of a request that got no response, or none
// that may be relayed.
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
		// The server's lease expires soon, and the key then gets a new owner.
		f.retryHint, f.retryAfter = retryWhenRouted, time.Second
	}
	if nothingWritten {
		f.outcome = OutcomeNotRun
	}
	return f
}
