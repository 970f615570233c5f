package dispatch

import (
	"slices"
	"time"
)

const (
	// quietPeriod is the time without a rejection after which callers that come are taken to
	// begin: those that were refused have come back or given up by then.
	quietPeriod = time.Second
	// maxTimeoutSamples is the number of times left that are kept of callers that begin, and
	// minTimeoutSamples the number from which they say something.
	maxTimeoutSamples = 256
	minTimeoutSamples = 16
	// trimmedFraction is the share of the samples that is left out at either end.
	trimmedFraction = 0.02
)

// timeoutEstimator learns with how much time callers begin, from those that come while
// nobody is refused. A caller with clearly less has lost time by earlier tries.
type timeoutEstimator struct {
	samples   []time.Duration
	nextIndex int // sample that is replaced next
	// shortest and middle are those of the samples, without the edges.
	shortest, median time.Duration
}

// observe takes the time left of a caller that begins.
func (b *timeoutEstimator) observe(left time.Duration) {
	if len(b.samples) < maxTimeoutSamples {
		b.samples = append(b.samples, left)
	} else {
		b.samples[b.nextIndex] = left
	}
	b.nextIndex = (b.nextIndex + 1) % maxTimeoutSamples
	if n := len(b.samples); n >= minTimeoutSamples && b.nextIndex%minTimeoutSamples == 0 {
		sorted := slices.Sorted(slices.Values(b.samples))
		b.shortest, b.median = sorted[int(trimmedFraction*float64(n))], sorted[n/2]
	}
}

// elapsedBefore estimates how much of its time a caller has lost before this request, 0 if it may
// have just begun.
func (b *timeoutEstimator) elapsedBefore(left time.Duration) time.Duration {
	if left >= b.shortest {
		return 0
	}
	return b.median - left
}

// RecordArrival notes a request with the time that its caller says is left; 0 if it does not
// say. It returns the time that the caller has lost by earlier tries, as far as known.
func (b *Balancer) RecordArrival(now time.Duration, r *Request) time.Duration {
	b.retryBudget(r.Service).RecordRequest(now)
	if r.Remaining <= 0 {
		return 0
	}
	of := trafficClass{r.Service, r.Kind}
	budgets := b.callerTimeouts[of]
	if budgets == nil {
		budgets = &timeoutEstimator{}
		b.callerTimeouts[of] = budgets
	}
	if at, rejected := b.lastRejection[r.Service]; !rejected || now-at >= quietPeriod {
		budgets.observe(r.Remaining)
	}
	return budgets.elapsedBefore(r.Remaining)
}
