package daemon

import (
	"context"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/boragegate/boragegate/ownership"
	"github.com/boragegate/boragegate/store"
)

// instrumentedStore is a store that counts the calls of each method except Watch, and those
// of them that returned an error.
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

// countMoves counts the partitions that an assignment changes, including those that are
// granted again to the owner that released them. Only the planner that made an assignment logs
// it. Provisional assignments are skipped, because they are logged again when they have been
// stored.
func (i *Instance) countMoves(entry ownership.LogEntry) {
	if entry.Event != "assignment.in_force" {
		return
	}
	var service string
	var changes int
	var provisional bool
	for n := 0; n+1 < len(entry.Fields); n += 2 {
		switch entry.Fields[n] {
		case "service":
			service, _ = entry.Fields[n+1].(string)
		case "changes":
			changes, _ = entry.Fields[n+1].(int)
		case "provisional":
			provisional, _ = entry.Fields[n+1].(bool)
		}
	}
	if provisional {
		return
	}
	metrics.GetOrRegisterCounter("ownership.partitions_moved."+service, i.metrics).Inc(int64(changes))
}

// updateTargetMetrics registers the lease gauges of the targets that this instance controls.
// While a target is not in the state held, no server may serve its partitions. The elapsed
// time is then added to the unavailable time of the service once for each of these
// partitions.
func (i *Instance) updateTargetMetrics(elapsed time.Duration) {
	v := i.runner.View()
	for id, controlled := range v.Controlled {
		service, name, _ := strings.Cut(id, "/")
		a := v.Assignments[service]
		if a == nil {
			continue
		}
		i.registerLeaseGauge(id)
		if controlled.State != ownership.TargetHeld {
			unavailableMS := int64(len(a.PartitionsOf(name))) * elapsed.Milliseconds()
			metrics.GetOrRegisterCounter("ownership.unavailable_ms."+service, i.metrics).Inc(unavailableMS)
		}
	}
}

// registerLeaseGauge registers a gauge of the remaining lease of a target, in milliseconds,
// unless there is one. The gauge is never removed; it reads 0 while another instance
// controls the target.
func (i *Instance) registerLeaseGauge(target string) {
	name := "ownership.lease_left_ms." + target
	if i.metrics.Get(name) != nil {
		return
	}
	_ = i.metrics.Register(name, metrics.NewFunctionalGauge(func() int64 {
		return i.runner.RemainingLease(target).Milliseconds()
	}))
}
