package gateway

import (
	"github.com/boragegate/boragegate/idempotency"
	"github.com/boragegate/boragegate/internal/route"
)

// StopAdmission stops admitting requests for the partitions of a target until they
// are assigned again under a higher epoch or term. id is "service/target", and term
// is the term of the release request. StopAdmission calls done once no request is
// in flight for the partitions, possibly before it returns; done must not block.
// Requests that arrive in the meantime wait at the instance that their callers are
// connected to.
func (g *Gateway) StopAdmission(id string, term uint64, partitions []int, done func()) {
	r, service := g.findTarget(id)
	var t *target
	if r != nil {
		t = g.targets.ensure(r)
	} else if v, ok := g.targets.m.Load(id); ok {
		t = v.(*target)
	}
	if t == nil {
		done() // this instance never controlled the target
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
