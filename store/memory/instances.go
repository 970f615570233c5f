package memory

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/boragegate/boragegate/store"
)

// maxListVersions bounds the past instance lists that are kept for the lag.
const maxListVersions = 256

type listVersion struct {
	at        time.Time
	instances []store.Instance
}

// instanceList keeps the past versions of the list, oldest first.
type instanceList struct{ versions []listVersion }

func (l *instanceList) current() []store.Instance {
	if len(l.versions) == 0 {
		return nil
	}
	return l.versions[len(l.versions)-1].instances
}

// at returns the list as it was at a moment.
func (l *instanceList) at(t time.Time) []store.Instance {
	for _, v := range slices.Backward(l.versions) {
		if !v.at.After(t) {
			return v.instances
		}
	}
	return nil
}

// set replaces the entry of an ID, or removes it if in is nil.
func (l *instanceList) set(now time.Time, id string, in *store.Instance) {
	next := slices.DeleteFunc(slices.Clone(l.current()), func(i store.Instance) bool { return i.ID == id })
	if in != nil {
		next = append(next, *in)
		slices.SortFunc(next, func(a, b store.Instance) int { return cmp.Compare(a.ID, b.ID) })
	}
	l.versions = append(l.versions, listVersion{now, next})
	if extra := len(l.versions) - maxListVersions; extra > 0 {
		l.versions = slices.Delete(l.versions, 0, extra)
	}
}

// Instances implements store.Store.
func (s *Store) Instances(ctx context.Context) ([]store.Instance, error) {
	if err := s.begin(ctx, callInstances); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.instances.at(s.clock.Now().Add(-s.faults.InstanceLag))), nil
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
	if err := s.begin(ctx, callRegister); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances.set(s.clock.Now(), id, in)
	return s.reply(string(callRegister), key{"instance", id})
}
