// Package retry limits retries: a budget limits them to a fraction of the traffic, and
// exponential backoff with jitter spreads them over time.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Defaults of a budget.
const (
	// DefaultRatio is the number of retries allowed per request.
	DefaultRatio = 0.1
	// DefaultBurst is the number of retries that can accumulate, so that a service with little
	// traffic can still retry.
	DefaultBurst = 10
)

// Budget is a token bucket that limits retries to a fraction of the requests. It is safe for
// concurrent use. Package gateway uses it; the edge instance uses dispatch.RetryBudget, which
// counts over a sliding window.
type Budget struct {
	mu     sync.Mutex
	ratio  float64
	burst  float64
	tokens float64
}

// NewBudget returns a full budget of burst tokens. Each request adds ratio tokens, up to burst;
// each retry takes one.
func NewBudget(ratio float64, burst int) *Budget {
	return &Budget{ratio: ratio, burst: float64(burst), tokens: float64(burst)}
}

// RecordRequest records a first attempt.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	b.tokens = min(b.burst, b.tokens+b.ratio)
	b.mu.Unlock()
}

// Allow reports whether a retry is allowed and, if so, counts it.
func (b *Budget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff is an exponential backoff with jitter.
type Backoff struct {
	// Base is the longest delay of attempt 0, Max the longest of any attempt.
	Base, Max time.Duration
}

// Delay returns a random delay between half and the whole of min(Max, Base·2^attempt); attempt
// starts at 0. The lower bound prevents immediate retries, and the jitter prevents requests
// that failed together from being retried together.
func (b Backoff) Delay(attempt int) time.Duration {
	maxDelay := b.Max
	if attempt < 20 { // a larger shift could overflow
		maxDelay = min(b.Max, b.Base<<attempt)
	}
	return maxDelay/2 + rand.N(maxDelay/2+1) //nolint:gosec // not a secret
}
