package logging

import (
	"io"
	"sync"
	"sync/atomic"
)

// asyncBufferLines is the capacity, in lines, of the buffer of an AsyncWriter.
const asyncBufferLines = 512

// AsyncWriter buffers lines and writes them to another writer in the background.
// Write never blocks on that writer: lines that do not fit into the buffer are
// dropped and counted. It is safe for concurrent use.
type AsyncWriter struct {
	lines   chan []byte
	done    chan struct{}
	closing sync.RWMutex
	closed  bool
	dropped atomic.Int64
	// OnDrop is called for each line that is dropped because the buffer is full. It
	// may be nil, and must not be changed while Write is called concurrently.
	OnDrop func()
}

// NewAsyncWriter returns an AsyncWriter that writes to out. It starts a goroutine, which
// ends when Close is called.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, asyncBufferLines), done: make(chan struct{})}
	go func() {
		defer close(a.done)
		for line := range a.lines {
			if _, err := out.Write(line); err != nil {
				a.dropped.Add(1) // the log itself cannot report the error
			}
		}
	}()
	return a
}

// Write buffers one line. It never returns an error; after Close it discards the line.
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

// Dropped returns the number of lines that were lost, because the buffer was full or
// the writer behind it returned an error.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Close writes the buffered lines and waits for the goroutine to end. It may be
// called more than once.
func (a *AsyncWriter) Close() {
	a.closing.Lock()
	if !a.closed {
		a.closed = true
		close(a.lines)
	}
	a.closing.Unlock()
	<-a.done
}
