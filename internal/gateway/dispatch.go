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
	// routedBackoff is short, because a grant follows a new route within
	// milliseconds and nothing tells this instance when it has arrived.
	routedBackoff = retry.Backoff{Base: 4 * time.Millisecond, Max: 50 * time.Millisecond}
	laterBackoff  = retry.Backoff{Base: 10 * time.Millisecond, Max: 500 * time.Millisecond}
)

const (
	// answerReserve is the time before the deadline at which a waiting request
	// is given up, so that the answer still reaches its caller.
	answerReserve = 5 * time.Millisecond
	// maxAvoid bounds the time for which a target that takes no requests is avoided.
	maxAvoid = time.Second
	// maxLaterAttempts bounds the attempts of one request after failures.
	maxLaterAttempts = 3
)

// dispatch finds a destination and runs the request there. It waits while a
// hand-over or take-over is under way and repeats attempts that ran nothing. A
// safe request is also repeated when it may have run; its outcome is then never
// not-run, whatever the last attempt said.
func (g *Gateway) dispatch(c *call) (*http.Response, *failure) {
	resp, f := g.repeat(c)
	if f != nil && c.mayHaveRun && f.outcome == OutcomeNotRun {
		f.outcome = OutcomeUnknown
	}
	return resp, f
}

// repeat runs attempts until one has an answer or no other may follow.
func (g *Gateway) repeat(c *call) (*http.Response, *failure) {
	budget := g.budgets.of(c.service.Name)
	budget.RecordRequest()
	giveUp := g.giveUp(c)
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
		if f.again == againNever || !c.body.repeatable() || c.ctx.Err() != nil {
			return nil, f
		}
		if f.lost { // the wait for a header must not use up the time for another attempt
			giveUp = g.giveUp(c)
		}
		wait := routedBackoff.Delay(attempt)
		if f.again != againRouted {
			later++
			wait, changed = g.laterWait(f, later), nil
			if later >= maxLaterAttempts || f.retryAfter > wait && f.again == againLater || !budget.Allow() {
				return nil, f
			}
		}
		if g.clock.Now().Add(wait).After(giveUp) || !g.pause(c, wait, changed) {
			return nil, f
		}
		g.meters.of(c.service.Name, g.cfg.Metrics).retries.Inc(1)
	}
}

// giveUp is the time until which a request may wait for another attempt.
func (g *Gateway) giveUp(c *call) time.Time {
	end, reserve := g.clock.Now().Add(g.cfg.HandoverWait), c.deadline.Add(-answerReserve)
	if reserve.Before(end) {
		return reserve
	}
	return end
}

// laterWait is the wait after a failure that may pass. Another target is tried at once.
func (g *Gateway) laterWait(f *failure, later int) time.Duration {
	if f.again == againElsewhere {
		return 0
	}
	return laterBackoff.Delay(later)
}

// pause waits for a new snapshot or the time. It returns false if the request
// must not wait: too many do, or its caller has gone.
func (g *Gateway) pause(c *call, d time.Duration, changed <-chan struct{}) bool {
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
		run = g.runHere
	}
	if d.partition != noPartition {
		return run(c, d)
	}
	s := g.statistics.of(d.target.Row.ID())
	started := g.clock.Now()
	s.inflight.Add(1)
	resp, f := run(c, d)
	if f != nil {
		s.inflight.Add(-1)
		g.noteRefusal(c, d, s, f)
		return nil, f
	}
	resp.Body = &countedBody{ReadCloser: resp.Body, end: func() {
		s.inflight.Add(-1)
		s.observe(g.clock.Now(), g.clock.Since(started))
	}}
	return resp, nil
}

// noteRefusal makes later choices avoid a target that takes no requests.
func (g *Gateway) noteRefusal(c *call, d destination, s *stats, f *failure) {
	if f.outcome != OutcomeNotRun {
		return
	}
	switch f.slug {
	case "server-shedding", "server-unreachable":
		s.pause(g.clock.Now().Add(min(f.retryAfter, maxAvoid)))
	case "queue-full", "deadline", "rate":
		// The load on the answer tells enough. A pause would leave the target
		// idle while the others are overloaded.
	default:
		return
	}
	c.avoid = d.target.Row.Target
	f.again = againElsewhere
}

// countedBody calls end once, when the body is complete or given up.
type countedBody struct {
	io.ReadCloser
	once sync.Once
	end  func()
}

// Read passes the body on.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.once.Do(b.end)
	}
	return n, err
}

// Close ends the exchange.
func (b *countedBody) Close() error {
	b.once.Do(b.end)
	return b.ReadCloser.Close()
}
