package peer

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// budget limits the rate in bytes of the low-priority messages to all peers
// together, as a token bucket with one token per byte. A frame may be larger than
// the burst: it is sent as soon as a token is available and drives the bucket
// negative, so that later frames wait until the deficit is refilled.
type budget struct {
	mu      sync.Mutex
	limiter *rate.Limiter
}

func newBudget(bytesPerSecond float64, burstBytes int) *budget {
	return &budget{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), burstBytes)}
}

// take charges n bytes and returns 0 if a token is available. Otherwise it charges
// nothing and returns the time until one is.
func (b *budget) take(now time.Time, n int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if tokens := b.limiter.TokensAt(now); tokens < 1 {
		seconds := (1 - tokens) / float64(b.limiter.Limit())
		return time.Duration(seconds*float64(time.Second)) + time.Millisecond
	}
	for n > 0 {
		chunk := min(n, b.limiter.Burst())
		b.limiter.ReserveN(now, chunk)
		n -= chunk
	}
	return 0
}
