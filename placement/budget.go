package placement

import "time"

// moveBudget is a token bucket that limits planned moves.
type moveBudget struct {
	tokens      float64
	refilledAt  time.Duration
	initialised bool
}

// refill adds the tokens for the time since the last call, at a rate of size per interval
// and up to size. The first call fills the bucket.
func (b *moveBudget) refill(now time.Duration, size float64, interval time.Duration) {
	if !b.initialised {
		b.tokens, b.refilledAt, b.initialised = size, now, true
		return
	}
	b.tokens = min(size, b.tokens+size*float64(now-b.refilledAt)/float64(interval))
	b.refilledAt = now
}

// available returns the number of whole tokens, or 0 if the balance is negative.
func (b *moveBudget) available() int { return max(0, int(b.tokens)) }

// charge removes n tokens. It does not check whether they are available.
func (b *moveBudget) charge(n int) { b.tokens -= float64(n) }
