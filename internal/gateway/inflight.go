package gateway

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/boragegate/boragegate/idempotency"
)

// inflight counts the requests of a target that may be running, by partition,
// and holds back partitions that are being handed over.
type inflight struct {
	clock clockwork.Clock

	mu      sync.Mutex
	counts  map[int]int
	stopped map[int]*admissionStop
	waiters []*drainWaiter
}

// admissionStop is the last tenure under which a partition admits nothing any more.
type admissionStop struct {
	tenure idempotency.Tenure
	// drained is the time at which nothing was in flight; zero before that.
	drained time.Time
}

// covers reports whether the tenure does not come after the stop.
func (s *admissionStop) covers(t idempotency.Tenure) bool {
	return t.Term < s.tenure.Term || t.Term == s.tenure.Term && t.Epoch <= s.tenure.Epoch
}

// drainWaiter is a StopAdmission that has not been reported as done.
type drainWaiter struct {
	partitions []int
	done       func()
}

func newInflight(clock clockwork.Clock) *inflight {
	return &inflight{clock: clock, counts: make(map[int]int), stopped: make(map[int]*admissionStop)}
}

// begin counts a request, unless its partition is being handed over.
func (i *inflight) begin(partition int, t idempotency.Tenure) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if last := i.stopped[partition]; last != nil {
		if last.covers(t) {
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
		if last := i.stopped[partition]; last != nil && last.drained.IsZero() {
			last.drained = i.clock.Now()
		}
	}
	done := i.popDrained()
	i.mu.Unlock()
	for _, f := range done {
		f()
	}
}

// stop admits nothing more under the tenures, and calls done when no request is
// in flight for the partitions, possibly before it returns.
func (i *inflight) stop(partitions []int, tenureOf func(int) idempotency.Tenure, done func()) {
	i.mu.Lock()
	for _, p := range partitions {
		i.stopPartition(p, tenureOf(p))
	}
	i.waiters = append(i.waiters, &drainWaiter{partitions, done})
	ready := i.popDrained()
	i.mu.Unlock()
	for _, f := range ready {
		f()
	}
}

func (i *inflight) stopPartition(p int, t idempotency.Tenure) *admissionStop {
	last := i.stopped[p]
	if last == nil || !last.covers(t) {
		last = &admissionStop{tenure: t}
		i.stopped[p] = last
	}
	if last.drained.IsZero() && i.counts[p] == 0 {
		last.drained = i.clock.Now()
	}
	return last
}

// handOver ends the tenure of a partition. It reports whether nothing is in
// flight for it, and how long that has been so.
func (i *inflight) handOver(p int, t idempotency.Tenure) (time.Duration, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	last := i.stopPartition(p, t)
	return i.clock.Since(last.drained), !last.drained.IsZero() && last.tenure == t
}

// popDrained takes out the waits whose partitions have nothing in flight.
func (i *inflight) popDrained() (done []func()) {
	kept := i.waiters[:0]
	for _, w := range i.waiters {
		if i.idle(w.partitions) {
			done = append(done, w.done)
		} else {
			kept = append(kept, w)
		}
	}
	clear(i.waiters[len(kept):])
	i.waiters = kept
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
