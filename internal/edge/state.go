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

// shared is what the traffic goroutines use of what the control goroutine knows.
type shared struct {
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
	// keys counts requests by service and key since the last report.
	keys map[string]map[int]int
	// leaving has the targets that have said in an answer to this instance that they
	// leave, with the time, for leavingTold.
	leaving map[routing.Lifetime]time.Duration
}

// leavingTold is the time for which an instance tells the leader of a target that
// leaves: reports may be lost with a leader, and another leads within seconds.
const leavingTold = 5 * time.Second

func newShared(zone string, budget dispatch.RetryBudget, policy dispatch.Policy) *shared {
	s := &shared{policy: policy, board: dispatch.NewBalancer(zone, budget), changed: make(chan struct{}), keys: map[string]map[int]int{}, leaving: map[routing.Lifetime]time.Duration{}}
	s.instances.Store(assumedInstances)
	s.board.SetPolicy(policy)
	s.board.SetSequenceOffset(rand.Float64()) //nolint:gosec // not a secret
	return s
}

// stale reports whether the configuration may be out of date: neither a leader nor the
// store has confirmed it lately. A route that it lacks may exist.
func (s *shared) stale() bool {
	until := s.freshUntil.Load()
	return until > 0 && int64(socket.BootTime()) > until
}

// update changes the board and wakes the requests that are held.
func (s *shared) update(f func(b *dispatch.Balancer)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.board)
	close(s.changed)
	s.changed = make(chan struct{})
}

// setPressure replaces the pressure of all targets.
func (s *shared) setPressure(now time.Duration, list []dispatch.OfferedLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.board.SetOfferedLoad(now, list)
}

// choose decides about a request and notes the attempt if it is to be sent. It
// also returns a channel that closes when the decision may have changed.
func (s *shared) choose(r *dispatch.Request) (dispatch.Decision, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := socket.BootTime()
	d := s.board.Choose(now, r)
	if d.Verdict == dispatch.Send {
		s.board.StartAttempt(d.Target.Lifetime())
	}
	return d, s.changed
}

// arrived counts a request of a caller, and returns the time that the caller has lost by
// earlier tries.
func (s *shared) arrived(r *dispatch.Request) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Key >= 0 {
		counts := s.keys[r.Service]
		if counts == nil {
			counts = map[int]int{}
			s.keys[r.Service] = counts
		}
		counts[r.Key]++
	}
	return s.board.RecordArrival(socket.BootTime(), r)
}

// moved notes the bytes of the bodies of one exchange.
func (s *shared) moved(service string, kind routing.Kind, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.board.RecordExchangeBytes(service, kind, bytes)
}

func (s *shared) finished(id routing.Lifetime, result dispatch.Result, took time.Duration, report *dispatch.TargetLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.board.FinishAttempt(socket.BootTime(), id, result, took, report)
}

// leave notes that a target has said that it leaves, and reports whether that is news.
func (s *shared) leave(id routing.Lifetime) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := socket.BootTime()
	if !s.board.MarkLeaving(now, id) {
		return false
	}
	s.leaving[id] = now
	return true
}

// pause notes that a target wants nothing from this instance for a time.
func (s *shared) pause(id routing.Lifetime, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.board.PauseUntil(id, socket.BootTime()+d)
}

// takeLoad returns and clears what was measured.
func (s *shared) takeLoad() loadNews {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := loadNews{Keys: s.keys, Samples: s.board.TakeSamples()}
	s.keys = map[string]map[int]int{}
	now := socket.BootTime()
	for id, at := range s.leaving {
		l.Leaving = append(l.Leaving, id)
		if now-at > leavingTold {
			delete(s.leaving, id)
		}
	}
	return l
}
