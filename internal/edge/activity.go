package edge

import (
	"math"
	"runtime/metrics"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// schedulerLatencies is the Go runtime's histogram of the time that goroutines wait for a
// processor.
const schedulerLatencies = "/sched/latencies:seconds"

// loopActivity is what the control loop did since its last tick. All of it is confined to the
// control loop's goroutine, except for openLeaseRequests.
type loopActivity struct {
	events int
	// longest is the longest time that one event or the last tick took.
	longest time.Duration
	// initialStates is the number of encodings of the initial state for new followers, and
	// initialStateTime the time that they took.
	initialStates    int
	initialStateTime time.Duration
	// openLeaseRequests is the number of lease requests that are being sent or wait for their
	// response.
	openLeaseRequests atomic.Int64
	// runWaits has the scheduler's latencies when they were last read.
	runWaits []uint64
}

// reset begins the time until the next tick.
func (a *loopActivity) reset() {
	a.events, a.longest, a.initialStates, a.initialStateTime = 0, 0, 0, 0
}

// addTo adds the activity to a log line.
func (a *loopActivity) addTo(event *zerolog.Event) *zerolog.Event {
	return event.Int("events", a.events).Dur("longest_ms", a.longest).Int("initial_states", a.initialStates).
		Dur("initial_states_ms", a.initialStateTime).Int64("lease_requests", a.openLeaseRequests.Load()).
		Dur("run_wait_ms", a.longestRunWait())
}

// longestRunWait returns about the longest time for which a goroutine of this process has
// waited for a processor since the last call.
func (a *loopActivity) longestRunWait() time.Duration {
	sample := []metrics.Sample{{Name: schedulerLatencies}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0 // not provided by this version of Go
	}
	h := sample[0].Value.Float64Histogram()
	longest := 0.0
	for i, n := range h.Counts {
		if (len(a.runWaits) != len(h.Counts) || n > a.runWaits[i]) && n > 0 && !math.IsInf(h.Buckets[i], 0) {
			longest = h.Buckets[i]
		}
	}
	a.runWaits = append(a.runWaits[:0], h.Counts...)
	return time.Duration(longest * float64(time.Second))
}
