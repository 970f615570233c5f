package gateway

import (
	"net/http"
	"sync"

	"github.com/boragegate/boragegate/admission"
	"github.com/boragegate/boragegate/internal/route"
	"github.com/boragegate/boragegate/retry"
	"github.com/boragegate/boragegate/table"
)

// target is the state of a target that this instance is in front of.
type target struct {
	id        string
	gate      *admission.Gate
	inflight  *inflight
	transport *http.Transport

	mu  sync.Mutex
	row table.Row
}

// targets holds the state of all targets that this instance was in front of.
type targets struct {
	gateway *Gateway
	m       sync.Map // ID to *target
}

func (t *targets) of(r *route.Target) *target {
	id := r.Row.ID()
	v, ok := t.m.Load(id)
	if !ok {
		v, _ = t.m.LoadOrStore(id, t.newTarget(id, r.Row))
	}
	found := v.(*target)
	found.update(r.Row)
	return found
}

func (t *targets) newTarget(id string, row table.Row) *target {
	return &target{
		id: id, row: row,
		gate:      admission.NewGate(limitsOf(row), t.gateway.clock),
		inflight:  newInflight(t.gateway.clock),
		transport: NewTransport(nil, row.Connections),
	}
}

// update adopts a changed row.
func (t *target) update(row table.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.row == row {
		return
	}
	t.gate.SetLimits(limitsOf(row))
	if t.row.Connections != row.Connections {
		t.transport.CloseIdleConnections()
		t.transport = NewTransport(nil, row.Connections)
	}
	t.row = row
}

func (t *target) pool() *http.Transport {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.transport
}

func limitsOf(row table.Row) admission.Limits {
	slots := row.Slots
	if row.Connections > 0 {
		slots = min(slots, row.Connections) // a slot without a connection could not be used
	}
	return admission.Limits{Slots: slots, Queue: row.Queue, Rate: row.Rate}
}

// budgets holds the retry budget of each service.
type budgets struct{ m sync.Map }

func (b *budgets) of(service string) *retry.Budget {
	if v, ok := b.m.Load(service); ok {
		return v.(*retry.Budget)
	}
	v, _ := b.m.LoadOrStore(service, retry.NewBudget(retry.DefaultShare, retry.DefaultBurst))
	return v.(*retry.Budget)
}

// StopAdmission admits no more requests for the partitions of a target
// ("service/target") until they are owned anew at a higher epoch, and calls done
// once no request is in flight for them. Requests that arrive meanwhile wait at
// the instance that their callers are connected to. The term is that of the
// release order; this instance admits nothing under an older one in any case.
func (g *Gateway) StopAdmission(id string, _ uint64, partitions []int, done func()) {
	r, service := g.findTarget(id)
	if r == nil {
		if v, ok := g.targets.m.Load(id); ok {
			v.(*target).inflight.stop(partitions, func(int) uint64 { return 0 }, done)
			return
		}
		done()
		return
	}
	g.targets.of(r).inflight.stop(partitions, func(p int) uint64 {
		if a := service.Assignment; a != nil && p < len(a.Epoch) {
			return a.Epoch[p]
		}
		return 0
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
