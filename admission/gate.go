package admission

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

// Constants of the estimate of service times.
const (
	// serviceTimeWeight is the weight of the newest sample of the moving average.
	serviceTimeWeight = 0.1
	// minServiceTimeFraction is the part of the average service time that a request must
	// have left. Service times vary; with the whole average half of the requests
	// of a mixed service would be refused although they could finish.
	minServiceTimeFraction = 0.25
	// maxPause bounds a server's Retry-After, so that a faulty value cannot
	// disable a target for long.
	maxPause = 5 * time.Second
	// minRetryAfter is the smallest suggestion to callers.
	minRetryAfter = 50 * time.Millisecond
)

// Gate admits requests to one target. It is safe for concurrent use.
type Gate struct {
	clock clockwork.Clock

	mu          sync.Mutex
	limits      Limits
	limiter     *rate.Limiter
	running     [classes]int
	queues      [classes]fairQueue
	serviceTime [classes]time.Duration
	pausedUntil time.Time
	lastClass   Class
}

// NewGate returns a gate.
func NewGate(l Limits, clock clockwork.Clock) *Gate {
	g := &Gate{clock: clock}
	g.SetLimits(l)
	return g
}

// SetLimits changes the limits. Requests that run or wait are not refused.
func (g *Gate) SetLimits(l Limits) {
	l = l.withDefaults()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limits == l {
		return
	}
	if l.Rate != g.limits.Rate {
		g.limiter = nil
		if l.Rate > 0 {
			g.limiter = rate.NewLimiter(rate.Limit(l.Rate), max(1, int(l.Rate/10)))
		}
	}
	g.limits = l
	g.grantSlots()
}

// Pause refuses new requests for a time, because the server sheds load.
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

// Permit is an occupied slot.
type Permit struct {
	gate    *Gate
	class   Class
	started time.Time
	once    sync.Once
}

// Release frees the slot. It can be called more than once.
func (t *Permit) Release() { t.once.Do(t.release) }

func (t *Permit) release() {
	g := t.gate
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordServiceTime(t.class, now.Sub(t.started))
	g.running[t.class]--
	g.grantSlots()
}

// HeldFor is the time since the slot was taken.
func (t *Permit) HeldFor() time.Duration { return t.gate.clock.Since(t.started) }

// Acquire waits for a slot. The error is a *Refusal, or the context's error if
// the caller has gone; the request has not run in either case.
func (g *Gate) Acquire(ctx context.Context, r Request) (*Permit, error) {
	if err := g.waitForRate(ctx, r); err != nil {
		return nil, err
	}
	g.mu.Lock()
	now := g.clock.Now()
	if refusal := g.check(now, r); refusal != nil {
		g.mu.Unlock()
		return nil, refusal
	}
	if g.queues[r.Class].len == 0 && g.hasSlot(r.Class) {
		g.running[r.Class]++
		g.mu.Unlock()
		return g.newPermit(r.Class), nil
	}
	w := &waiter{req: r, decided: make(chan struct{})}
	g.queues[r.Class].push(w)
	limit := min(g.limits.MaxQueueTime, r.Deadline.Sub(now)-g.minServiceTime(r.Class))
	g.mu.Unlock()
	return g.wait(ctx, w, limit)
}

func (g *Gate) newPermit(c Class) *Permit {
	return &Permit{gate: g, class: c, started: g.clock.Now()}
}

// wait returns when the gate has decided, the time is over or the caller has gone.
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
	decided := w.element == nil
	g.queues[w.req.Class].remove(w)
	g.mu.Unlock()
	if decided {
		err = w.err
	}
	if err != nil {
		return nil, err
	}
	return g.newPermit(w.req.Class), nil
}

// waitForRate waits for a token of the rate limit.
func (g *Gate) waitForRate(ctx context.Context, r Request) error {
	g.mu.Lock()
	limiter, longest := g.limiter, g.limits.MaxQueueTime
	g.mu.Unlock()
	if limiter == nil {
		return nil
	}
	now := g.clock.Now()
	token := limiter.ReserveN(now, 1)
	delay := token.DelayFrom(now)
	if delay > min(longest, r.Deadline.Sub(now)) {
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

// check refuses a request that must not or cannot be served.
func (g *Gate) check(now time.Time, r Request) *RejectionError {
	if pause := g.pausedUntil.Sub(now); pause > 0 {
		return &RejectionError{Reason: ReasonShedding, RetryAfter: pause}
	}
	left := r.Deadline.Sub(now)
	if left <= 0 {
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
	case wait+g.minServiceTime(r.Class) > left || wait > g.limits.MaxQueueTime:
		return &RejectionError{Reason: ReasonDeadline, RetryAfter: max(wait, minRetryAfter)}
	}
	return nil
}

// expectedWait estimates the time until a new request gets a slot.
func (g *Gate) expectedWait(r Request) time.Duration {
	slots := g.limits.Slots
	if r.Class == Bulk {
		slots = g.limits.bulkSlots()
	}
	ahead := g.queues[r.Class].countAhead(r.Key)
	return time.Duration(ahead) * g.serviceTime[r.Class] / time.Duration(slots)
}

func (g *Gate) minServiceTime(c Class) time.Duration {
	return time.Duration(float64(g.serviceTime[c]) * minServiceTimeFraction)
}

func (g *Gate) recordServiceTime(c Class, held time.Duration) {
	if g.serviceTime[c] == 0 {
		g.serviceTime[c] = held
		return
	}
	g.serviceTime[c] += time.Duration(serviceTimeWeight * float64(held-g.serviceTime[c]))
}

// hasSlot reports whether a request of the class could start now.
func (g *Gate) hasSlot(c Class) bool {
	if g.running[Interactive]+g.running[Bulk] >= g.limits.Slots {
		return false
	}
	return c == Interactive || g.running[Bulk] < g.limits.bulkSlots()
}

// nextClass returns the class that gets the next slot: bulk requests up to their
// share while they wait, otherwise interactive ones.
func (g *Gate) nextClass() (Class, bool) {
	bulk := g.queues[Bulk].len > 0 && g.hasSlot(Bulk)
	interactive := g.queues[Interactive].len > 0 && g.hasSlot(Interactive)
	bulkOwed := g.running[Interactive] >= g.limits.Slots-g.limits.bulkSlots()
	if g.limits.Slots == 1 {
		bulkOwed = g.lastClass == Interactive // the classes take turns
	}
	switch {
	case interactive && (!bulk || !bulkOwed):
		return Interactive, true
	case bulk:
		return Bulk, true
	}
	return 0, false
}

// grantSlots gives free slots to waiting requests. A request whose time has nearly
// run out is refused instead, so that no slot works for a caller that has given up.
func (g *Gate) grantSlots() {
	for {
		c, ok := g.nextClass()
		if !ok {
			return
		}
		w := g.queues[c].pop()
		if w.req.Deadline.Sub(g.clock.Now()) < g.minServiceTime(c) {
			w.err = &RejectionError{Reason: ReasonDeadline, RetryAfter: minRetryAfter}
		} else {
			g.running[c]++
			g.lastClass = c
		}
		close(w.decided)
	}
}
