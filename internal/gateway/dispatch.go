package gateway

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/boragegate/boragegate/retry"
)

// Backoff between attempts of a request.
var (
	// routeBackoff applies to failures with retryWhenRouted. It is short, because a
	// grant follows a new route within milliseconds and this instance is not
	// notified when the target has received it.
	routeBackoff = retry.Backoff{Base: 4 * time.Millisecond, Max: 50 * time.Millisecond}
	// failureBackoff applies to failures with retryLater.
	failureBackoff = retry.Backoff{Base: 10 * time.Millisecond, Max: 500 * time.Millisecond}
)

const (
	// responseReserve is the time before a request's deadline from which the request
	// no longer waits for another attempt, so that the error response reaches its
	// caller in time.
	responseReserve = 5 * time.Millisecond
	// maxAvoidTime limits how long this instance avoids a target that sheds load or
	// cannot be reached.
	maxAvoidTime = time.Second
	// maxFailedAttempts limits the failed attempts of one request. Failures with
	// retryWhenRouted do not count.
	maxFailedAttempts = 3
)

// dispatch resolves the destination of a request and runs the request there. It
// waits while a partition is handed over or taken over, and retries attempts that
// did not run the request. A safe request is also retried when it may have run;
// its outcome is then never not-run, whatever the last attempt reported.
func (g *Gateway) dispatch(c *call) (*http.Response, *failure) {
	resp, f := g.dispatchWithRetries(c)
	if f != nil && c.mayHaveRun && f.outcome == OutcomeNotRun {
		f.outcome = OutcomeUnknown
	}
	return resp, f
}

// dispatchWithRetries runs attempts until one gets a response or no further
// attempt is allowed.
func (g *Gateway) dispatchWithRetries(c *call) (*http.Response, *failure) {
	budget := g.retryBudgets.forService(c.service.Name)
	budget.RecordRequest()
	waitDeadline := g.waitDeadline(c)
	failures := 0
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
		if f.controllerUnreachable { // the time spent waiting for the response must not prevent another attempt
			waitDeadline = g.waitDeadline(c)
		}
		wait := routeBackoff.Delay(attempt)
		if f.retryHint != retryWhenRouted {
			failures++
			wait, changed = g.failureDelay(f, failures), nil
			if failures >= maxFailedAttempts || f.retryAfter > wait && f.retryHint == retryLater || !budget.Allow() {
				return nil, f
			}
		}
		if g.clock.Now().Add(wait).After(waitDeadline) || !g.waitForRetry(c, wait, changed) {
			return nil, f
		}
		g.metricsByService.forService(c.service.Name, g.cfg.Metrics).retries.Inc(1)
	}
}

// waitDeadline returns the time until which a request may wait for another
// attempt: HandoverTimeout from now, or responseReserve before the request's
// deadline if that is earlier.
func (g *Gateway) waitDeadline(c *call) time.Time {
	waitEnd, responseDeadline := g.clock.Now().Add(g.cfg.HandoverTimeout), c.deadline.Add(-responseReserve)
	if responseDeadline.Before(waitEnd) {
		return responseDeadline
	}
	return waitEnd
}

// failureDelay returns the delay before the next attempt after a failure that
// may be transient. Another target is tried without delay.
func (g *Gateway) failureDelay(f *failure, failures int) time.Duration {
	if f.retryHint == retryElsewhere {
		return 0
	}
	return failureBackoff.Delay(failures)
}

// waitForRetry waits until the delay has passed or changed is closed. It returns
// false if MaxWaiting requests are waiting already, or if the request's context
// ends.
func (g *Gateway) waitForRetry(c *call, d time.Duration, changed <-chan struct{}) bool {
	if g.waitingRequests.Add(1) > int64(g.cfg.MaxWaiting) {
		g.waitingRequests.Add(-1)
		return false
	}
	defer g.waitingRequests.Add(-1)
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

// attempt runs the request at one destination. If any target can serve the
// request, attempt counts it as outstanding at the target until the response body
// has been read or closed, and records the latency, for target selection.
func (g *Gateway) attempt(c *call, d destination) (*http.Response, *failure) {
	send := g.forward
	if d.target.Local {
		send = g.runLocal
	}
	if d.partition != noPartition {
		return send(c, d)
	}
	s := g.statistics.forTarget(d.target.Row.ID())
	started := g.clock.Now()
	s.outstanding.Add(1)
	resp, f := send(c, d)
	if f != nil {
		s.outstanding.Add(-1)
		g.avoidAfterRejection(c, d, s, f)
		return nil, f
	}
	resp.Body = &notifyingBody{ReadCloser: resp.Body, onEnd: func() {
		s.outstanding.Add(-1)
		s.recordLatency(g.clock.Now(), g.clock.Since(started))
	}}
	return resp, nil
}

// avoidAfterRejection makes the next attempt of the request avoid a target that did
// not run it because of overload or because it was unreachable. If the target sheds
// load or is unreachable, later requests avoid it too.
func (g *Gateway) avoidAfterRejection(c *call, d destination, s *targetStats, f *failure) {
	if f.outcome != OutcomeNotRun {
		return
	}
	switch f.slug {
	case "server-shedding", "server-unreachable":
		s.pause(g.clock.Now().Add(min(f.retryAfter, maxAvoidTime)))
	case "queue-full", "deadline", "rate":
		// The load header of the response is enough for later target selection.
		// Pausing the target would leave it idle while the others are overloaded.
	default:
		return
	}
	c.avoidTarget = d.target.Row.Target
	f.retryHint = retryElsewhere
}

// notifyingBody calls a function once, when the body is read to its end, fails,
// or is closed.
type notifyingBody struct {
	io.ReadCloser
	once  sync.Once
	onEnd func()
}

// Read implements io.Reader.
func (b *notifyingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.once.Do(b.onEnd)
	}
	return n, err
}

// Close implements io.Closer.
func (b *notifyingBody) Close() error {
	b.once.Do(b.onEnd)
	return b.ReadCloser.Close()
}
