package logging

import (
	"io"
	"sync"
	"sync/atomic"
)

// asyncBufferLines is the number of lines that wait to be written.
const asyncBufferLines = 512

// AsyncWriter is a writer that never waits for the one behind it: lines that do not
// fit its buffer are dropped and counted.
type AsyncWriter struct {
	lines   chan []byte
	done    chan struct{}
	closing sync.RWMutex
	closed  bool
	dropped atomic.Int64
	// OnDrop is called for each line that is dropped; it may be nil.
	OnDrop func()
}

// NewAsyncWriter returns a writer and starts its goroutine, which ends with Close.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, asyncBufferLines), done: make(chan struct{})}
	go func() {
		defer close(a.done)
		for line := range a.lines {
			if _, err := out.Write(line); err != nil {
				a.dropped.Add(1) // there is nowhere else to report it
			}
		}
	}()
	return a
}

// Write takes one line.
func (a *AsyncWriter) Write(p []byte) (int, error) {
	a.closing.RLock()
	defer a.closing.RUnlock()
	if a.closed {
		return len(p), nil
	}
	select {
	case a.lines <- append([]byte(nil), p...):
	default:
		a.dropped.Add(1)
		if a.OnDrop != nil {
			a.OnDrop()
		}
	}
	return len(p), nil
}

// Dropped is the number of lines that were dropped.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Close writes what waits and ends the goroutine.
func (a *AsyncWriter) Close() {
	a.closing.Lock()
	if !a.closed {
		a.closed = true
		close(a.lines)
	}
	a.closing.Unlock()
	<-a.done
}
