package gateway

import (
	"net/http"
	"sync"

	"github.com/boragegate/boragegate/admission"
	"github.com/boragegate/boragegate/idempotency"
	"github.com/boragegate/boragegate/internal/route"
	"github.com/boragegate/boragegate/retry"
	"github.com/boragegate/boragegate/table"
)

// target is the state of a target that this instance controls.
type target struct {
	id             string
	gate           *admission.Gate
	inflight       *inflight
	idempotencyLog *idempotency.Log
	slotUsage      slotUsage

	mu        sync.Mutex
	transport *http.Transport
	row       table.Row
}

// targets holds the state of all targets that this instance controls or has
// controlled.
type targets struct {
	gateway *Gateway
	m       sync.Map // ID to *target
}

// ensure returns the state of the target. It creates the state if there is none,
// and applies r.Row if it has changed.
func (t *targets) ensure(r *route.Target) *target {
	id := r.Row.ID()
	v, ok := t.m.Load(id)
	if !ok {
		var loaded bool
		v, loaded = t.m.LoadOrStore(id, t.newTarget(id, r.Row))
		if !loaded {
			v.(*target).registerGauges(t.gateway.cfg.Metrics)
		}
	}
	found := v.(*target)
	found.update(r.Row)
	return found
}

func (t *targets) newTarget(id string, row table.Row) *target {
	return &target{
		id: id, row: row,
		gate:           admission.NewGate(limitsOf(row), t.gateway.clock),
		inflight:       newInflight(t.gateway.clock),
		idempotencyLog: idempotency.NewLog(t.gateway.cfg.Idempotency, t.gateway.clock),
		transport:      newTargetTransport(row),
		slotUsage:      slotUsage{intervalStart: t.gateway.clock.Now()},
	}
}

// newTargetTransport returns a transport with at most row.Connections connections
// to the target, including those that are being opened and those that are idle. 0
// means no limit.
func newTargetTransport(row table.Row) *http.Transport {
	t := NewTransport(max(row.Slots, row.Connections))
	t.MaxConnsPerHost = row.Connections
	return t
}

// update applies a changed row of the table.
func (t *target) update(row table.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.row == row {
		return
	}
	t.gate.SetLimits(limitsOf(row))
	if t.row.Connections != row.Connections {
		t.transport.CloseIdleConnections()
		t.transport = newTargetTransport(row)
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
		slots = min(slots, row.Connections) // a request needs both a slot and a connection
	}
	return admission.Limits{Slots: slots, QueueLength: row.Queue, Rate: row.Rate}
}

// retryBudgets holds the retry budget of each service.
type retryBudgets struct{ m sync.Map }

func (b *retryBudgets) forService(service string) *retry.Budget {
	if v, ok := b.m.Load(service); ok {
		return v.(*retry.Budget)
	}
	v, _ := b.m.LoadOrStore(service, retry.NewBudget(retry.DefaultRatio, retry.DefaultBurst))
	return v.(*retry.Budget)
}
