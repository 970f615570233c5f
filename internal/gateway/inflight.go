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
	// drainedAt is the time at which the last request in flight ended, or the time of
	// the stop if none was in flight. It is zero while requests are in flight.
	drainedAt time.Time
}

// covers reports whether the tenure is the stopped one or an earlier one.
func (s *admissionStop) covers(t idempotency.Tenure) bool {
	return t.Term < s.tenure.Term || t.Term == s.tenure.Term && t.Epoch <= s.tenure.Epoch
}

// drainWaiter is a call of stop whose done callback has not been called yet.
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
	if stop := i.stopped[partition]; stop != nil {
		if stop.covers(t) {
			return false
		}
		delete(i.stopped, partition) // the partition was assigned again under a newer tenure
	}
	i.counts[partition]++
	return true
}

// end stops counting a request that has ended. linger is how long the server may
// still work on the request, which counts as in flight until then.
func (i *inflight) end(partition int, linger time.Duration) {
	if linger > 0 {
		i.clock.AfterFunc(linger, func() { i.end(partition, 0) })
		return
	}
	i.mu.Lock()
	if i.counts[partition]--; i.counts[partition] == 0 {
		delete(i.counts, partition)
		if stop := i.stopped[partition]; stop != nil && stop.drainedAt.IsZero() {
			stop.drainedAt = i.clock.Now()
		}
	}
	callbacks := i.popDrained()
	i.mu.Unlock()
	for _, f := range callbacks {
		f()
	}
}

// stop rejects further requests for the partitions under the given tenures or
// earlier ones. It calls done once no request is in flight for the partitions,
// possibly before it returns.
func (i *inflight) stop(partitions []int, tenureOf func(int) idempotency.Tenure, done func()) {
	i.mu.Lock()
	for _, p := range partitions {
		i.stopPartition(p, tenureOf(p))
	}
	i.waiters = append(i.waiters, &drainWaiter{partitions, done})
	callbacks := i.popDrained()
	i.mu.Unlock()
	for _, f := range callbacks {
		f()
	}
}

// stopPartition returns the stop of a partition that covers the tenure, and creates
// it if there is none.
func (i *inflight) stopPartition(p int, t idempotency.Tenure) *admissionStop {
	stop := i.stopped[p]
	if stop == nil || !stop.covers(t) {
		stop = &admissionStop{tenure: t}
		i.stopped[p] = stop
	}
	if stop.drainedAt.IsZero() && i.counts[p] == 0 {
		stop.drainedAt = i.clock.Now()
	}
	return stop
}

// handOver ends the tenure of a partition. The second result reports whether the
// partition is drained under exactly this tenure; only then is the first one valid,
// the time since the partition was drained.
func (i *inflight) handOver(p int, t idempotency.Tenure) (time.Duration, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	stop := i.stopPartition(p, t)
	return i.clock.Since(stop.drainedAt), !stop.drainedAt.IsZero() && stop.tenure == t
}

// popDrained removes the waiters whose partitions have nothing in flight and
// returns their callbacks. The mutex must be held during popDrained and released
// before the callbacks are called.
func (i *inflight) popDrained() (done []func()) {
	remaining := i.waiters[:0]
	for _, w := range i.waiters {
		if i.isIdle(w.partitions) {
			done = append(done, w.done)
		} else {
			remaining = append(remaining, w)
		}
	}
	clear(i.waiters[len(remaining):])
	i.waiters = remaining
	return done
}

func (i *inflight) isIdle(partitions []int) bool {
	for _, p := range partitions {
		if i.counts[p] > 0 {
			return false
		}
	}
	return true
}
