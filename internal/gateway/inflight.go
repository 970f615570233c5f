package gateway

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/boragegate/boragegate/idempotency"
)

// inflight counts the requests that may be running at a target, by partition, and
// rejects new requests for partitions that are being handed over.
type inflight struct {
	clock clockwork.Clock

	mu      sync.Mutex
	counts  map[int]int
	stopped map[int]*admissionStop
	waiters []*drainWaiter
}

// admissionStop records the newest tenure under which requests for a partition
// are no longer admitted.
type admissionStop struct {
	tenure idempotency.Tenure
	// drainedAt is the time at which nothing was in flight any more: that of the stop, or
	// that at which the last request ended after it; zero until then.
	drainedAt time.Time
}

// covers reports whether the tenure is the stopped one or an earlier one.
func (s *admissionStop) covers(t idempotency.Tenure) bool {
	return t.Term < s.tenure.Term || t.Term == s.tenure.Term && t.Epoch <= s.tenure.Epoch
}

// drainWaiter is a call of StopAdmission whose done callback has not been called
// yet.
type drainWaiter struct {
	partitions []int
	done       func()
}

func newInflight(clock clockwork.Clock) *inflight {
	return &inflight{clock: clock, counts: make(map[int]int), stopped: make(map[int]*admissionStop)}
}

// begin counts a request and returns true. It returns false if the partition no
// longer admits requests under the tenure.
func (i *inflight) begin(partition int, t idempotency.Tenure) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if last := i.stopped[partition]; last != nil {
		if last.covers(t) {
			return false
		}
		delete(i.stopped, partition) // the partition was assigned again under a newer tenure
	}
	i.counts[partition]++
	return true
}

// end removes a request that has ended from the count. linger is how long the server may still
// work on it; the request counts as in flight until then.
func (i *inflight) end(partition int, linger time.Duration) {
	if linger > 0 {
		i.clock.AfterFunc(linger, func() { i.end(partition, 0) })
		return
	}
	i.mu.Lock()
	if i.counts[partition]--; i.counts[partition] == 0 {
		delete(i.counts, partition)
		if last := i.stopped[partition]; last != nil && last.drainedAt.IsZero() {
			last.drainedAt = i.clock.Now()
		}
	}
	ready := i.popDrained()
	i.mu.Unlock()
	for _, f := range ready {
		f()
	}
}

// stop rejects further requests under the given tenures of the partitions, and
// calls done once no request is in flight for them, possibly before it returns.
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
	if last.drainedAt.IsZero() && i.counts[p] == 0 {
		last.drainedAt = i.clock.Now()
	}
	return last
}

// handOver ends the tenure of a partition. It reports whether the partition is
// drained under exactly this tenure, and for how long it has been.
func (i *inflight) handOver(p int, t idempotency.Tenure) (time.Duration, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	last := i.stopPartition(p, t)
	return i.clock.Since(last.drainedAt), !last.drainedAt.IsZero() && last.tenure == t
}

// popDrained removes the waits whose partitions have nothing in flight and
// returns their callbacks, to be called without the mutex.
func (i *inflight) popDrained() (done []func()) {
	remaining := i.waiters[:0]
	for _, w := range i.waiters {
		if i.idle(w.partitions) {
			done = append(done, w.done)
		} else {
			remaining = append(remaining, w)
		}
	}
	clear(i.waiters[len(remaining):])
	i.waiters = remaining
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
