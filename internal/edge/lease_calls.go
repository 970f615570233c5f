package edge

import (
	"context"
	"time"

	"github.com/boragegate/boragegate/internal/deployment"
	"github.com/boragegate/boragegate/internal/socket"
	"github.com/boragegate/boragegate/ownership/rangelease"
	"github.com/boragegate/boragegate/routing"
)

const (
	// maxTickDelay is the delay of a tick from which the window of lease requests shrinks: they
	// keep the control loop from running. Followers expect a heartbeat each heartbeatInterval.
	maxTickDelay = 50 * time.Millisecond
	// silentCallTime is the time after which a lease request without a response no longer counts
	// against the window: it waits for a target that does not respond, not for the processor.
	silentCallTime = 100 * time.Millisecond
	// minCallWindow, initialCallWindow and maxCallWindow bound the window. The renewals of 820
	// targets at once kept the control loop of an instance with 0.16 cores from running for
	// 3.9 s; such an instance handles about 200 requests a second.
	minCallWindow     = 16
	initialCallWindow = 32
	maxCallWindow     = 1024
	// callWindowDecrease is the factor by which the window shrinks with each late tick.
	callWindowDecrease = 0.7
)

// callWindow bounds the lease requests that compete with the control loop for the processor. It
// grows with each response and shrinks with each late tick of the loop. It is confined to the
// control loop.
type callWindow struct {
	size float64
	open int // lease requests that count against the window
}

func newCallWindow() callWindow { return callWindow{size: initialCallWindow} }

// free returns the number of lease requests that may be begun now.
func (w *callWindow) free() int { return int(w.size) - w.open }

// recordResponse grows the window after a response.
func (w *callWindow) recordResponse() { w.size = min(w.size+1, maxCallWindow) }

// recordTick shrinks the window if the tick is late.
func (w *callWindow) recordTick(delay time.Duration) {
	if delay > maxTickDelay {
		w.size = max(w.size*callWindowDecrease, minCallWindow)
	}
}

// leaseCall is a lease request that is being sent or waits for its response.
type leaseCall struct {
	request      string // "grant" or "release"
	target       routing.Lifetime
	number       uint64 // as in rangelease.Action
	span         routing.Span
	fencingToken uint64
	probe        bool
	counted      bool // whether it counts against the window; confined to the control loop
}

// startCall sends a lease request in its own goroutine and posts the result. Probes do not count
// against the window, as the grantor bounds their number.
func (l *leadership) startCall(call *leaseCall, timeout time.Duration, send func(context.Context) deployment.LeaseResponse) {
	c := l.c
	c.activity.openLeaseRequests.Add(1)
	if !call.probe {
		call.counted = true
		l.calls.open++
	}
	// The grantor counts the time within which the request can arrive from now on, not from when
	// the goroutine gets to run.
	ctx, cancel := context.WithTimeout(l.ctx, timeout)
	c.t.Go(func() error {
		defer cancel()
		silent := time.AfterFunc(silentCallTime, func() {
			c.post(func() {
				l.finishCall(call)
				l.startDueCalls()
			})
		})
		response := send(ctx)
		silent.Stop()
		c.activity.openLeaseRequests.Add(-1)
		c.post(func() { l.handleLeaseResult(call, response) })
		return nil
	})
}

// finishCall ends the time for which a call counts against the window.
func (l *leadership) finishCall(call *leaseCall) {
	if call.counted {
		call.counted = false
		l.calls.open--
	}
}

// startDueCalls sends due lease requests that the last tick of the grantor has left out, once
// half of the window is free: looking for them takes a pass over all spans.
func (l *leadership) startDueCalls() {
	if l.ctx.Err() == nil && l.grantor.HasDueCalls() && 2*l.calls.free() >= int(l.calls.size) {
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
	l.finishCall(call)
	if outcome != rangelease.Unanswered {
		l.calls.recordResponse()
	}
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
