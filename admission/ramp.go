package admission

import "time"

const (
	// RampTime is the time in which a newly ready target comes to its full share.
	RampTime = 10 * time.Second
	// rampStart is the share at the start: enough to fill caches, not enough to queue.
	rampStart = 0.1
)

// Ramp returns the share of its weight that a target gets after it has been
// ready for a time.
func Ramp(ready time.Duration) float64 {
	share := float64(ready) / float64(RampTime)
	return min(1, max(rampStart, share))
}
