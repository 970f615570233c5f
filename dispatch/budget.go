package dispatch

import "time"

// windowBuckets is the number of parts of a budget's window.
const windowBuckets = 20

// usableFraction is the part of the allowance that is used. The rest is for what
// other instances count differently, such as calls that overlap a window's edge.
const usableFraction = 0.75

// RetryBudget bounds how often requests of one service are sent once more: in a
// sliding window, to Ratio times the requests for the service and a share of Slack.
type RetryBudget struct {
	Ratio      float64
	MinRetries float64
	Window     time.Duration

	requests, retries [windowBuckets]int
	newestBucket      int64 // number of the newest bucket since the start of time
}

// advance clears the buckets that have left the window.
func (b *RetryBudget) advance(now time.Duration) int {
	at := int64(now / (b.Window / windowBuckets))
	for b.newestBucket < at {
		b.newestBucket++
		if at-b.newestBucket >= windowBuckets {
			b.newestBucket = at - windowBuckets + 1
		}
		i := b.newestBucket % windowBuckets
		b.requests[i], b.retries[i] = 0, 0
	}
	return int(at % windowBuckets)
}

// RecordRequest counts a request for the service.
func (b *RetryBudget) RecordRequest(now time.Duration) { b.requests[b.advance(now)]++ }

// Allow reports whether a request may be sent once more, and counts it.
func (b *RetryBudget) Allow(now time.Duration) bool {
	i := b.advance(now)
	requests, repeats := 0, 0
	for j := range b.requests {
		requests += b.requests[j]
		repeats += b.retries[j]
	}
	if float64(repeats+1) > usableFraction*(b.Ratio*float64(requests)+b.MinRetries) {
		return false
	}
	b.retries[i]++
	return true
}
