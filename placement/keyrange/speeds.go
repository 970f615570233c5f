package keyrange

import (
	"math"
	"time"

	"github.com/boragegate/boragegate/routing"
)

const (
	// targetDecayRequests is the number of requests of a target after which earlier ones count
	// 1/e of their weight; totalDecayRequests is that of all targets together.
	targetDecayRequests = 60
	totalDecayRequests  = 3000
	// serviceTimePriorRequests of the mean time are counted besides those of a target, so that one
	// long request does not make a target slow: with 6 requests/s a target, and one in
	// a hundred that takes five times as long, keys moved without end.
	serviceTimePriorRequests = 15
	// maxServiceTimeFactor times the mean is the longest time that counts.
	maxServiceTimeFactor = 4
)

// ServiceTimes estimates the service times of targets from what they served.
type ServiceTimes struct {
	targets map[routing.Lifetime]*decayedTotals
	total   decayedTotals
}

// decayedTotals is a sum of requests and of the seconds that they took.
type decayedTotals struct{ requests, seconds float64 }

func (s *decayedTotals) add(requests, seconds, memory float64) {
	f := math.Exp(-requests / memory)
	s.requests, s.seconds = s.requests*f+requests, s.seconds*f+seconds
}

// NewServiceTimes returns speeds of targets of which nothing is known.
func NewServiceTimes() *ServiceTimes {
	return &ServiceTimes{targets: map[routing.Lifetime]*decayedTotals{}}
}

// Add counts requests that a target served and the time that they took together.
func (s *ServiceTimes) Add(id routing.Lifetime, requests int, took time.Duration) {
	if requests <= 0 {
		return
	}
	n, seconds := float64(requests), took.Seconds()
	if s.total.requests > totalDecayRequests/10 {
		seconds = min(seconds, n*maxServiceTimeFactor*s.mean())
	}
	t := s.targets[id]
	if t == nil {
		t = &decayedTotals{}
		s.targets[id] = t
	}
	t.add(n, seconds, targetDecayRequests)
	s.total.add(n, seconds, totalDecayRequests)
}

// mean is the average time of a request in seconds, 0 if none is known.
func (s *ServiceTimes) mean() float64 {
	if s.total.requests == 0 {
		return 0
	}
	return s.total.seconds / s.total.requests
}

// Estimate is the estimated service time of a target; 0 if nothing is known of any.
func (s *ServiceTimes) Estimate(id routing.Lifetime) time.Duration {
	requests, seconds := float64(serviceTimePriorRequests), serviceTimePriorRequests*s.mean()
	if t := s.targets[id]; t != nil {
		requests, seconds = requests+t.requests, seconds+t.seconds
	}
	return time.Duration(seconds / requests * float64(time.Second))
}

// Remove forgets a target that has gone.
func (s *ServiceTimes) Remove(id routing.Lifetime) { delete(s.targets, id) }
