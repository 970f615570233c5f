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
	// reportValid is the age up to which a reported load is used (design section 9).
	reportValid = 3 * time.Second
	// latencyWeight is the weight of the newest response time.
	latencyWeight = 0.2
	// latencyHalfLife lets the memory of a slow target fade, so that it is tried again.
	latencyHalfLife = 5 * time.Second
	// unmeasured is the response time that is assumed before the first one.
	unmeasured = 5 * time.Millisecond
)

// stats is what this instance has measured of a target, and what the instance
// in front of it has reported. It outlives snapshots.
type stats struct {
	inflight atomic.Int64 // requests of this instance

	mu          sync.Mutex
	latency     time.Duration
	measured    time.Time
	reported    int // running and waiting, from all instances
	reportedAt  time.Time
	pausedUntil time.Time
	full        [2]fullness // by class
}

// observe adds a response time.
func (s *stats) observe(now time.Time, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.measured.IsZero() {
		s.latency = d
	} else {
		s.latency += time.Duration(latencyWeight * float64(d-s.latency))
	}
	s.measured = now
}

// report adds a load report.
func (s *stats) report(now time.Time, outstanding int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reported, s.reportedAt = outstanding, now
}

// pause notes that the target refuses requests for a time.
func (s *stats) pause(until time.Time) {
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
func (s *stats) estimate(now time.Time, slots int) (outstanding float64, latency time.Duration, paused bool) {
	own := float64(s.inflight.Load())
	s.mu.Lock()
	defer s.mu.Unlock()
	outstanding = own
	if now.Sub(s.reportedAt) < reportValid {
		others := max(0, float64(s.reported)-own)
		outstanding += min(others, float64(slots))
	}
	return outstanding, s.fadedLatency(now), now.Before(s.pausedUntil)
}

func (s *stats) fadedLatency(now time.Time) time.Duration {
	if s.measured.IsZero() {
		return unmeasured
	}
	share := math.Exp2(-float64(now.Sub(s.measured)) / float64(latencyHalfLife))
	return unmeasured + time.Duration(share*float64(s.latency-unmeasured))
}

// statistics holds the stats of all targets.
type statistics struct{ m sync.Map }

func (s *statistics) of(id string) *stats {
	if v, ok := s.m.Load(id); ok {
		return v.(*stats)
	}
	v, _ := s.m.LoadOrStore(id, &stats{})
	return v.(*stats)
}

// fullness remembers for a moment that the queue of a target is full, so that
// refusals under overload cost no exchange between instances.
type fullness struct {
	until      time.Time
	retryAfter time.Duration
}

// Bounds of that moment: a queue that is not fed for a quarter of its expected
// wait does not run empty.
const (
	longestFull  = 10 * time.Millisecond
	fullWaitPart = 4
)

// noteFull remembers a refusal because of a full queue.
func (s *stats) noteFull(now time.Time, c admission.Class, wait, retryAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.full[c] = fullness{now.Add(min(longestFull, wait/fullWaitPart)), retryAfter}
}

// refusal returns the failure for a request to a target whose queue is full.
func (s *stats) refusal(now time.Time, c admission.Class) *failure {
	s.mu.Lock()
	full := s.full[c]
	s.mu.Unlock()
	if !now.Before(full.until) {
		return nil
	}
	f := unavailable(string(admission.ReasonQueueFull), "the queue of the target was full a moment ago")
	f.retryAfter = full.retryAfter
	return f
}

// loadHeader tells the instance that forwarded a request how busy the target
// is: requests that run, requests that wait, expected wait in microseconds.
func loadHeader(l admission.Load) http.Header {
	return http.Header{headerLoad: {fmt.Sprintf("%d,%d,%d", l.Running, l.Queued, l.ExpectedWait.Microseconds())}}
}

// noteLoad reads the load from the answer of another instance. It returns the
// expected wait.
func (s *stats) noteLoad(now time.Time, h http.Header) time.Duration {
	var running, queued int
	var micros int64
	n, err := fmt.Sscanf(h.Get(headerLoad), "%d,%d,%d", &running, &queued, &micros)
	if n < 3 || err != nil || running < 0 || queued < 0 || micros < 0 {
		return 0
	}
	s.report(now, running+queued)
	return time.Duration(micros) * time.Microsecond
}
