package gateway

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// inflight counts the requests of a target that may be running, by partition,
// and holds back partitions that are being handed over.
type inflight struct {
	clock clockwork.Clock

	mu      sync.Mutex
	counts  map[int]int
	stopped map[int]uint64 // epoch up to which a partition admits nothing
	waits   []*drainWait
}

// drainWait is a StopAdmission that has not been reported as done.
type drainWait struct {
	partitions []int
	done       func()
}

func newInflight(clock clockwork.Clock) *inflight {
	return &inflight{clock: clock, counts: make(map[int]int), stopped: make(map[int]uint64)}
}

// begin counts a request, unless its partition is being handed over.
func (i *inflight) begin(partition int, epoch uint64) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if last, ok := i.stopped[partition]; ok {
		if epoch <= last {
			return false
		}
		delete(i.stopped, partition) // owned anew since
	}
	i.counts[partition]++
	return true
}

// end counts a request that has ended; linger is the time for which its server
// may still work on it.
func (i *inflight) end(partition int, linger time.Duration) {
	if linger > 0 {
		i.clock.AfterFunc(linger, func() { i.end(partition, 0) })
		return
	}
	i.mu.Lock()
	if i.counts[partition]--; i.counts[partition] == 0 {
		delete(i.counts, partition)
	}
	done := i.drained()
	i.mu.Unlock()
	for _, f := range done {
		f()
	}
}

// stop admits nothing more at the given epochs, and calls done when no request
// is in flight for the partitions, possibly before it returns.
func (i *inflight) stop(partitions []int, epochOf func(int) uint64, done func()) {
	i.mu.Lock()
	for _, p := range partitions {
		i.stopped[p] = max(i.stopped[p], epochOf(p))
	}
	i.waits = append(i.waits, &drainWait{partitions, done})
	ready := i.drained()
	i.mu.Unlock()
	for _, f := range ready {
		f()
	}
}

// drained takes out the waits whose partitions have nothing in flight.
func (i *inflight) drained() (done []func()) {
	kept := i.waits[:0]
	for _, w := range i.waits {
		if i.idle(w.partitions) {
			done = append(done, w.done)
		} else {
			kept = append(kept, w)
		}
	}
	clear(i.waits[len(kept):])
	i.waits = kept
	return done
}

func (i *inflight) idle(partitions []int) bool {
	for _, p := range partitions {
		if i.counts[p] > 0 {
			return false
		}
	}
	return true
}
