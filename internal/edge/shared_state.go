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

// sharedState is the part of the control loop's view that request goroutines use, and what
// they report back to the control loop.
type sharedState struct {
	config atomic.Pointer[routing.Config]
	// freshUntil is the time until which the configuration is known to be current, as a
	// time.Duration since boot; 0 if not known yet.
	freshUntil atomic.Int64
	// loopTickAt is the time of the control loop's last tick, as a time.Duration since boot; 0
	// before the first. maxLoopDelay is the time without a tick after which the configuration is
	// unconfirmed, and reconfirming is set until it is confirmed again.
	loopTickAt   atomic.Int64
	maxLoopDelay time.Duration
	reconfirming atomic.Bool
	// instances is the number of instances that share the limits of targets.
	instances atomic.Int64

	policy dispatch.Policy

	mu       sync.Mutex
	balancer *dispatch.Balancer
	// changed is closed when targets, owners, rate limits or permits change, or a target has room for held requests.
	changed chan struct{}
	// keyCounts counts requests by service and key since the last load report.
	keyCounts map[string]map[int]int
	// reportedLeaving has the targets that have announced in a response to this instance
	// that they are leaving, with the time of the announcement. They are reported for
	// leavingReportTime.
	reportedLeaving map[routing.Lifetime]time.Duration
	// unreportedRateLimits has the targets whose rate limits are to be reported to the leader, and
	// rateLimitReportedAt the time of the last report.
	unreportedRateLimits map[routing.Lifetime]struct{}
	rateLimitReportedAt  map[routing.Lifetime]time.Duration
	// rateLimitSignal makes the control loop send reports of rate limits and requests for permits at once.
	rateLimitSignal chan struct{}
}

// leavingReportTime is the time for which an instance reports a leaving target to the
// leader. A report may be lost if the leader fails, and a new leader follows within
// seconds.
const leavingReportTime = 5 * time.Second

func newSharedState(zone string, maxLoopDelay time.Duration, budget dispatch.RetryBudget, policy dispatch.Policy) *sharedState {
	s := &sharedState{
		maxLoopDelay: maxLoopDelay,
		policy:       policy, balancer: dispatch.NewBalancer(zone, budget), changed: make(chan struct{}), keyCounts: map[string]map[int]int{}, reportedLeaving: map[routing.Lifetime]time.Duration{},
		unreportedRateLimits: map[routing.Lifetime]struct{}{}, rateLimitReportedAt: map[routing.Lifetime]time.Duration{}, rateLimitSignal: make(chan struct{}, 1),
	}
	s.instances.Store(defaultInstances)
	s.balancer.SetPolicy(policy)
	s.balancer.SetSeed(rand.Float64()) //nolint:gosec // not a secret
	return s
}

// isConfigStale reports whether the configuration may be outdated because neither a leader
// nor the store has confirmed it recently. A route that it lacks may exist.
func (s *sharedState) isConfigStale() bool {
	until := s.freshUntil.Load()
	return until > 0 && int64(socket.BootTime()) > until
}

// update changes the balancer and wakes held requests.
func (s *sharedState) update(f func(b *dispatch.Balancer)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.balancer)
	s.wakeHeld()
}

// wakeHeld wakes held requests. The caller holds mu.
func (s *sharedState) wakeHeld() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setOfferedLoads replaces the offered loads of all targets.
func (s *sharedState) setOfferedLoads(now time.Duration, offeredLoads []dispatch.OfferedLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.SetOfferedLoad(now, offeredLoads)
}

// profiles returns what this instance has measured of the requests for each service.
func (s *sharedState) profiles() map[string]routing.ServiceProfile {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.Profiles()
}

// choose decides on a request and counts the attempt if it is to be sent. It also returns
// a channel that is closed when the decision may change.
func (s *sharedState) choose(r *dispatch.Request) (dispatch.Decision, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := socket.BootTime()
	d := s.balancer.Choose(now, r)
	if d.Verdict == dispatch.Send {
		s.balancer.StartAttempt(d.Target.Lifetime())
	}
	if d.Ticket != r.Ticket {
		s.signalRateLimits()
	}
	return d, s.changed
}

// recordArrival counts a request of a caller, and returns the time that the caller spent
// on earlier attempts, or 0 if it is unknown.
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
	return s.balancer.RecordArrival(socket.BootTime(), r)
}

// recordBodyBytes records the size in bytes of the bodies of one exchange.
func (s *sharedState) recordBodyBytes(service string, kind routing.Kind, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.RecordExchangeBytes(service, kind, bytes)
}

func (s *sharedState) recordResult(id routing.Lifetime, result dispatch.Result, duration time.Duration, report *dispatch.TargetLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.FinishAttempt(socket.BootTime(), id, result, duration, report)
	if s.balancer.TakeRoomFreed() {
		s.wakeHeld()
	}
}

// markLeaving records that a target is leaving. It returns false if that was already known
// or the target isn't in the list of targets.
func (s *sharedState) markLeaving(id routing.Lifetime) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := socket.BootTime()
	if !s.balancer.MarkLeaving(now, id) {
		return false
	}
	s.reportedLeaving[id] = now
	return true
}

// pauseTarget keeps requests of this instance away from a target for the given time.
func (s *sharedState) pauseTarget(id routing.Lifetime, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.PauseUntil(id, socket.BootTime()+d)
}

// takeLoadReport returns the measurements since the last call and resets them. Leaving
// targets are reported again until leavingReportTime is over.
func (s *sharedState) takeLoadReport() loadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := loadReport{Keys: s.keyCounts, Samples: s.balancer.TakeSamples()}
	s.keyCounts = map[string]map[int]int{}
	now := socket.BootTime()
	for id, at := range s.reportedLeaving {
		report.Leaving = append(report.Leaving, id)
		if now-at > leavingReportTime {
			delete(s.reportedLeaving, id)
		}
	}
	return report
}
