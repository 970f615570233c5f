package dispatch

import "time"

// windowBuckets is the number of parts of a budget's window.
const windowBuckets = 20

// usedShare is the part of the allowance that is used. The rest is for what
// other instances count differently, such as calls that overlap a window's edge.
const usedShare = 0.75

// RepeatBudget bounds how often requests of one service are sent once more: in a
// sliding window, to Ratio times the requests for the service and a share of Slack.
type RepeatBudget struct {
	Ratio  float64
	Slack  float64
	Window time.Duration

	requests, repeats [windowBuckets]int
	at                int64 // number of the newest bucket since the start of time
}

// advance clears the buckets that have left the window.
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

// Request counts a request for the service.
func (b *RepeatBudget) Request(now time.Duration) { b.requests[b.advance(now)]++ }

// Take reports whether a request may be sent once more, and counts it.
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
