package keyrange

import (
	"math"
	"time"

	"github.com/boragegate/boragegate/routing"
)

const (
	// targetDecayRequests is the number of requests of a target after which its earlier
	// requests count for 1/e of their weight; totalDecayRequests is the same for the requests
	// of all targets together.
	targetDecayRequests = 60
	totalDecayRequests  = 3000
	// serviceTimePriorRequests is a prior: this many requests with the mean time of all
	// targets are added to those of each target, so that one long request does not make a
	// target look slow. Without it, keys would keep moving, for example at 6 requests/s
	// per target if one request in a hundred takes five times as long as the others.
	serviceTimePriorRequests = 15
	// maxServiceTimeFactor bounds the average time of the requests in one call of Add, as a
	// multiple of the mean of all targets, once that mean is based on more than
	// totalDecayRequests/10 requests.
	maxServiceTimeFactor = 4
)

// ServiceTimes estimates the service time of each target from the requests that it served,
// of which later ones have more weight. It is not safe for concurrent use.
type ServiceTimes struct {
	targets map[routing.Lifetime]*decayedTotals
	total   decayedTotals
}

// decayedTotals holds the number of requests and the seconds that they took, summed up with
// exponential decay.
type decayedTotals struct{ requests, seconds float64 }

// add adds requests. The earlier totals decay to 1/e after decayRequests requests.
func (s *decayedTotals) add(requests, seconds, decayRequests float64) {
	factor := math.Exp(-requests / decayRequests)
	s.requests, s.seconds = s.requests*factor+requests, s.seconds*factor+seconds
}

// NewServiceTimes returns an estimator that knows no requests.
func NewServiceTimes() *ServiceTimes {
	return &ServiceTimes{targets: map[routing.Lifetime]*decayedTotals{}}
}

// Add records that a target served requests, and the total time that they took.
func (s *ServiceTimes) Add(id routing.Lifetime, requests int, totalTime time.Duration) {
	if requests <= 0 {
		return
	}
	n, seconds := float64(requests), totalTime.Seconds()
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

// mean returns the mean time of a request at any target in seconds, or 0 if none is known.
func (s *ServiceTimes) mean() float64 {
	if s.total.requests == 0 {
		return 0
	}
	return s.total.seconds / s.total.requests
}

// Estimate returns the estimated service time of a target, or 0 if no requests have been
// recorded for any target.
func (s *ServiceTimes) Estimate(id routing.Lifetime) time.Duration {
	requests, seconds := float64(serviceTimePriorRequests), serviceTimePriorRequests*s.mean()
	if t := s.targets[id]; t != nil {
		requests, seconds = requests+t.requests, seconds+t.seconds
	}
	return time.Duration(seconds / requests * float64(time.Second))
}

// Remove drops the data of a removed target.
func (s *ServiceTimes) Remove(id routing.Lifetime) { delete(s.targets, id) }
