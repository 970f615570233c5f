package placement

import "time"

// moveBudget is a token bucket of planned moves. Tokens may go below zero when a
// more urgent kind of move is charged to it.
type moveBudget struct {
	tokens      float64
	refilledAt  time.Duration
	initialised bool
}

// refill adds the tokens of the time since the last call: size per interval, at most size.
func (b *moveBudget) refill(now time.Duration, size float64, interval time.Duration) {
	if !b.initialised {
		b.tokens, b.refilledAt, b.initialised = size, now, true
		return
	}
	b.tokens = min(size, b.tokens+size*float64(now-b.refilledAt)/float64(interval))
	b.refilledAt = now
}

// available is the number of whole tokens.
func (b *moveBudget) available() int { return max(0, int(b.tokens)) }

// charge charges n moves.
func (b *moveBudget) charge(n int) { b.tokens -= float64(n) }
