package dispatch

import (
	"slices"
	"time"
)

const (
	// calmAfter is the time without a rejection after which arriving requests are taken as
	// first attempts: rejected callers have retried or given up by then.
	calmAfter = time.Second
	// budgetSamples is the number of samples kept of the time that callers allow for a first
	// attempt. Estimates start at leastSamples samples.
	budgetSamples = 256
	leastSamples  = 16
	// budgetEdge is the fraction of the samples that is discarded at the low end.
	budgetEdge = 0.02
)

// timeBudgets estimates the timeout that callers start with from requests that arrive
// while none are rejected. A caller with clearly less time remaining has spent time on
// earlier attempts.
type timeBudgets struct {
	samples []time.Duration
	next    int // index of the sample to replace next
	// shortest is the smallest sample after trimming, middle the median.
	shortest, middle time.Duration
}

// add records the remaining time of a first attempt.
func (b *timeBudgets) add(left time.Duration) {
	if len(b.samples) < budgetSamples {
		b.samples = append(b.samples, left)
	} else {
		b.samples[b.next] = left
	}
	b.next = (b.next + 1) % budgetSamples
	if n := len(b.samples); n >= leastSamples && b.next%leastSamples == 0 {
		sorted := slices.Sorted(slices.Values(b.samples))
		b.shortest, b.middle = sorted[int(budgetEdge*float64(n))], sorted[n/2]
	}
}

// lost estimates the time that a caller has spent before this request. It is 0 if this may
// be its first attempt.
func (b *timeBudgets) lost(left time.Duration) time.Duration {
	if left >= b.shortest {
		return 0
	}
	return b.middle - left
}

// Arrived records a request with the remaining time that its caller states, or 0 if the
// caller states none. It returns the estimated time that the caller has spent on earlier
// attempts, or 0 if there is no estimate.
func (b *Board) Arrived(now time.Duration, r *Request) time.Duration {
	b.budgetOf(r.Service).Request(now)
	if r.Left <= 0 {
		return 0
	}
	of := traffic{r.Service, r.Kind}
	budgets := b.callers[of]
	if budgets == nil {
		budgets = &timeBudgets{}
		b.callers[of] = budgets
	}
	if at, rejected := b.rejectedAt[r.Service]; !rejected || now-at >= calmAfter {
		budgets.add(r.Left)
	}
	return budgets.lost(r.Left)
}
