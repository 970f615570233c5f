package admission

import "time"

const (
	// SlowStartWindow is the time after which a newly ready target gets its full share of
	// requests.
	SlowStartWindow = 10 * time.Second
	// minSlowStartFraction is the fraction at the start. It lets the target fill its caches without
	// causing a queue.
	minSlowStartFraction = 0.1
)

// SlowStartFraction returns the fraction of its weight that a target gets when it has been
// ready for the given time. It is at least minSlowStartFraction and rises linearly to 1 at the
// end of SlowStartWindow.
func SlowStartFraction(readyFor time.Duration) float64 {
	fraction := float64(readyFor) / float64(SlowStartWindow)
	return min(1, max(minSlowStartFraction, fraction))
}
