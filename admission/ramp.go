package admission

import "time"

const (
	// RampTime is the time after which a newly ready target gets its full share of requests.
	RampTime = 10 * time.Second
	// rampStart is the initial fraction: enough to fill caches without causing a queue.
	rampStart = 0.1
)

// Ramp returns the fraction of its weight that a target gets when it has been ready for
// the given time. It rises linearly to 1.
func Ramp(ready time.Duration) float64 {
	share := float64(ready) / float64(RampTime)
	return min(1, max(rampStart, share))
}
