package gateway

import (
	"net/http"
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
	// maxLaterAttempts bounds the attempts of one request after failures.
	maxLaterAttempts = 3
)

// dispatch finds a destination and runs the request there. It waits while a
// hand-over or take-over is under way and repeats attempts that ran nothing.
func (g *Gateway) dispatch(c *call) (*http.Response, *failure) {
	budget := g.budgets.of(c.service.Name)
	budget.Request()
	giveUp := g.clock.Now().Add(g.cfg.HandoverWait)
	if end := c.deadline.Add(-answerReserve); end.Before(giveUp) {
		giveUp = end
	}
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
		wait := routedBackoff.Wait(attempt)
		switch {
		case f.again == againNever || !c.body.repeatable() || c.ctx.Err() != nil:
			return nil, f
		case f.again == againLater:
			later++
			wait = laterBackoff.Wait(later)
			if later >= maxLaterAttempts || f.retryAfter > wait || !budget.Take() {
				return nil, f
			}
			changed = nil
		}
		if g.clock.Now().Add(wait).After(giveUp) || !g.pause(c, wait, changed) {
			return nil, f
		}
		retriesCounter(g.cfg.Metrics, c.service.Name).Inc(1)
	}
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

func (g *Gateway) attempt(c *call, d destination) (*http.Response, *failure) {
	if d.target.Local {
		return g.runHere(c, d)
	}
	return g.forward(c, d)
}
