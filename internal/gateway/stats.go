package gateway

import (
	"fmt"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/boragegate/boragegate/admission"
)

// Parameters of the measurements that target selection uses.
const (
	// loadReportTTL is the maximum age of a reported load (docs/design.md, section 9).
	loadReportTTL = 3 * time.Second
	// latencyEWMAWeight is the weight of the newest latency in the exponentially
	// weighted moving average.
	latencyEWMAWeight = 0.2
	// latencyHalfLife is the time in which a measured latency decays halfway to
	// the initial latency, so that a slow target is tried again.
	latencyHalfLife = 5 * time.Second
	// initialLatency is the latency that is assumed before the first measurement.
	initialLatency = 5 * time.Millisecond
)

// targetStats holds this instance's measurements of a target and the load that the
// target's controller has reported. It is kept across snapshots.
type targetStats struct {
	outstanding atomic.Int64 // requests from this instance that any target can serve

	mu                  sync.Mutex
	latency             time.Duration // moving average, until the end of the response body
	measuredAt          time.Time
	reportedOutstanding int // requests running and queued, from all instances
	reportedAt          time.Time
	pausedUntil         time.Time
	queueFull           [2]queueFullState // by admission class
}

// recordLatency adds a latency to the moving average.
func (s *targetStats) recordLatency(now time.Time, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.measuredAt.IsZero() {
		s.latency = d
	} else {
		s.latency += time.Duration(latencyEWMAWeight * float64(d-s.latency))
	}
	s.measuredAt = now
}

// recordLoad records the number of outstanding requests that the controller
// reported.
func (s *targetStats) recordLoad(now time.Time, outstanding int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportedOutstanding, s.reportedAt = outstanding, now
}

// pause makes target selection avoid the target until the given time.
func (s *targetStats) pause(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}

// estimate returns the number of outstanding requests at the target, its latency,
// and whether it is paused. This instance's own count takes precedence: a
// report can only add to it, and no more than the target has slots, so that a
// false report neither attracts nor repels all requests.
func (s *targetStats) estimate(now time.Time, slots int) (outstanding float64, latency time.Duration, paused bool) {
	local := float64(s.outstanding.Load())
	s.mu.Lock()
	defer s.mu.Unlock()
	outstanding = local
	if now.Sub(s.reportedAt) < loadReportTTL {
		others := max(0, float64(s.reportedOutstanding)-local)
		outstanding += min(others, float64(slots))
	}
	return outstanding, s.decayedLatency(now), now.Before(s.pausedUntil)
}

func (s *targetStats) decayedLatency(now time.Time) time.Duration {
	if s.measuredAt.IsZero() {
		return initialLatency
	}
	decay := math.Exp2(-float64(now.Sub(s.measuredAt)) / float64(latencyHalfLife))
	return initialLatency + time.Duration(decay*float64(s.latency-initialLatency))
}

// statistics holds the stats of all targets.
type statistics struct{ m sync.Map }

func (s *statistics) forTarget(id string) *targetStats {
	if v, ok := s.m.Load(id); ok {
		return v.(*targetStats)
	}
	v, _ := s.m.LoadOrStore(id, &targetStats{})
	return v.(*targetStats)
}

// queueFullState caches for a short time that the queue of a target is full, so
// that rejections under overload need no exchange between instances.
type queueFullState struct {
	until      time.Time
	retryAfter time.Duration
}

// A full queue is cached for the expected wait divided by queueFullWaitDivisor, at
// most for maxQueueFullTTL. A queue that gets no requests for a quarter of its
// expected wait does not run empty.
const (
	maxQueueFullTTL      = 10 * time.Millisecond
	queueFullWaitDivisor = 4
)

// recordQueueFull caches a rejection because of a full queue.
func (s *targetStats) recordQueueFull(now time.Time, c admission.Class, wait, retryAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queueFull[c] = queueFullState{now.Add(min(maxQueueFullTTL, wait/queueFullWaitDivisor)), retryAfter}
}

// queueFullFailure returns the failure for a request to a target whose queue is
// full, or nil.
func (s *targetStats) queueFullFailure(now time.Time, c admission.Class) *failure {
	s.mu.Lock()
	state := s.queueFull[c]
	s.mu.Unlock()
	if !now.Before(state.until) {
		return nil
	}
	f := unavailable(string(admission.ReasonQueueFull), "the queue of the target was full a moment ago")
	f.retryAfter = state.retryAfter
	return f
}

// newLoadHeader returns the header that reports the load of a target to the
// instance that forwarded a request: running requests, queued requests, and the
// expected wait in microseconds.
func newLoadHeader(l admission.Load) http.Header {
	return http.Header{headerLoad: {fmt.Sprintf("%d,%d,%d", l.Running, l.Queued, l.ExpectedWait.Microseconds())}}
}

// recordLoadHeader records the load from the response of another instance and
// returns the expected wait. It ignores a malformed header and returns 0.
func (s *targetStats) recordLoadHeader(now time.Time, h http.Header) time.Duration {
	var running, queued int
	var micros int64
	n, err := fmt.Sscanf(h.Get(headerLoad), "%d,%d,%d", &running, &queued, &micros)
	if n < 3 || err != nil || running < 0 || queued < 0 || micros < 0 {
		return 0
	}
	s.recordLoad(now, running+queued)
	return time.Duration(micros) * time.Microsecond
}
