package peer

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// budget limits the bytes of low-priority messages to all peers together. A
// frame may exceed the burst: it is sent when tokens are left and leaves a debt
// that later frames wait for.
type budget struct {
	mu      sync.Mutex
	limiter *rate.Limiter
}

func newBudget(bytesPerSecond float64, burst int) *budget {
	return &budget{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), burst)}
}

// take charges n bytes and returns 0, or returns the time until tokens are left.
func (b *budget) take(now time.Time, n int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if left := b.limiter.TokensAt(now); left < 1 {
		seconds := (1 - left) / float64(b.limiter.Limit())
		return time.Duration(seconds*float64(time.Second)) + time.Millisecond
	}
	for n > 0 {
		part := min(n, b.limiter.Burst())
		b.limiter.ReserveN(now, part)
		n -= part
	}
	return 0
}
