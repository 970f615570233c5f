package gateway

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/boragegate/boragegate/internal/route"
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

// loadHeader tells the instance that forwarded a request how busy the target is.
func (g *Gateway) loadHeader(t *target) http.Header {
	l := t.gate.Load()
	return http.Header{headerLoad: {strconv.Itoa(l.Running) + "," + strconv.Itoa(l.Queued)}}
}

// noteLoad reads the load from the answer of another instance.
func (g *Gateway) noteLoad(r *route.Target, h http.Header) {
	running, queued, ok := strings.Cut(h.Get(headerLoad), ",")
	if !ok {
		return
	}
	n, err := strconv.Atoi(running)
	m, err2 := strconv.Atoi(queued)
	if err == nil && err2 == nil && n >= 0 && m >= 0 {
		g.statistics.of(r.Row.ID()).report(g.clock.Now(), n+m)
	}
}
