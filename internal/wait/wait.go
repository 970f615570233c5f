// Package wait provides an interruptible delay for background loops.
package wait

import "time"

// For waits for the duration and returns true. It returns false if stop is closed first.
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
