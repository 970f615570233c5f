package edge

import (
	"context"
	"slices"
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

	order uint64 // position among all calls that the leader has begun, 0 for a probe
}

// startCall sends a lease request in its own goroutine and posts the result. The call is
// starting, and counts against maxStartingCalls, until it is answered or overtaken, or until
// callStartTimeout. Probes do not count, as the grantor bounds their number.
func (l *leadership) startCall(call *leaseCall, timeout time.Duration, send func(context.Context) deployment.LeaseResponse) {
	c := l.c
	c.activity.openLeaseRequests.Add(1)
	var startTimer *time.Timer
	if !call.probe {
		l.callsBegun++
		call.order = l.callsBegun
		l.startingCalls = append(l.startingCalls, call)
		startTimer = time.AfterFunc(callStartTimeout, func() { c.post(func() { l.finishStart(call) }) })
	}
	// The grantor counts the time within which the request can arrive from now on, not from when
	// the goroutine gets to run.
	ctx, cancel := context.WithTimeout(l.ctx, timeout)
	c.t.Go(func() error {
		defer cancel()
		response := send(ctx)
		c.activity.openLeaseRequests.Add(-1)
		if startTimer != nil {
			startTimer.Stop()
		}
		c.post(func() { l.handleLeaseResult(call, response) })
		return nil
	})
}

// finishStart marks a call as started, and sends the lease requests that were left out because
// too many others were starting.
func (l *leadership) finishStart(call *leaseCall) {
	l.startingCalls = slices.DeleteFunc(l.startingCalls, func(other *leaseCall) bool { return other == call })
	l.startDueCalls()
}

// finishStartAnswered marks an answered call as started, and with it the calls that were begun
// maxStartingCalls or more before: as they were overtaken, they wait for the network and not for
// the processor.
func (l *leadership) finishStartAnswered(call *leaseCall) {
	l.startingCalls = slices.DeleteFunc(l.startingCalls, func(other *leaseCall) bool {
		return other == call || other.order+maxStartingCalls <= call.order
	})
}

// startDueCalls sends due lease requests that the last tick of the grantor has left out, if
// enough others have started.
func (l *leadership) startDueCalls() {
	if l.ctx.Err() == nil && l.grantor.HasDueCalls() && maxStartingCalls-len(l.startingCalls) >= minCallBatch {
		l.advance(socket.BootTime())
	}
}

// handleLeaseResult applies the result of a lease request.
func (l *leadership) handleLeaseResult(call *leaseCall, response deployment.LeaseResponse) {
	if l.ctx.Err() != nil {
		return
	}
	outcome := response.Outcome
	if outcome != rangelease.Unanswered {
		l.finishStartAnswered(call)
	}
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
	l.finishStart(call)
}
