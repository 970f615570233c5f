package daemon

import (
	"context"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/boragegate/boragegate/ownership"
	"github.com/boragegate/boragegate/store"
)

// instrumentedStore counts the calls of a store by kind of call, and those that failed.
type instrumentedStore struct {
	store.Store
	registry metrics.Registry
}

func (s instrumentedStore) count(call string, err error) {
	metrics.GetOrRegisterCounter("store.calls."+call, s.registry).Inc(1)
	if err != nil {
		metrics.GetOrRegisterCounter("store.failed."+call, s.registry).Inc(1)
	}
}

// Get implements store.Store.
func (s instrumentedStore) Get(ctx context.Context, kind, name string) (store.Object, error) {
	obj, err := s.Store.Get(ctx, kind, name)
	s.count("get", err)
	return obj, err
}

// List implements store.Store.
func (s instrumentedStore) List(ctx context.Context, kind string) ([]store.Object, store.Version, error) {
	list, version, err := s.Store.List(ctx, kind)
	s.count("list", err)
	return list, version, err
}

// Create implements store.Store.
func (s instrumentedStore) Create(ctx context.Context, obj store.Object) (store.Object, error) {
	obj, err := s.Store.Create(ctx, obj)
	s.count("create", err)
	return obj, err
}

// Update implements store.Store.
func (s instrumentedStore) Update(ctx context.Context, obj store.Object) (store.Object, error) {
	obj, err := s.Store.Update(ctx, obj)
	s.count("update", err)
	return obj, err
}

// Delete implements store.Store.
func (s instrumentedStore) Delete(ctx context.Context, kind, name string, version store.Version) error {
	err := s.Store.Delete(ctx, kind, name, version)
	s.count("delete", err)
	return err
}

// Instances implements store.Store.
func (s instrumentedStore) Instances(ctx context.Context) ([]store.Instance, error) {
	list, err := s.Store.Instances(ctx)
	s.count("instances", err)
	return list, err
}

// countMoves counts the partitions that an assignment gave a new owner. Only the
// planner that made the assignment records it, once more when the store has a
// provisional one, so that only the stored ones count.
func (i *Instance) countMoves(rec ownership.LogEntry) {
	if rec.Event != "assignment.in_force" {
		return
	}
	var service string
	var changes int
	var provisional bool
	for n := 0; n+1 < len(rec.Fields); n += 2 {
		switch rec.Fields[n] {
		case "service":
			service, _ = rec.Fields[n+1].(string)
		case "changes":
			changes, _ = rec.Fields[n+1].(int)
		case "provisional":
			provisional, _ = rec.Fields[n+1].(bool)
		}
	}
	if provisional {
		return
	}
	metrics.GetOrRegisterCounter("ownership.partitions_moved."+service, i.metrics).Inc(int64(changes))
}

// updateTargetMetrics adds the time for which partitions of this instance's targets had
// no server that can serve them, and shows what is left of the leases.
func (i *Instance) updateTargetMetrics(elapsed time.Duration) {
	v := i.runner.View()
	for id, h := range v.Controlled {
		service, name, _ := strings.Cut(id, "/")
		a := v.Assignments[service]
		if a == nil {
			continue
		}
		i.registerLeaseGauge(id)
		if h.State != ownership.TargetHeld {
			lost := int64(len(a.PartitionsOf(name))) * elapsed.Milliseconds()
			metrics.GetOrRegisterCounter("ownership.unavailable_ms."+service, i.metrics).Inc(lost)
		}
	}
}

// registerLeaseGauge registers the gauge of a target's lease once. The gauge stays, and
// shows 0 when another instance has control.
func (i *Instance) registerLeaseGauge(target string) {
	name := "ownership.lease_left_ms." + target
	if i.metrics.Get(name) != nil {
		return
	}
	_ = i.metrics.Register(name, metrics.NewFunctionalGauge(func() int64 {
		return i.runner.RemainingLease(target).Milliseconds()
	}))
}
