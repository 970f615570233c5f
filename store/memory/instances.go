package memory

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/boragegate/boragegate/store"
)

// maxInstanceSnapshots bounds the past instance lists that are kept for the lag.
const maxInstanceSnapshots = 256

type instanceSnapshot struct {
	takenAt   time.Time
	instances []store.Instance
}

// instanceHistory keeps the past versions of the list, oldest first.
type instanceHistory struct{ snapshots []instanceSnapshot }

func (l *instanceHistory) current() []store.Instance {
	if len(l.snapshots) == 0 {
		return nil
	}
	return l.snapshots[len(l.snapshots)-1].instances
}

// asOf returns the list as it was at a moment.
func (l *instanceHistory) asOf(t time.Time) []store.Instance {
	for _, v := range slices.Backward(l.snapshots) {
		if !v.takenAt.After(t) {
			return v.instances
		}
	}
	return nil
}

// set replaces the entry of an ID, or removes it if in is nil.
func (l *instanceHistory) set(now time.Time, id string, in *store.Instance) {
	next := slices.DeleteFunc(slices.Clone(l.current()), func(i store.Instance) bool { return i.ID == id })
	if in != nil {
		next = append(next, *in)
		slices.SortFunc(next, func(a, b store.Instance) int { return cmp.Compare(a.ID, b.ID) })
	}
	l.snapshots = append(l.snapshots, instanceSnapshot{now, next})
	if extra := len(l.snapshots) - maxInstanceSnapshots; extra > 0 {
		l.snapshots = slices.Delete(l.snapshots, 0, extra)
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
