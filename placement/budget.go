package placement

import "time"

// budget is a token bucket of planned moves. Tokens may go below zero when a
// more urgent kind of move is charged to it.
type budget struct {
	tokens float64
	at     time.Duration
	filled bool
}

// refill adds the tokens of the time since the last call: size per interval, at most size.
func (b *budget) refill(now time.Duration, size float64, interval time.Duration) {
	if !b.filled {
		b.tokens, b.at, b.filled = size, now, true
		return
	}
	b.tokens = min(size, b.tokens+size*float64(now-b.at)/float64(interval))
	b.at = now
}

// available is the number of whole tokens.
func (b *budget) available() int { return max(0, int(b.tokens)) }

// take charges n moves.
func (b *budget) take(n int) { b.tokens -= float64(n) }
