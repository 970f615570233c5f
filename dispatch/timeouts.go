package dispatch

import (
	"slices"
	"time"
)

const (
	// quietPeriod is the time without a rejection after which arriving requests are taken as
	// first attempts: rejected callers have retried or given up by then.
	quietPeriod = time.Second
	// maxTimeoutSamples is the number of samples kept of the time that callers allow for a first
	// attempt. Estimates start at minTimeoutSamples samples.
	maxTimeoutSamples = 256
	minTimeoutSamples = 16
	// trimmedFraction is the fraction of the samples that is discarded at the low end.
	trimmedFraction = 0.02
)

// timeoutEstimator estimates the timeout that callers start with from requests that arrive
// while none are rejected. A caller with clearly less time remaining has spent time on earlier
// attempts.
type timeoutEstimator struct {
	samples   []time.Duration
	nextIndex int // index of the sample to replace next
	// shortest is the smallest sample after trimming.
	shortest, median time.Duration
}

// observe records the remaining time of a first attempt.
func (b *timeoutEstimator) observe(remaining time.Duration) {
	if len(b.samples) < maxTimeoutSamples {
		b.samples = append(b.samples, remaining)
	} else {
		b.samples[b.nextIndex] = remaining
	}
	b.nextIndex = (b.nextIndex + 1) % maxTimeoutSamples
	if n := len(b.samples); n >= minTimeoutSamples && b.nextIndex%minTimeoutSamples == 0 {
		sorted := slices.Sorted(slices.Values(b.samples))
		b.shortest, b.median = sorted[int(trimmedFraction*float64(n))], sorted[n/2]
	}
}

// elapsedBefore estimates the time that a caller has spent before this request. It is 0 if
// this may be its first attempt.
func (b *timeoutEstimator) elapsedBefore(remaining time.Duration) time.Duration {
	if remaining >= b.shortest {
		return 0
	}
	return b.median - remaining
}

// RecordArrival records a request with the remaining time that its caller states, or 0 if the
// caller states none. It returns the estimated time that the caller has spent on earlier
// attempts, or 0 if there is no estimate.
func (b *Balancer) RecordArrival(now time.Duration, r *Request) time.Duration {
	b.retryBudget(r.Service).RecordRequest(now)
	if r.Remaining <= 0 {
		return 0
	}
	class := trafficClass{r.Service, r.Kind}
	estimator := b.callerTimeouts[class]
	if estimator == nil {
		estimator = &timeoutEstimator{}
		b.callerTimeouts[class] = estimator
	}
	if at, rejected := b.lastRejection[r.Service]; !rejected || now-at >= quietPeriod {
		estimator.observe(r.Remaining)
	}
	return estimator.elapsedBefore(r.Remaining)
}
