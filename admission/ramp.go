package admission

import "time"

const (
	// SlowStartWindow is the time in which a newly ready target comes to its full share.
	SlowStartWindow = 10 * time.Second
	// minSlowStartFraction is the share at the start: enough to fill caches, not enough to queue.
	minSlowStartFraction = 0.1
)

// SlowStartFraction returns the share of its weight that a target gets after it has been
// ready for a time.
func SlowStartFraction(ready time.Duration) float64 {
	share := float64(ready) / float64(SlowStartWindow)
	return min(1, max(minSlowStartFraction, share))
}
