package edge

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/boragegate/boragegate/internal/deployment"
	"github.com/boragegate/boragegate/internal/socket"
	"github.com/boragegate/boragegate/ownership/rangelease"
	"github.com/boragegate/boragegate/routing"
)

// leaseCall is a lease request that is being sent or waits for its response.
type leaseCall struct {
	request      string // "grant" or "release"
	target       routing.Lifetime
	number       uint64 // as in rangelease.Action
	span         routing.Span
	fencingToken uint64
	probe        bool
	started      atomic.Bool
}

// startCall sends a lease request in its own goroutine and posts the result. The call is
// starting, and counts against maxStartingCalls, until it waits for the network: the connection
// to the target is being opened, or the request was written. So targets that do not respond hold
// back no other calls. Probes do not count, as the grantor bounds their number.
func (l *leadership) startCall(call *leaseCall, timeout time.Duration, send func(context.Context) deployment.LeaseResponse) {
	c := l.c
	c.activity.openLeaseRequests.Add(1)
	if call.probe {
		call.started.Store(true)
	} else {
		l.startingCalls.Add(1)
	}
	// The grantor counts the time within which the request can arrive from now on, not from when
	// the goroutine gets to run.
	ctx, cancel := context.WithTimeout(l.ctx, timeout)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		ConnectStart: func(string, string) { l.finishStart(call) },
		WroteRequest: func(httptrace.WroteRequestInfo) { l.finishStart(call) },
	})
	c.t.Go(func() error {
		defer cancel()
		response := send(ctx)
		l.finishStart(call)
		c.activity.openLeaseRequests.Add(-1)
		c.post(func() { l.handleLeaseResult(call, response) })
		return nil
	})
}

// finishStart marks a call as started. It may be called from any goroutine, more than once.
func (l *leadership) finishStart(call *leaseCall) {
	if call.started.CompareAndSwap(false, true) {
		l.startingCalls.Add(-1)
	}
}

// startDueCalls sends due lease requests that the last tick of the grantor has left out, if
// enough others have started.
func (l *leadership) startDueCalls() {
	if l.ctx.Err() == nil && l.grantor.HasDueCalls() && maxStartingCalls-int(l.startingCalls.Load()) >= minCallBatch {
		l.advance(socket.BootTime())
	}
}

// handleLeaseResult applies the result of a lease request.
func (l *leadership) handleLeaseResult(call *leaseCall, response deployment.LeaseResponse) {
	if l.ctx.Err() != nil {
		return
	}
	outcome := response.Outcome
	if outcome != rangelease.Done {
		l.c.metrics.leaseRequestsFailed.Inc(1)
		l.c.log.Warn().Str("event", "order.failed").Str("order", call.request).Str("target", call.target.ID).Str("outcome", outcome.String()).
			Int("from_key", call.span.From).Int("to_key", call.span.To).Uint64("fence", call.fencingToken).Send()
	}
	now := socket.BootTime()
	for _, a := range l.grantor.ReportCallResult(now, call.target, call.number, outcome, response.HandoverToken) {
		l.execute(a)
	}
	if response.Leaving {
		l.c.markTargetsLeaving(now, []routing.Lifetime{call.target})
	}
	if outcome == rangelease.Done {
		l.publish(now)
	}
	l.startDueCalls()
}
