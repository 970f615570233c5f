package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

const (
	// limitTakesEffect is the time from the first response with a rate limit until the limit binds the instances.
	limitTakesEffect = 3 * time.Second
	// limitWindow is the length of any span for which the bound on the requests at a limited target holds.
	limitWindow = 4 * time.Second
	// minLimitDuration and maxLimitDuration bound how long a target names its limit, minLimit and maxLimit the limit in
	// requests per second.
	minLimitDuration = limitTakesEffect + limitWindow
	maxLimitDuration = 2 * minLimitDuration
	minLimit         = 2.0
	maxLimit         = 20.0
	// maxLimitGap is the longest time between two limits.
	maxLimitGap = 4 * time.Second
	// excusedBefore is the time before a span within which a fault of an instance excuses what is sent in the span.
	excusedBefore = time.Second
)

// rateLimit is a limit that a target names, with the requests that it receives meanwhile.
type rateLimit struct {
	perSecond float64
	namedAt   time.Time

	mu       sync.Mutex
	arrivals []time.Time
}

func (l *rateLimit) header() string { return strconv.FormatFloat(l.perSecond, 'f', 1, 64) }

func (l *rateLimit) recordArrival() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, time.Now())
}

// limitRates makes targets name rate limits until the context is cancelled. It draws them from random numbers of its own, so
// that a seed gives the same other faults with and without rate limits.
func (r *run) limitRates(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.options.Seed, 1<<32)) //nolint:gosec // not a secret
	duration := func(from, to time.Duration) time.Duration { return from + time.Duration(random.Int64N(int64(to-from))) }
	pause := func(d time.Duration) bool {
		select {
		case <-time.After(d):
			return true
		case <-ctx.Done():
			return false
		}
	}
	for pause(duration(0, maxLimitGap)) {
		t := r.system.targets[random.IntN(len(r.system.targets))]
		limit := &rateLimit{perSecond: minLimit + random.Float64()*(maxLimit-minLimit), namedAt: time.Now()}
		d := duration(minLimitDuration, maxLimitDuration)
		r.logf("target at %s limits its rate to %s/s for %s", t.proxy.address(), limit.header(), d.Round(time.Millisecond))
		t.limit.Store(limit)
		finished := pause(d)
		t.limit.Store(nil)
		r.checkRateLimit(t, limit, time.Now())
		r.mu.Lock()
		r.report.Faults["target limits its rate"]++
		r.mu.Unlock()
		if !finished {
			return
		}
	}
}

// checkRateLimit reports a span before the end of the limit in which the target received more than one and a half times
// its limit and five requests. Spans in or shortly before which an instance had a fault are excused.
func (r *run) checkRateLimit(t *target, l *rateLimit, end time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	allowed := int(1.5*l.perSecond*limitWindow.Seconds() + 5)
	for first, from := range l.arrivals {
		to := from.Add(limitWindow)
		if from.Before(l.namedAt.Add(limitTakesEffect)) || to.After(end) || r.hadInstanceFault(from.Add(-excusedBefore), to) {
			continue
		}
		n := 0
		for _, at := range l.arrivals[first:] {
			if at.Before(to) {
				n++
			}
		}
		r.mu.Lock()
		r.report.LimitSpans++
		r.mu.Unlock()
		if n > allowed {
			r.reportViolation("rate limit", fmt.Sprintf("target at %s received %d requests in %s from %.3f s, allowed with %s/s are %d",
				t.proxy.address(), n, limitWindow, from.Sub(r.startedAt).Seconds(), l.header(), allowed))
			return
		}
	}
}

// instanceFault is a span in which an instance was killed, stopped or paused. The end is zero while it lasts.
type instanceFault struct{ from, to time.Time }

// recordInstanceFault records that an instance has a fault while f runs.
func (r *run) recordInstanceFault(f func()) {
	fault := &instanceFault{from: time.Now()}
	r.mu.Lock()
	r.instanceFaults = append(r.instanceFaults, fault)
	r.mu.Unlock()
	f()
	r.mu.Lock()
	fault.to = time.Now()
	r.mu.Unlock()
}

// hadInstanceFault reports whether such a fault was active between two times.
func (r *run) hadInstanceFault(from, to time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.instanceFaults {
		if f.from.Before(to) && (f.to.IsZero() || f.to.After(from)) {
			return true
		}
	}
	return false
}
