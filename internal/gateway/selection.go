package gateway

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/boragegate/boragegate/admission"
	"github.com/boragegate/boragegate/internal/route"
)

// crossZonePenalty is the factor by which a target in another zone has to be
// less loaded to be preferred. With 1.25 a zone keeps its requests until its
// targets are a quarter busier than the others.
const crossZonePenalty = 1.25

// pausedPenalty makes a target that refuses requests the last choice.
const pausedPenalty = 1e6

// candidates are the targets of a service that can be chosen in one snapshot.
type candidates struct {
	targets    []*route.Target
	stats      []*targetStats
	cumulative []float64 // of weights
}

// candidateCache keeps the candidates of the current snapshot's services.
type candidateCache struct {
	mu       sync.RWMutex
	services map[string]cachedCandidates
}

type cachedCandidates struct {
	service *route.Service
	c       *candidates
}

func (s *candidateCache) forService(service *route.Service, st *statistics) *candidates {
	s.mu.RLock()
	found := s.services[service.Name]
	s.mu.RUnlock()
	if found.service == service {
		return found.c
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

// chooseTarget picks a target of a service for a request that any target can serve:
// the better of two random ones, drawn by weight.
func (g *Gateway) chooseTarget(s *route.Service, c *call) *route.Target {
	all := g.candidateCache.forService(s, &g.statistics)
	switch len(all.targets) {
	case 0:
		return nil
	case 1:
		return all.targets[0]
	}
	now := g.clock.Now()
	first := all.pick(now, -1)
	second := all.pick(now, first)
	if g.cost(all, second, now, c) < g.cost(all, first, now, c) {
		first = second
	}
	return all.targets[first]
}

// pick returns a random index by weight, other than the excluded one. A target
// that became ready lately is drawn less often.
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

func slowStartWeight(t *route.Target, now time.Time) float64 {
	if t.ReadySince == 0 {
		return 1
	}
	return admission.SlowStartFraction(now.Sub(time.UnixMilli(t.ReadySince)))
}

// cost estimates how long a request would take at the target, relative to others.
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
