package gateway

import (
	"github.com/boragegate/boragegate/idempotency"
	"github.com/boragegate/boragegate/internal/route"
)

// StopAdmission admits no more requests for the partitions of a target
// ("service/target") until they are owned anew under a higher epoch or term, and
// calls done once no request is in flight for them. Requests that arrive
// meanwhile wait at the instance that their callers are connected to. done must
// not block. The term is that of the release order.
func (g *Gateway) StopAdmission(id string, term uint64, partitions []int, done func()) {
	r, service := g.findTarget(id)
	var t *target
	if r != nil {
		t = g.targets.ensure(r)
	} else if v, ok := g.targets.m.Load(id); ok {
		t = v.(*target)
	}
	if t == nil {
		done() // never in front of the target
		return
	}
	t.inflight.stop(partitions, func(p int) idempotency.Tenure {
		tenure := idempotency.Tenure{Term: term}
		if service != nil && service.Assignment != nil && p < len(service.Assignment.Epoch) {
			tenure.Epoch = service.Assignment.Epoch[p]
		}
		return tenure
	}, done)
}

func (g *Gateway) findTarget(id string) (*route.Target, *route.Service) {
	for _, s := range g.cfg.Routes.Load().Services {
		for _, t := range s.Targets {
			if t.Row.ID() == id {
				return t, s
			}
		}
	}
	return nil, nil
}
