package dispatch

import (
	"slices"
	"time"
)

const (
	// quietPeriod is the time without a rejection after which arriving requests are taken as
	// first attempts: most rejected callers have retried or given up by then.
	quietPeriod = time.Second
	// maxTimeoutSamples is the number of samples of the initial timeout of callers that are kept.
	// The estimate is computed anew after every minTimeoutSamples samples.
	maxTimeoutSamples = 256
	minTimeoutSamples = 16
	// trimmedFraction is the fraction of the samples that is discarded at the low end.
	trimmedFraction = 0.02
)

// timeoutEstimator estimates the initial timeout of callers. Its samples are requests that
// arrive while none are rejected. A caller with clearly less time remaining has spent time on
// earlier attempts.
type timeoutEstimator struct {
	samples   []time.Duration
	nextIndex int // index of the sample to replace next
	// shortest is the smallest sample after trimming.
	shortest, median time.Duration
	heldUntil        time.Duration // until then no samples are taken, see profileHold
}

// observe records the remaining time of a first attempt as a sample.
func (e *timeoutEstimator) observe(remaining time.Duration) {
	if len(e.samples) < maxTimeoutSamples {
		e.samples = append(e.samples, remaining)
	} else {
		e.samples[e.nextIndex] = remaining
	}
	e.nextIndex = (e.nextIndex + 1) % maxTimeoutSamples
	if n := len(e.samples); n >= minTimeoutSamples && e.nextIndex%minTimeoutSamples == 0 {
		sorted := slices.Sorted(slices.Values(e.samples))
		e.shortest, e.median = sorted[int(trimmedFraction*float64(n))], sorted[n/2]
	}
}

// elapsedBefore estimates the time that a caller with the remaining time has spent before this
// request. It returns 0 if this may be the caller's first attempt.
func (e *timeoutEstimator) elapsedBefore(remaining time.Duration) time.Duration {
	if remaining >= e.shortest {
		return 0
	}
	return e.median - remaining
}

// RecordArrival records the arrival of a request for the retry budget of its service and for the
// estimate of caller timeouts. The request's Remaining must be the time that the caller states,
// or 0 if it states none. RecordArrival returns the estimated time that the caller has spent on
// earlier attempts, or 0 if there is no estimate.
func (b *Balancer) RecordArrival(now time.Duration, r *Request) time.Duration {
	b.retryBudget(r.Service).RecordRequest(now)
	b.recordPriority(now, r)
	if r.Remaining <= 0 {
		return 0
	}
	class := trafficClass{r.Service, r.Kind}
	estimator := b.callerTimeouts[class]
	if estimator == nil {
		estimator = &timeoutEstimator{}
		b.callerTimeouts[class] = estimator
	}
	if at, rejected := b.lastRejection[r.Service]; now >= estimator.heldUntil && (!rejected || now-at >= quietPeriod) {
		estimator.observe(r.Remaining)
	}
	return estimator.elapsedBefore(r.Remaining)
}
