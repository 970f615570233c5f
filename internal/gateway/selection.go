package gateway

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/boragegate/boragegate/admission"
	"github.com/boragegate/boragegate/internal/route"
)

// crossZonePenalty multiplies the cost of a target in another availability zone.
// With 1.25, requests stay in their zone until its targets cost a quarter more
// than the others.
const crossZonePenalty = 1.25

// pausedPenalty multiplies the cost of a target that is paused or that the request
// avoids, so that the other one of two candidates is chosen.
const pausedPenalty = 1e6

// candidates holds the targets of a service that are eligible in one snapshot.
type candidates struct {
	targets    []*route.Target
	stats      []*targetStats
	cumulative []float64 // element i is the sum of the weights of targets[0] to targets[i]
}

// candidateCache caches the candidates of each service in the current snapshot.
type candidateCache struct {
	mu       sync.RWMutex
	services map[string]cachedCandidates
}

type cachedCandidates struct {
	service    *route.Service
	candidates *candidates
}

func (s *candidateCache) forService(service *route.Service, st *statistics) *candidates {
	s.mu.RLock()
	cached := s.services[service.Name]
	s.mu.RUnlock()
	if cached.service == service {
		return cached.candidates
	}
	c := newCandidates(service, st)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.services == nil {
		s.services = make(map[string]cachedCandidates)
	}
	s.services[service.Name] = cachedCandidates{service, c}
	return c
}

func newCandidates(s *route.Service, st *statistics) *candidates {
	c := &candidates{}
	sum := 0.0
	for _, t := range s.Targets {
		if !t.Ready || t.Row.Drain || t.Row.Weight <= 0 || !t.Local && t.ForwardAddress == "" {
			continue
		}
		sum += t.Row.Weight
		c.targets = append(c.targets, t)
		c.stats = append(c.stats, st.forTarget(t.Row.ID()))
		c.cumulative = append(c.cumulative, sum)
	}
	return c
}

// chooseTarget picks a target for a request that any target of the service can
// serve. It draws two targets at random by weight and returns the one with the
// lower cost (power of two choices), or nil if no target is eligible.
func (g *Gateway) chooseTarget(s *route.Service, c *call) *route.Target {
	all := g.candidateCache.forService(s, &g.statistics)
	switch len(all.targets) {
	case 0:
		return nil
	case 1:
		return all.targets[0]
	}
	now := g.clock.Now()
	chosen := all.pick(now, -1)
	other := all.pick(now, chosen)
	if g.cost(all, other, now, c) < g.cost(all, chosen, now, c) {
		chosen = other
	}
	return all.targets[chosen]
}

// pick returns the index of a random candidate by weight, other than exclude, which
// is an index, or -1 to exclude none. A target in slow start is drawn less often.
func (c *candidates) pick(now time.Time, exclude int) int {
	const tries = 4
	sum := c.cumulative[len(c.cumulative)-1]
	i := 0
	for range tries {
		i = sort.SearchFloat64s(c.cumulative, rand.Float64()*sum) //nolint:gosec // not a secret
		if i != exclude && rand.Float64() < slowStartWeight(c.targets[i], now) {
			return i
		}
	}
	if i == exclude {
		return (i + 1) % len(c.targets)
	}
	return i
}

// slowStartWeight returns the fraction of its weight that a target gets while it
// is in slow start, and 1 afterwards.
func slowStartWeight(t *route.Target, now time.Time) float64 {
	if t.ReadySince == 0 {
		return 1
	}
	return admission.SlowStartFraction(now.Sub(time.UnixMilli(t.ReadySince)))
}

// cost estimates how long a request would take at the target, relative to the
// other targets.
func (g *Gateway) cost(all *candidates, i int, now time.Time, c *call) float64 {
	t := all.targets[i]
	slots := max(t.Row.Slots, 1)
	outstanding, latency, paused := all.stats[i].estimate(now, slots)
	cost := (1 + outstanding) / (float64(slots) * slowStartWeight(t, now)) * float64(latency)
	if t.Row.Zone != g.cfg.Zone {
		cost *= crossZonePenalty
	}
	if paused || c.avoidTarget == t.Row.Target {
		cost *= pausedPenalty
	}
	return cost
}
