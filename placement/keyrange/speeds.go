package keyrange

import (
	"math"
	"time"

	"github.com/boragegate/boragegate/routing"
)

const (
	// speedMemory is the number of requests of a target after which earlier ones count
	// 1/e of their weight; meanMemory is that of all targets together.
	speedMemory = 60
	meanMemory  = 3000
	// priorRequests of the mean time are counted besides those of a target, so that one
	// long request does not make a target slow: with 6 requests/s a target, and one in
	// a hundred that takes five times as long, keys moved without end.
	priorRequests = 15
	// longestTimes times the mean is the longest time that counts.
	longestTimes = 4
)

// Speeds estimates the service times of targets from what they served.
type Speeds struct {
	targets map[routing.Lifetime]*served
	all     served
}

// served is a sum of requests and of the seconds that they took.
type served struct{ requests, seconds float64 }

func (s *served) add(requests, seconds, memory float64) {
	f := math.Exp(-requests / memory)
	s.requests, s.seconds = s.requests*f+requests, s.seconds*f+seconds
}

// NewSpeeds returns speeds of targets of which nothing is known.
func NewSpeeds() *Speeds { return &Speeds{targets: map[routing.Lifetime]*served{}} }

// Add counts requests that a target served and the time that they took together.
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

// mean is the average time of a request in seconds, 0 if none is known.
func (s *Speeds) mean() float64 {
	if s.all.requests == 0 {
		return 0
	}
	return s.all.seconds / s.all.requests
}

// Time is the estimated service time of a target; 0 if nothing is known of any.
func (s *Speeds) Time(id routing.Lifetime) time.Duration {
	requests, seconds := float64(priorRequests), priorRequests*s.mean()
	if t := s.targets[id]; t != nil {
		requests, seconds = requests+t.requests, seconds+t.seconds
	}
	return time.Duration(seconds / requests * float64(time.Second))
}

// Forget forgets a target that has gone.
func (s *Speeds) Forget(id routing.Lifetime) { delete(s.targets, id) }
