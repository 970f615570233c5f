// Package wait has the pause of loops that can be stopped.
package wait

import "time"

// For waits for the duration. It returns false if stop closes first.
func For(d time.Duration, stop <-chan struct{}) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-stop:
		return false
	}
}
