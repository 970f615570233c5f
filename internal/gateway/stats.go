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

// Constants of the measurements that select targets.
const (
	// loadReportTTL is the age up to which a reported load is used (design section 9).
	loadReportTTL = 3 * time.Second
	// latencyEWMAWeight is the weight of the newest response time.
	latencyEWMAWeight = 0.2
	// latencyHalfLife lets the memory of a slow target fade, so that it is tried again.
	latencyHalfLife = 5 * time.Second
	// initialLatency is the response time that is assumed before the first one.
	initialLatency = 5 * time.Millisecond
)

// targetStats is what this instance has measured of a target, and what the instance
// in front of it has reported. It outlives snapshots.
type targetStats struct {
	inflight atomic.Int64 // requests of this instance

	mu                  sync.Mutex
	latency             time.Duration
	measuredAt          time.Time
	reportedOutstanding int // running and waiting, from all instances
	reportedAt          time.Time
	pausedUntil         time.Time
	queueFull           [2]queueFullState // by class
}

// recordLatency adds a response time.
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

// recordLoad adds a load report.
func (s *targetStats) recordLoad(now time.Time, outstanding int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportedOutstanding, s.reportedAt = outstanding, now
}

// pause notes that the target refuses requests for a time.
func (s *targetStats) pause(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}

// estimate returns the requests that are outstanding at the target, its
// response time, and whether it refuses requests. The own count takes
// precedence: a report can only add to it, at most as much again as the target
// has slots, so that a false report neither attracts nor repels everything.
func (s *targetStats) estimate(now time.Time, slots int) (outstanding float64, latency time.Duration, paused bool) {
	own := float64(s.inflight.Load())
	s.mu.Lock()
	defer s.mu.Unlock()
	outstanding = own
	if now.Sub(s.reportedAt) < loadReportTTL {
		others := max(0, float64(s.reportedOutstanding)-own)
		outstanding += min(others, float64(slots))
	}
	return outstanding, s.decayedLatency(now), now.Before(s.pausedUntil)
}

func (s *targetStats) decayedLatency(now time.Time) time.Duration {
	if s.measuredAt.IsZero() {
		return initialLatency
	}
	share := math.Exp2(-float64(now.Sub(s.measuredAt)) / float64(latencyHalfLife))
	return initialLatency + time.Duration(share*float64(s.latency-initialLatency))
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

// queueFullState remembers for a moment that the queue of a target is full, so that
// refusals under overload cost no exchange between instances.
type queueFullState struct {
	until      time.Time
	retryAfter time.Duration
}

// Bounds of that moment: a queue that is not fed for a quarter of its expected
// wait does not run empty.
const (
	maxQueueFullTTL      = 10 * time.Millisecond
	queueFullWaitDivisor = 4
)

// recordQueueFull remembers a refusal because of a full queue.
func (s *targetStats) recordQueueFull(now time.Time, c admission.Class, wait, retryAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queueFull[c] = queueFullState{now.Add(min(maxQueueFullTTL, wait/queueFullWaitDivisor)), retryAfter}
}

// queueFullFailure returns the failure for a request to a target whose queue is full.
func (s *targetStats) queueFullFailure(now time.Time, c admission.Class) *failure {
	s.mu.Lock()
	full := s.queueFull[c]
	s.mu.Unlock()
	if !now.Before(full.until) {
		return nil
	}
	f := unavailable(string(admission.ReasonQueueFull), "the queue of the target was full a moment ago")
	f.retryAfter = full.retryAfter
	return f
}

// newLoadHeader tells the instance that forwarded a request how busy the target
// is: requests that run, requests that wait, expected wait in microseconds.
func newLoadHeader(l admission.Load) http.Header {
	return http.Header{headerLoad: {fmt.Sprintf("%d,%d,%d", l.Running, l.Queued, l.ExpectedWait.Microseconds())}}
}

// recordLoadHeader reads the load from the answer of another instance. It returns the
// expected wait.
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
