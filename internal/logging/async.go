package logging

import (
	"io"
	"sync"
	"sync/atomic"
)

// asyncLines is the number of lines that wait to be written.
const asyncLines = 512

// Async is a writer that never waits for the one behind it: lines that do not
// fit its buffer are dropped and counted.
type Async struct {
	lines   chan []byte
	done    chan struct{}
	closing sync.RWMutex
	closed  bool
	lost    atomic.Int64
	// OnLost is called for each line that is dropped; it may be nil.
	OnLost func()
}

// NewAsync returns a writer and starts its goroutine, which ends with Close.
func NewAsync(out io.Writer) *Async {
	a := &Async{lines: make(chan []byte, asyncLines), done: make(chan struct{})}
	go func() {
		defer close(a.done)
		for line := range a.lines {
			if _, err := out.Write(line); err != nil {
				a.lost.Add(1) // there is nowhere else to report it
			}
		}
	}()
	return a
}

// Write takes one line.
func (a *Async) Write(p []byte) (int, error) {
	a.closing.RLock()
	defer a.closing.RUnlock()
	if a.closed {
		return len(p), nil
	}
	select {
	case a.lines <- append([]byte(nil), p...):
	default:
		a.lost.Add(1)
		if a.OnLost != nil {
			a.OnLost()
		}
	}
	return len(p), nil
}

// Lost is the number of lines that were dropped.
func (a *Async) Lost() int64 { return a.lost.Load() }

// Close writes what waits and ends the goroutine.
func (a *Async) Close() {
	a.closing.Lock()
	if !a.closed {
		a.closed = true
		close(a.lines)
	}
	a.closing.Unlock()
	<-a.done
}
