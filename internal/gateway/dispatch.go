package gateway

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/boragegate/boragegate/retry"
)

// Waits between attempts.
var (
	// routeBackoff is short, because a grant follows a new route within
	// milliseconds and nothing tells this instance when it has arrived.
	routeBackoff   = retry.Backoff{Base: 4 * time.Millisecond, Max: 50 * time.Millisecond}
	failureBackoff = retry.Backoff{Base: 10 * time.Millisecond, Max: 500 * time.Millisecond}
)

const (
	// responseReserve is the time before the deadline at which a waiting request
	// is given up, so that the answer still reaches its caller.
	responseReserve = 5 * time.Millisecond
	// maxAvoidTime bounds the time for which a target that takes no requests is avoided.
	maxAvoidTime = time.Second
	// maxFailedAttempts bounds the attempts of one request after failures.
	maxFailedAttempts = 3
)

// dispatch finds a destination and runs the request there. It waits while a
// hand-over or take-over is under way and repeats attempts that ran nothing. A
// safe request is also repeated when it may have run; its outcome is then never
// not-run, whatever the last attempt said.
func (g *Gateway) dispatch(c *call) (*http.Response, *failure) {
	resp, f := g.dispatchWithRetries(c)
	if f != nil && c.mayHaveRun && f.outcome == OutcomeNotRun {
		f.outcome = OutcomeUnknown
	}
	return resp, f
}

// dispatchWithRetries runs attempts until one has an answer or no other may follow.
func (g *Gateway) dispatchWithRetries(c *call) (*http.Response, *failure) {
	budget := g.retryBudgets.forService(c.service.Name)
	budget.RecordRequest()
	giveUp := g.waitDeadline(c)
	later := 0
	for attempt := 0; ; attempt++ {
		snapshot, changed := g.cfg.Routes.Watch()
		d, f := g.resolve(snapshot, c)
		if f == nil {
			var resp *http.Response
			if resp, f = g.attempt(c, d); f == nil {
				return resp, nil
			}
		}
		c.mayHaveRun = c.mayHaveRun || f.outcome != OutcomeNotRun
		if f.retryHint == retryNever || !c.body.retryable() || c.ctx.Err() != nil {
			return nil, f
		}
		if f.controllerUnreachable { // the wait for a header must not use up the time for another attempt
			giveUp = g.waitDeadline(c)
		}
		wait := routeBackoff.Delay(attempt)
		if f.retryHint != retryWhenRouted {
			later++
			wait, changed = g.failureDelay(f, later), nil
			if later >= maxFailedAttempts || f.retryAfter > wait && f.retryHint == retryLater || !budget.Allow() {
				return nil, f
			}
		}
		if g.clock.Now().Add(wait).After(giveUp) || !g.waitForRetry(c, wait, changed) {
			return nil, f
		}
		g.metricsByService.forService(c.service.Name, g.cfg.Metrics).retries.Inc(1)
	}
}

// waitDeadline is the time until which a request may wait for another attempt.
func (g *Gateway) waitDeadline(c *call) time.Time {
	end, reserve := g.clock.Now().Add(g.cfg.HandoverTimeout), c.deadline.Add(-responseReserve)
	if reserve.Before(end) {
		return reserve
	}
	return end
}

// failureDelay is the wait after a failure that may pass. Another target is tried at once.
func (g *Gateway) failureDelay(f *failure, later int) time.Duration {
	if f.retryHint == retryElsewhere {
		return 0
	}
	return failureBackoff.Delay(later)
}

// waitForRetry waits for a new snapshot or the time. It returns false if the request
// must not wait: too many do, or its caller has gone.
func (g *Gateway) waitForRetry(c *call, d time.Duration, changed <-chan struct{}) bool {
	if g.waiting.Add(1) > int64(g.cfg.MaxWaiting) {
		g.waiting.Add(-1)
		return false
	}
	defer g.waiting.Add(-1)
	timer := g.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.Chan():
	case <-c.ctx.Done():
		return false
	}
	return true
}

// attempt runs the request at one destination.
func (g *Gateway) attempt(c *call, d destination) (*http.Response, *failure) {
	run := g.forward
	if d.target.Local {
		run = g.runLocal
	}
	if d.partition != noPartition {
		return run(c, d)
	}
	s := g.statistics.forTarget(d.target.Row.ID())
	started := g.clock.Now()
	s.inflight.Add(1)
	resp, f := run(c, d)
	if f != nil {
		s.inflight.Add(-1)
		g.avoidAfterRejection(c, d, s, f)
		return nil, f
	}
	resp.Body = &notifyingBody{ReadCloser: resp.Body, onEnd: func() {
		s.inflight.Add(-1)
		s.recordLatency(g.clock.Now(), g.clock.Since(started))
	}}
	return resp, nil
}

// avoidAfterRejection makes later choices avoid a target that takes no requests.
func (g *Gateway) avoidAfterRejection(c *call, d destination, s *targetStats, f *failure) {
	if f.outcome != OutcomeNotRun {
		return
	}
	switch f.slug {
	case "server-shedding", "server-unreachable":
		s.pause(g.clock.Now().Add(min(f.retryAfter, maxAvoidTime)))
	case "queue-full", "deadline", "rate":
		// The load on the answer tells enough. A pause would leave the target
		// idle while the others are overloaded.
	default:
		return
	}
	c.avoidTarget = d.target.Row.Target
	f.retryHint = retryElsewhere
}

// notifyingBody calls end once, when the body is complete or given up.
type notifyingBody struct {
	io.ReadCloser
	once  sync.Once
	onEnd func()
}

// Read passes the body on.
func (b *notifyingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.once.Do(b.onEnd)
	}
	return n, err
}

// Close ends the exchange.
func (b *notifyingBody) Close() error {
	b.once.Do(b.onEnd)
	return b.ReadCloser.Close()
}
