package dispatch

import "time"

// windowBuckets is the number of buckets in the sliding window of a budget.
const windowBuckets = 20

// usedShare is the fraction of the allowance that an instance uses. The remainder allows
// for requests that other instances assign to a different window, such as calls that span
// the edge of one.
const usedShare = 0.75

// RepeatBudget limits the retries and hedged attempts of one service. Over a sliding
// window it allows Ratio times the number of requests plus Slack, reduced by a safety
// margin. It is not safe for concurrent use.
type RepeatBudget struct {
	Ratio  float64
	Slack  float64
	Window time.Duration

	requests, repeats [windowBuckets]int
	at                int64 // index of the newest bucket, counted from time 0
}

// advance clears the buckets that have left the window and returns the position of the
// bucket for now.
func (b *RepeatBudget) advance(now time.Duration) int {
	at := int64(now / (b.Window / windowBuckets))
	for b.at < at {
		b.at++
		if at-b.at >= windowBuckets {
			b.at = at - windowBuckets + 1
		}
		i := b.at % windowBuckets
		b.requests[i], b.repeats[i] = 0, 0
	}
	return int(at % windowBuckets)
}

// Request records a request for the service.
func (b *RepeatBudget) Request(now time.Duration) { b.requests[b.advance(now)]++ }

// Take reports whether another attempt is within the budget and, if so, counts it.
func (b *RepeatBudget) Take(now time.Duration) bool {
	i := b.advance(now)
	requests, repeats := 0, 0
	for j := range b.requests {
		requests += b.requests[j]
		repeats += b.repeats[j]
	}
	if float64(repeats+1) > usedShare*(b.Ratio*float64(requests)+b.Slack) {
		return false
	}
	b.repeats[i]++
	return true
}
