// Package retry bounds repeated attempts: a budget limits retries to a share of
// the traffic, and a jittered backoff spreads them.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Defaults of a budget.
const (
	// DefaultRatio is the share of requests that may be repeated.
	DefaultRatio = 0.1
	// DefaultBurst is the number of retries that can be saved up, so that a
	// service with little traffic can still retry.
	DefaultBurst = 10
)

// Budget limits retries to a share of the requests. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	ratio  float64
	burst  float64
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(share float64, burst int) *Budget {
	return &Budget{ratio: share, burst: float64(burst), tokens: float64(burst)}
}

// RecordRequest counts a first attempt.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	b.tokens = min(b.burst, b.tokens+b.ratio)
	b.mu.Unlock()
}

// Allow reports whether a retry is allowed, and counts it.
func (b *Budget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff computes waits between attempts.
type Backoff struct {
	// Base is the longest wait before the first retry, Max before any retry.
	Base, Max time.Duration
}

// Delay returns a random time between half and all of min(Max, Base·2^attempt).
// The lower bound keeps a retry from following at once, the random part keeps
// requests that failed together from coming back together.
func (b Backoff) Delay(attempt int) time.Duration {
	longest := b.Max
	if attempt < 20 {
		longest = min(b.Max, b.Base<<attempt)
	}
	return longest/2 + rand.N(longest/2+1) //nolint:gosec // not a secret
}
