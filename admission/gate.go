package admission

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

// Parameters of admission decisions.
const (
	// serviceTimeWeight is the weight of a sample in the moving average of the service time.
	serviceTimeWeight = 0.1
	// minRemainingFraction is the fraction of the average service time that must remain until
	// the deadline of a request for it to be started. Service times vary: if the full average
	// had to remain, half of the requests of a mixed service would be rejected although they
	// could finish.
	minRemainingFraction = 0.25
	// maxPause is the upper bound of a server's Retry-After, so that a wrong value cannot
	// disable a target for long.
	maxPause = 5 * time.Second
	// minRetryAfter is the lower bound of the retry delay that callers are given.
	minRetryAfter = 50 * time.Millisecond
)

// Gate admits requests to one target. It is safe for concurrent use.
type Gate struct {
	clock clockwork.Clock

	mu          sync.Mutex // guards the fields below
	limits      Limits
	limiter     *rate.Limiter
	running     [numClasses]int
	queues      [numClasses]fairQueue
	serviceTime [numClasses]time.Duration
	pausedUntil time.Time
	lastClass   Class // of the request that grantSlots admitted last
}

// NewGate returns a gate with the limits. The clock may be a fake one in tests.
func NewGate(l Limits, clock clockwork.Clock) *Gate {
	g := &Gate{clock: clock}
	g.SetLimits(l)
	return g
}

// SetLimits changes the limits. Requests that already run or wait are not rejected.
func (g *Gate) SetLimits(l Limits) {
	l = l.withDefaults()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limits == l {
		return
	}
	if l.Rate != g.limits.Rate {
		g.limiter = nil
		if l.Rate > 0 { // allows bursts of up to Rate/10 requests, or of one if that is less
			g.limiter = rate.NewLimiter(rate.Limit(l.Rate), max(1, int(l.Rate/10)))
		}
	}
	g.limits = l
	g.grantSlots()
}

// Pause rejects new requests for a duration, at most maxPause, because the server sheds load.
// It does not shorten an earlier pause.
func (g *Gate) Pause(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if until := g.clock.Now().Add(min(d, maxPause)); until.After(g.pausedUntil) {
		g.pausedUntil = until
	}
}

// Load returns the current load.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Load{
		Slots:        g.limits.Slots,
		Running:      g.running[Interactive] + g.running[Bulk],
		Queued:       g.queues[Interactive].len + g.queues[Bulk].len,
		ServiceTime:  g.serviceTime[Interactive],
		ExpectedWait: time.Duration(g.queues[Interactive].len) * g.serviceTime[Interactive] / time.Duration(g.limits.Slots),
	}
}

// Permit is a slot that an admitted request occupies until Release.
type Permit struct {
	gate    *Gate
	class   Class
	started time.Time
	once    sync.Once
}

// Release frees the slot. Calls after the first have no effect.
func (p *Permit) Release() { p.once.Do(p.release) }

func (p *Permit) release() {
	g := p.gate
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordServiceTime(p.class, now.Sub(p.started))
	g.running[p.class]--
	g.grantSlots()
}

// HeldFor returns the time since the request got the slot. It is meant to be called before Release.
func (p *Permit) HeldFor() time.Duration { return p.gate.clock.Since(p.started) }

// Acquire waits for a slot. The error is a *RejectionError, or the error of the context if it
// ends first; in either case the request has not run.
func (g *Gate) Acquire(ctx context.Context, r Request) (*Permit, error) {
	if err := g.waitForRate(ctx, r); err != nil {
		return nil, err
	}
	g.mu.Lock()
	now := g.clock.Now()
	if rejection := g.check(now, r); rejection != nil {
		g.mu.Unlock()
		return nil, rejection
	}
	if g.queues[r.Class].len == 0 && g.hasSlot(r.Class) {
		g.running[r.Class]++
		g.mu.Unlock()
		return g.newPermit(r.Class), nil
	}
	w := &waiter{req: r, decided: make(chan struct{})}
	g.queues[r.Class].push(w)
	limit := min(g.limits.MaxQueueTime, r.Deadline.Sub(now)-g.minRemainingTime(r.Class))
	g.mu.Unlock()
	return g.wait(ctx, w, limit)
}

func (g *Gate) newPermit(c Class) *Permit {
	return &Permit{gate: g, class: c, started: g.clock.Now()}
}

// wait waits until the gate has decided on a queued request, the time limit is reached or the
// context ends. It returns a permit if the gate has admitted the request.
func (g *Gate) wait(ctx context.Context, w *waiter, limit time.Duration) (*Permit, error) {
	timer := g.clock.NewTimer(limit)
	defer timer.Stop()
	var err error
	select {
	case <-w.decided:
	case <-ctx.Done():
		err = ctx.Err()
	case <-timer.Chan():
		err = &RejectionError{Reason: ReasonQueueTime, RetryAfter: minRetryAfter}
	}
	g.mu.Lock()
	isDecided := w.element == nil // grantSlots has removed it from the queue
	g.queues[w.req.Class].remove(w)
	g.mu.Unlock()
	if isDecided {
		err = w.err
	}
	if err != nil {
		return nil, err
	}
	return g.newPermit(w.req.Class), nil
}

// waitForRate waits for a token of the rate limiter. It returns an error at once if the token
// would come too late.
func (g *Gate) waitForRate(ctx context.Context, r Request) error {
	g.mu.Lock()
	limiter, maxDelay := g.limiter, g.limits.MaxQueueTime
	g.mu.Unlock()
	if limiter == nil {
		return nil
	}
	now := g.clock.Now()
	token := limiter.ReserveN(now, 1)
	delay := token.DelayFrom(now)
	if delay > min(maxDelay, r.Deadline.Sub(now)) {
		token.CancelAt(now)
		return &RejectionError{Reason: ReasonRate, RetryAfter: delay}
	}
	if delay == 0 {
		return nil
	}
	timer := g.clock.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return nil
	case <-ctx.Done():
		token.CancelAt(g.clock.Now())
		return ctx.Err()
	}
}

// check returns a rejection if the request may not run or cannot finish in time, and nil
// otherwise.
func (g *Gate) check(now time.Time, r Request) *RejectionError {
	if pause := g.pausedUntil.Sub(now); pause > 0 {
		return &RejectionError{Reason: ReasonShedding, RetryAfter: pause}
	}
	remaining := r.Deadline.Sub(now)
	if remaining <= 0 {
		return &RejectionError{Reason: ReasonDeadline, RetryAfter: minRetryAfter}
	}
	q := &g.queues[r.Class]
	if q.len == 0 && g.hasSlot(r.Class) {
		return nil
	}
	wait := g.expectedWait(r)
	switch {
	case g.queues[Interactive].len+g.queues[Bulk].len >= g.limits.QueueLength,
		r.Class == Bulk && q.len >= g.limits.bulkQueueLength():
		return &RejectionError{Reason: ReasonQueueFull, RetryAfter: max(wait, minRetryAfter)}
	case r.Key != "" && q.keyLen(r.Key) >= g.limits.keyQueueLength():
		return &RejectionError{Reason: ReasonKeyShare, RetryAfter: max(wait, minRetryAfter)}
	case wait+g.minRemainingTime(r.Class) > remaining || wait > g.limits.MaxQueueTime:
		return &RejectionError{Reason: ReasonDeadline, RetryAfter: max(wait, minRetryAfter)}
	}
	return nil
}

// expectedWait returns the estimated time until a new request of the class and key gets a slot.
func (g *Gate) expectedWait(r Request) time.Duration {
	slots := g.limits.Slots
	if r.Class == Bulk {
		slots = g.limits.bulkSlots()
	}
	requestsAhead := g.queues[r.Class].countAhead(r.Key)
	return time.Duration(requestsAhead) * g.serviceTime[r.Class] / time.Duration(slots)
}

// minRemainingTime returns the time that must remain until the deadline of a request for it to be
// started.
func (g *Gate) minRemainingTime(c Class) time.Duration {
	return time.Duration(float64(g.serviceTime[c]) * minRemainingFraction)
}

func (g *Gate) recordServiceTime(c Class, duration time.Duration) {
	if g.serviceTime[c] == 0 {
		g.serviceTime[c] = duration
		return
	}
	g.serviceTime[c] += time.Duration(serviceTimeWeight * float64(duration-g.serviceTime[c]))
}

// hasSlot reports whether there is a free slot that a request of the class may occupy.
func (g *Gate) hasSlot(c Class) bool {
	if g.running[Interactive]+g.running[Bulk] >= g.limits.Slots {
		return false
	}
	return c == Interactive || g.running[Bulk] < g.limits.bulkSlots()
}

// nextClass returns the class that gets the next slot, or false if none is eligible. A class is
// eligible if a request of it waits and hasSlot is true. If both are eligible, interactive is
// next unless interactive requests already occupy all slots beyond bulkSlots. With a single slot,
// the classes alternate.
func (g *Gate) nextClass() (Class, bool) {
	isBulkEligible := g.queues[Bulk].len > 0 && g.hasSlot(Bulk)
	isInteractiveEligible := g.queues[Interactive].len > 0 && g.hasSlot(Interactive)
	bulkIsDue := g.running[Interactive] >= g.limits.Slots-g.limits.bulkSlots()
	if g.limits.Slots == 1 {
		bulkIsDue = g.lastClass == Interactive
	}
	switch {
	case isInteractiveEligible && (!isBulkEligible || !bulkIsDue):
		return Interactive, true
	case isBulkEligible:
		return Bulk, true
	}
	return 0, false
}

// grantSlots gives free slots to waiting requests. A request that can no longer finish by its
// deadline is rejected instead, so that no slot is occupied for a caller that no longer waits.
func (g *Gate) grantSlots() {
	for {
		c, ok := g.nextClass()
		if !ok {
			return
		}
		w := g.queues[c].pop()
		if w.req.Deadline.Sub(g.clock.Now()) < g.minRemainingTime(c) {
			w.err = &RejectionError{Reason: ReasonDeadline, RetryAfter: minRetryAfter}
		} else {
			g.running[c]++
			g.lastClass = c
		}
		close(w.decided)
	}
}
