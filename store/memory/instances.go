package memory

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/boragegate/boragegate/store"
)

// maxInstanceSnapshots is the maximum number of snapshots of the instance list that are
// kept for Faults.InstanceLag.
const maxInstanceSnapshots = 256

type instanceSnapshot struct {
	takenAt   time.Time
	instances []store.Instance
}

// instanceHistory holds the latest snapshots of the instance list, oldest first. The
// last one is the current list.
type instanceHistory struct{ snapshots []instanceSnapshot }

func (h *instanceHistory) current() []store.Instance {
	if len(h.snapshots) == 0 {
		return nil
	}
	return h.snapshots[len(h.snapshots)-1].instances
}

// asOf returns the list as it was at t, or nil if all remaining snapshots are later.
func (h *instanceHistory) asOf(t time.Time) []store.Instance {
	for _, snapshot := range slices.Backward(h.snapshots) {
		if !snapshot.takenAt.After(t) {
			return snapshot.instances
		}
	}
	return nil
}

// set adds a snapshot in which the instance with the ID is replaced by in, or removed if
// in is nil.
func (h *instanceHistory) set(now time.Time, id string, in *store.Instance) {
	next := slices.DeleteFunc(slices.Clone(h.current()), func(i store.Instance) bool { return i.ID == id })
	if in != nil {
		next = append(next, *in)
		slices.SortFunc(next, func(a, b store.Instance) int { return cmp.Compare(a.ID, b.ID) })
	}
	h.snapshots = append(h.snapshots, instanceSnapshot{now, next})
	if excess := len(h.snapshots) - maxInstanceSnapshots; excess > 0 {
		h.snapshots = slices.Delete(h.snapshots, 0, excess)
	}
}

// Instances implements store.Store.
func (s *Store) Instances(ctx context.Context) ([]store.Instance, error) {
	if err := s.beginCall(ctx, opInstances); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.instances.asOf(s.clock.Now().Add(-s.faults.InstanceLag))), nil
}

// Register implements store.Registrar.
func (s *Store) Register(ctx context.Context, in store.Instance) error {
	return s.setInstance(ctx, in.ID, &in)
}

// Deregister implements store.Registrar.
func (s *Store) Deregister(ctx context.Context, id string) error {
	return s.setInstance(ctx, id, nil)
}

func (s *Store) setInstance(ctx context.Context, id string, in *store.Instance) error {
	if err := s.beginCall(ctx, opRegister); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances.set(s.clock.Now(), id, in)
	return s.replyError(string(opRegister), objectKey{"instance", id})
}
