package dispatch

import (
	"slices"
	"time"
)

const (
	// calmAfter is the time without a rejection after which callers that come are taken to
	// begin: those that were refused have come back or given up by then.
	calmAfter = time.Second
	// budgetSamples is the number of times left that are kept of callers that begin, and
	// leastSamples the number from which they say something.
	budgetSamples = 256
	leastSamples  = 16
	// budgetEdge is the share of the samples that is left out at either end.
	budgetEdge = 0.02
)

// timeBudgets learns with how much time callers begin, from those that come while
// nobody is refused. A caller with clearly less has lost time by earlier tries.
type timeBudgets struct {
	samples []time.Duration
	next    int // sample that is replaced next
	// shortest and middle are those of the samples, without the edges.
	shortest, middle time.Duration
}

// add takes the time left of a caller that begins.
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

// lost estimates how much of its time a caller has lost before this request, 0 if it may
// have just begun.
func (b *timeBudgets) lost(left time.Duration) time.Duration {
	if left >= b.shortest {
		return 0
	}
	return b.middle - left
}

// Arrived notes a request with the time that its caller says is left; 0 if it does not
// say. It returns the time that the caller has lost by earlier tries, as far as known.
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
