// Package memory is an embedded store.Store for tests, the demo and single
// processes. It keeps objects in memory only and has switches for the faults
// that the platform's store can show. It registers itself as "store.memory".
package memory

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/boragegate/boragegate/store"
)

// DefaultHistory is the number of changes that are kept for watches.
const DefaultHistory = 1024

// Options configure a Store.
type Options struct {
	// History is the number of changes kept for watches. Default DefaultHistory.
	History int
	// Clock is the time source of delays and of the instance list's lag. Default the real clock.
	Clock clockwork.Clock
	// Faults are the faults at the start.
	Faults Faults
}

type objectKey struct{ kind, name string }

// Store is the embedded store. All state is guarded by mu.
type Store struct {
	clock   clockwork.Clock
	history int

	mu      sync.Mutex
	version store.Version
	objects map[objectKey]store.Object
	// events are the latest changes in order of version.
	events []store.Event
	// lastDroppedVersion is the version of the newest change that is no longer in events.
	lastDroppedVersion store.Version
	// changed is closed and replaced with every write and every change of faults.
	changed chan struct{}
	faults  Faults
	// staleObjects is the copy that is read while Faults.StaleReads is set.
	staleObjects map[objectKey]store.Object
	staleVersion store.Version
	instances    instanceHistory
	counts       Counts
}

var (
	_ store.Store     = (*Store)(nil)
	_ store.Registrar = (*Store)(nil)
)

// New returns an empty store.
func New(o Options) *Store {
	if o.History <= 0 {
		o.History = DefaultHistory
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	s := &Store{
		clock:   o.Clock,
		history: o.History,
		objects: map[objectKey]store.Object{},
		changed: make(chan struct{}),
	}
	s.SetFaults(o.Faults)
	return s
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, kind, name string) (store.Object, error) {
	if err := s.beginCall(ctx, opGet); err != nil {
		return store.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	objects, _ := s.objectsForRead()
	obj, ok := objects[objectKey{kind, name}]
	if !ok {
		return store.Object{}, fmt.Errorf("get %s/%s: %w", kind, name, store.ErrNotFound)
	}
	return clone(obj), nil
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, kind string) ([]store.Object, store.Version, error) {
	if err := s.beginCall(ctx, opList); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	objects, version := s.objectsForRead()
	var list []store.Object
	for k, obj := range objects {
		if k.kind == kind {
			list = append(list, clone(obj))
		}
	}
	slices.SortFunc(list, func(a, b store.Object) int { return cmp.Compare(a.Name, b.Name) })
	return list, version, nil
}

// Create implements store.Store.
func (s *Store) Create(ctx context.Context, obj store.Object) (store.Object, error) {
	return s.write(ctx, opCreate, obj, func(_ store.Object, found bool) error {
		if found {
			return store.ErrExists
		}
		return nil
	})
}

// Update implements store.Store.
func (s *Store) Update(ctx context.Context, obj store.Object) (store.Object, error) {
	return s.write(ctx, opUpdate, obj, func(old store.Object, found bool) error {
		return checkVersion(old, found, obj.Version)
	})
}

// Delete implements store.Store.
func (s *Store) Delete(ctx context.Context, kind, name string, version store.Version) error {
	if err := s.beginCall(ctx, opDelete); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := objectKey{kind, name}
	old, found := s.objects[k]
	if err := checkVersion(old, found, version); err != nil {
		return fmt.Errorf("delete %s/%s: %w", kind, name, err)
	}
	s.version++
	delete(s.objects, k)
	s.appendEvent(store.Event{Type: store.EventDeleted, Object: store.Object{Kind: kind, Name: name, Version: s.version}})
	return s.replyError("delete", k)
}

func (s *Store) write(ctx context.Context, c operation, obj store.Object, check func(old store.Object, found bool) error) (store.Object, error) {
	if err := s.beginCall(ctx, c); err != nil {
		return store.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := objectKey{obj.Kind, obj.Name}
	if len(obj.Value) > store.MaxValueBytes {
		return store.Object{}, fmt.Errorf("%s %s/%s, %d bytes: %w", c, k.kind, k.name, len(obj.Value), store.ErrTooLarge)
	}
	old, found := s.objects[k]
	if err := check(old, found); err != nil {
		return store.Object{}, fmt.Errorf("%s %s/%s: %w", c, k.kind, k.name, err)
	}
	s.version++
	obj = clone(obj)
	obj.Version = s.version
	s.objects[k] = obj
	s.appendEvent(store.Event{Type: store.EventPut, Object: obj})
	if err := s.replyError(string(c), k); err != nil {
		return store.Object{}, err
	}
	return clone(obj), nil
}

// replyError loses the reply of a write that took effect if that fault is set. Callers hold mu.
func (s *Store) replyError(op string, k objectKey) error {
	if s.faults.LoseReplies {
		return fmt.Errorf("%s %s/%s: %w", op, k.kind, k.name, store.ErrOutcomeUnknown)
	}
	return nil
}

// appendEvent keeps the change for watches and wakes them. Callers hold mu.
func (s *Store) appendEvent(ev store.Event) {
	s.events = append(s.events, ev)
	if extra := len(s.events) - s.history; extra > 0 {
		s.lastDroppedVersion = s.events[extra-1].Object.Version
		s.events = slices.Delete(s.events, 0, extra)
	}
	s.notifyWatches()
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func checkVersion(old store.Object, found bool, version store.Version) error {
	switch {
	case !found:
		return store.ErrNotFound
	case old.Version != version:
		return store.ErrConflict
	}
	return nil
}

func clone(obj store.Object) store.Object {
	obj.Value = bytes.Clone(obj.Value)
	return obj
}

// beginCall counts a call, delays it, and fails it while the store is down. Nothing
// has been written when it returns an error.
func (s *Store) beginCall(ctx context.Context, c operation) error {
	s.mu.Lock()
	s.counts.add(c)
	delay := s.faults.Delay
	s.mu.Unlock()
	if err := s.wait(ctx, delay); err != nil {
		return fmt.Errorf("%s: %w: %w", c, store.ErrUnavailable, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return fmt.Errorf("%s: %w", c, store.ErrUnavailable)
	}
	return nil
}

func (s *Store) wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	select {
	case <-s.clock.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
