package placement

import "time"

// moveBudget is a token bucket that limits planned moves. Its balance becomes negative when
// moves of a more urgent kind are charged to it.
type budget struct {
	tokens float64
	at     time.Duration
	filled bool
}

// refill adds the tokens for the time since the last call, at a rate of size per interval
// and up to size. The first call fills the bucket.
func (b *budget) refill(now time.Duration, size float64, interval time.Duration) {
	if !b.filled {
		b.tokens, b.at, b.filled = size, now, true
		return
	}
	b.tokens = min(size, b.tokens+size*float64(now-b.at)/float64(interval))
	b.at = now
}

// available returns the number of whole tokens.
func (b *budget) available() int { return max(0, int(b.tokens)) }

// charge removes n tokens, also if fewer are available.
func (b *budget) take(n int) { b.tokens -= float64(n) }
