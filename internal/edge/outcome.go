package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/boragegate/boragegate/dispatch"
	"github.com/boragegate/boragegate/internal/ingress"
)

// execution is the evidence on whether a request has run. An attempt counts as one that may
// have run from its start until the opposite is proven: nothing of it was sent, or its target
// said that it did not run it. The zero value is a request without attempts.
type execution struct {
	// started is the number of attempts, with those that are still pending.
	started int
	// provenNotRun is the number of attempts that have not run and never will.
	provenNotRun int
}

// mayHaveRun reports whether a target may have run the request or may still run it.
func (e *execution) mayHaveRun() bool { return e.started > e.provenNotRun }

// respondUnserved ends a request without a success. It alone chooses the status: the failure of a
// target if there is one; 503 with the Retry-After if the request has not run and never will;
// and otherwise 504 after the deadline or 502.
func (c *proxyCall) respondUnserved(reason string, retryAfter time.Duration) *ingress.Response {
	if c.failedAttempt != nil {
		return c.relay(c.failedAttempt)
	}
	if !c.execution.mayHaveRun() {
		return c.f.respondUnavailable(c, c.request, reason, retryAfter)
	}
	status := http.StatusBadGateway
	if reason == reasonTimeout {
		status = http.StatusGatewayTimeout
	}
	c.f.beginDecisionLog(c, c.request, status, reason).Str("target", c.decision.Target.ID).
		Dur("expected_ms", c.decision.ExpectedLatency).Float64("target_load", c.decision.Load).Send()
	c.f.metrics.countRequest(c.route.Kind.String(), reason, time.Since(c.request.Arrived))
	return &ingress.Response{Status: status, Header: http.Header{}}
}

// respondExpired responds after the caller has disconnected or the deadline of the request
// has passed.
func (c *proxyCall) respondExpired(ctx context.Context) *ingress.Response {
	if errors.Is(ctx.Err(), context.Canceled) {
		c.f.beginDecisionLog(c, c.request, 0, "caller_gone").Send()
		c.f.metrics.countRequest(c.route.Kind.String(), "caller_gone", time.Since(c.request.Arrived))
		return callerGoneResponse
	}
	if response := c.handleArrivedResults(ctx); response != nil {
		return response
	}
	return c.respondUnserved(reasonTimeout, maxHoldInterval)
}

// respondAllRefused responds to the caller after the last attempt was refused by its
// target.
func (c *proxyCall) respondAllRefused(a *attempt) *ingress.Response {
	switch {
	case c.execution.mayHaveRun():
		return c.respondUnserved(reasonAnswerBroken, 0)
	case a.result == dispatch.Misdirected:
		return c.respondUnserved(reasonKeyMoved, maxHoldInterval)
	default:
		return c.respondUnserved(reasonTargetFull, max(c.decision.ExpectedQueueTime, minShedRetryAfter))
	}
}

// discard releases the response of an attempt that is not relayed. a may be nil.
func (c *proxyCall) discard(a *attempt) {
	if a != nil {
		_ = a.response.Release() // the connection is closed in any case
	}
}

// relay returns a target's response to the caller.
func (c *proxyCall) relay(a *attempt) *ingress.Response {
	if a == c.failedAttempt {
		c.failedAttempt = nil // not to be discarded
	}
	r := a.response
	c.f.log.StartEvent(zerolog.InfoLevel, "request.answered").Str("request", c.request.Header.Get(c.f.headers.RequestID)).
		Int("status", r.Status).Str("route", c.route.Name).Str("target", a.target.ID).Int("key", c.key).Int("sent", c.sentAttempts).
		Dur("took_ms", time.Since(c.request.Arrived)).Uint64("config_version", c.configVersion).Send()
	c.f.metrics.countRequest(c.route.Kind.String(), "answered", time.Since(c.request.Arrived))
	if r.Stream != nil {
		r.Stream = &relayedStream{ReadCloser: r.Stream, onCut: func(err error) {
			c.f.metrics.cutResponses.Inc(1)
			c.f.log.StartEvent(zerolog.WarnLevel, "response.cut").Str("request", c.request.Header.Get(c.f.headers.RequestID)).
				Str("target", a.target.ID).Bool("deadline", !time.Now().Before(r.Deadline)).Dur("took_ms", time.Since(c.request.Arrived)).Err(err).Send()
		}}
	}
	return r
}

// relayedStream is a response stream that reports when it is closed before its end.
type relayedStream struct {
	io.ReadCloser
	readErr error
	// onCut is called with the error of the last read, nil if it was successful.
	onCut func(readErr error)
}

// Read implements io.Reader.
func (s *relayedStream) Read(p []byte) (n int, err error) {
	n, s.readErr = s.ReadCloser.Read(p)
	return n, s.readErr
}

// Close closes the stream. It must not be called concurrently with Read.
func (s *relayedStream) Close() error {
	if !errors.Is(s.readErr, io.EOF) && s.onCut != nil {
		s.onCut(s.readErr)
	}
	s.onCut = nil
	return s.ReadCloser.Close()
}
