package edge

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/boragegate/boragegate/dispatch"
	"github.com/boragegate/boragegate/internal/socket"
	"github.com/boragegate/boragegate/routing"
)

// sharedState is what the traffic goroutines use of what the control goroutine knows.
type sharedState struct {
	config atomic.Pointer[routing.Config]
	// freshUntil is the time until which the configuration is known to be recent, as a
	// time.Duration since the start of the machine; 0 if that is not judged.
	freshUntil atomic.Int64
	// instances is the number of instances that share the limits of targets.
	instances atomic.Int64

	policy dispatch.Policy

	mu    sync.Mutex
	board *dispatch.Balancer
	// changed closes when targets or owners change.
	changed chan struct{}
	// keyCounts counts requests by service and key since the last report.
	keyCounts map[string]map[int]int
	// reportedLeaving has the targets that have said in an answer to this instance that they
	// leave, with the time, for leavingReportTime.
	reportedLeaving map[routing.Lifetime]time.Duration
}

// leavingReportTime is the time for which an instance tells the leader of a target that
// leaves: reports may be lost with a leader, and another leads within seconds.
const leavingReportTime = 5 * time.Second

func newSharedState(zone string, budget dispatch.RetryBudget, policy dispatch.Policy) *sharedState {
	s := &sharedState{policy: policy, board: dispatch.NewBalancer(zone, budget), changed: make(chan struct{}), keyCounts: map[string]map[int]int{}, reportedLeaving: map[routing.Lifetime]time.Duration{}}
	s.instances.Store(defaultInstances)
	s.board.SetPolicy(policy)
	s.board.SetSequenceOffset(rand.Float64()) //nolint:gosec // not a secret
	return s
}

// isConfigStale reports whether the configuration may be out of date: neither a leader nor the
// store has confirmed it lately. A route that it lacks may exist.
func (s *sharedState) isConfigStale() bool {
	until := s.freshUntil.Load()
	return until > 0 && int64(socket.BootTime()) > until
}

// update changes the board and wakes the requests that are held.
func (s *sharedState) update(f func(b *dispatch.Balancer)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.board)
	close(s.changed)
	s.changed = make(chan struct{})
}

// setOfferedLoads replaces the pressure of all targets.
func (s *sharedState) setOfferedLoads(now time.Duration, list []dispatch.OfferedLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.board.SetOfferedLoad(now, list)
}

// choose decides about a request and notes the attempt if it is to be sent. It
// also returns a channel that closes when the decision may have changed.
func (s *sharedState) choose(r *dispatch.Request) (dispatch.Decision, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := socket.BootTime()
	d := s.board.Choose(now, r)
	if d.Verdict == dispatch.Send {
		s.board.StartAttempt(d.Target.Lifetime())
	}
	return d, s.changed
}

// recordArrival counts a request of a caller, and returns the time that the caller has lost by
// earlier tries.
func (s *sharedState) recordArrival(r *dispatch.Request) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Key >= 0 {
		counts := s.keyCounts[r.Service]
		if counts == nil {
			counts = map[int]int{}
			s.keyCounts[r.Service] = counts
		}
		counts[r.Key]++
	}
	return s.board.RecordArrival(socket.BootTime(), r)
}

// recordBodyBytes notes the bytes of the bodies of one exchange.
func (s *sharedState) recordBodyBytes(service string, kind routing.Kind, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.board.RecordExchangeBytes(service, kind, bytes)
}

func (s *sharedState) recordResult(id routing.Lifetime, result dispatch.Result, took time.Duration, report *dispatch.TargetLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.board.FinishAttempt(socket.BootTime(), id, result, took, report)
}

// markLeaving notes that a target has said that it leaves, and reports whether that is news.
func (s *sharedState) markLeaving(id routing.Lifetime) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := socket.BootTime()
	if !s.board.MarkLeaving(now, id) {
		return false
	}
	s.reportedLeaving[id] = now
	return true
}

// pauseTarget notes that a target wants nothing from this instance for a time.
func (s *sharedState) pauseTarget(id routing.Lifetime, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.board.PauseUntil(id, socket.BootTime()+d)
}

// takeLoadReport returns and clears what was measured.
func (s *sharedState) takeLoadReport() loadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := loadReport{Keys: s.keyCounts, Samples: s.board.TakeSamples()}
	s.keyCounts = map[string]map[int]int{}
	now := socket.BootTime()
	for id, at := range s.reportedLeaving {
		l.Leaving = append(l.Leaving, id)
		if now-at > leavingReportTime {
			delete(s.reportedLeaving, id)
		}
	}
	return l
}
