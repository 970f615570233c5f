package keyrange

import (
	"math"
	"time"

	"github.com/boragegate/boragegate/routing"
)

const (
	// speedMemory is the number of requests of a target after which its earlier requests
	// count 1/e of their weight; meanMemory is the same for the requests of all targets
	// together.
	speedMemory = 60
	meanMemory  = 3000
	// priorRequests is a prior: this many requests with the mean time of all targets are
	// added to those of each target, so that one long request does not make a target look
	// slow. Without it, at 6 requests/s per target and with one request in a hundred
	// taking five times as long, keys moved without end.
	priorRequests = 15
	// longestTimes bounds the time that is counted for a request, as a multiple of the
	// mean.
	longestTimes = 4
)

// Speeds estimates the service time of each target from the requests that it served. It is
// not safe for concurrent use.
type Speeds struct {
	targets map[routing.Lifetime]*served
	all     served
}

// served sums up requests and the seconds that they took.
type served struct{ requests, seconds float64 }

func (s *served) add(requests, seconds, memory float64) {
	f := math.Exp(-requests / memory)
	s.requests, s.seconds = s.requests*f+requests, s.seconds*f+seconds
}

// NewSpeeds returns an estimator that knows no requests.
func NewSpeeds() *Speeds { return &Speeds{targets: map[routing.Lifetime]*served{}} }

// Add counts requests that a target served, with the total time that they took.
func (s *Speeds) Add(id routing.Lifetime, requests int, took time.Duration) {
	if requests <= 0 {
		return
	}
	n, seconds := float64(requests), took.Seconds()
	if s.all.requests > meanMemory/10 {
		seconds = min(seconds, n*longestTimes*s.mean())
	}
	t := s.targets[id]
	if t == nil {
		t = &served{}
		s.targets[id] = t
	}
	t.add(n, seconds, speedMemory)
	s.all.add(n, seconds, meanMemory)
}

// mean returns the mean time of a request in seconds, or 0 if none is known.
func (s *Speeds) mean() float64 {
	if s.all.requests == 0 {
		return 0
	}
	return s.all.seconds / s.all.requests
}

// Time returns the estimated service time of a target, or 0 if no request of any target is
// known.
func (s *Speeds) Time(id routing.Lifetime) time.Duration {
	requests, seconds := float64(priorRequests), priorRequests*s.mean()
	if t := s.targets[id]; t != nil {
		requests, seconds = requests+t.requests, seconds+t.seconds
	}
	return time.Duration(seconds / requests * float64(time.Second))
}

// Forget drops the data of a target that is gone.
func (s *Speeds) Forget(id routing.Lifetime) { delete(s.targets, id) }
