package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"
)

// exchange sends one request and returns the answer's header with its body
// still to be read. The failure's outcome is not-run only if no byte of the
// request was written.
func (g *Gateway) exchange(c *call, t http.RoundTripper, u *url.URL, path string, h http.Header) (*http.Response, *failure) {
	var proof writeProof
	ctx := httptrace.WithClientTrace(c.ctx, &httptrace.ClientTrace{GotConn: proof.gotConn})
	if err := setPath(u, path); err != nil {
		return nil, notRun(http.StatusBadRequest, "malformed", "the path is not valid")
	}
	u.RawQuery = c.in.URL.RawQuery
	req := (&http.Request{
		Method: c.in.Method, URL: u, Host: c.in.Host, Header: h,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // keeps net/http from adding its own
	}
	if c.body != nil {
		req.Body, req.ContentLength = c.body.reader(), c.body.length
	}
	resp, err := t.RoundTrip(req)
	if err != nil {
		return nil, exchangeFailure(c, err, proof.nothingWritten())
	}
	return resp, nil
}

func setPath(u *url.URL, escaped string) error {
	path, err := url.PathUnescape(escaped)
	if err != nil {
		return err
	}
	u.Path, u.RawPath = path, escaped
	return nil
}

// exchangeFailure explains why there is no answer.
func exchangeFailure(c *call, err error, nothingWritten bool) *failure {
	f := &failure{
		status: http.StatusBadGateway, slug: "server-lost", detail: "the connection broke before an answer",
		outcome: OutcomeUnknown, again: againNever,
	}
	timeout := new(net.Error)
	switch {
	case errors.Is(c.in.Context().Err(), context.Canceled):
		f.status, f.slug, f.detail = statusClientClosed, "caller-gone", "the caller closed the connection"
	case errors.Is(c.ctx.Err(), context.DeadlineExceeded):
		f.status, f.slug, f.detail = http.StatusGatewayTimeout, "deadline", "no answer before the deadline"
	case nothingWritten:
		f.status, f.slug, f.detail = http.StatusServiceUnavailable, "server-unreachable", "no connection"
		f.again, f.retryAfter = againLater, time.Second
	case errors.As(err, timeout) && (*timeout).Timeout():
		f.status, f.slug = http.StatusGatewayTimeout, "server-timeout"
	}
	if nothingWritten {
		f.outcome = OutcomeNotRun
	}
	return f
}
