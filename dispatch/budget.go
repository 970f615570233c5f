package dispatch

import "time"

// windowBuckets is the number of buckets in the sliding window of a budget.
const windowBuckets = 20

// usableFraction is the fraction of the allowed retries that an instance makes. The remainder is
// a margin for requests that other instances count in a different window, for example because
// they are in progress at the boundary between two windows.
const usableFraction = 0.75

// RetryBudget limits the retries and hedged attempts of one service. Over a sliding window it
// allows Ratio times the number of requests plus MinRetries, reduced by a safety margin. It is
// not safe for concurrent use. A Balancer, which package edge uses, has one for each service.
// Package gateway uses retry.Budget, a token bucket without a window.
type RetryBudget struct {
	Ratio      float64
	MinRetries float64
	Window     time.Duration

	requests, retries [windowBuckets]int
	newestBucket      int64 // index of the newest bucket, counted from time 0
}

// advance clears the buckets that have left the window and returns the position of the bucket
// for now.
func (b *RetryBudget) advance(now time.Duration) int {
	bucket := int64(now / (b.Window / windowBuckets))
	for b.newestBucket < bucket {
		b.newestBucket++
		if bucket-b.newestBucket >= windowBuckets {
			b.newestBucket = bucket - windowBuckets + 1
		}
		i := b.newestBucket % windowBuckets
		b.requests[i], b.retries[i] = 0, 0
	}
	return int(bucket % windowBuckets)
}

// RecordRequest records a request for the service.
func (b *RetryBudget) RecordRequest(now time.Duration) { b.requests[b.advance(now)]++ }

// Allow reports whether another attempt is within the budget and, if so, counts it.
func (b *RetryBudget) Allow(now time.Duration) bool {
	i := b.advance(now)
	requests, retries := 0, 0
	for j := range b.requests {
		requests += b.requests[j]
		retries += b.retries[j]
	}
	if float64(retries+1) > usableFraction*(b.Ratio*float64(requests)+b.MinRetries) {
		return false
	}
	b.retries[i]++
	return true
}
