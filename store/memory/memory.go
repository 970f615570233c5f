// Package memory implements store.Store in memory, for tests, the demo and
// deployments of a single process. Objects are lost when the process ends. The
// store can simulate the faults of the platform's store, see Faults. It registers
// itself as "store.memory".
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

// DefaultHistoryLength is the default of Options.HistoryLength.
const DefaultHistoryLength = 1024

// Options configure a Store.
type Options struct {
	// HistoryLength is the maximum number of changes that are kept for watches. Default
	// DefaultHistoryLength.
	HistoryLength int
	// Clock is the time source for Faults.Delay and Faults.InstanceLag. Default the real
	// clock.
	Clock clockwork.Clock
	// Faults are the faults that are set initially.
	Faults Faults
}

type objectKey struct{ kind, name string }

// Store is a store in memory. It is safe for concurrent use.
type Store struct {
	store.EraTracker
	clock         clockwork.Clock
	historyLength int // maximum length of events

	mu sync.Mutex // guards the following fields
	// version is the version of the newest change.
	version store.Version
	objects map[objectKey]store.Object
	// events holds the latest changes in order of version.
	events []store.Event
	// lastDroppedVersion is the version of the newest change that was removed from events.
	lastDroppedVersion store.Version
	// changed is closed and replaced at every write and whenever faults are set.
	changed chan struct{}
	faults  Faults
	// staleObjects is the copy of objects that reads use while Faults.StaleReads is
	// set, and staleVersion the store version that it reflects.
	staleObjects map[objectKey]store.Object
	staleVersion store.Version
	instances    instanceHistory
	counts       Counts
	// restores is the number of calls of Restore. A watch ends when it changes.
	restores int
}

var (
	_ store.Store       = (*Store)(nil)
	_ store.Registrar   = (*Store)(nil)
	_ store.EraReporter = (*Store)(nil)
)

// New returns an empty store.
func New(o Options) *Store {
	if o.HistoryLength <= 0 {
		o.HistoryLength = DefaultHistoryLength
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	s := &Store{
		clock:         o.Clock,
		historyLength: o.HistoryLength,
		objects:       map[objectKey]store.Object{},
		changed:       make(chan struct{}),
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

func (s *Store) write(ctx context.Context, op operation, obj store.Object, check func(old store.Object, found bool) error) (store.Object, error) {
	if err := s.beginCall(ctx, op); err != nil {
		return store.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := objectKey{obj.Kind, obj.Name}
	if len(obj.Value) > store.MaxValueBytes {
		return store.Object{}, fmt.Errorf("%s %s/%s, %d bytes: %w", op, k.kind, k.name, len(obj.Value), store.ErrTooLarge)
	}
	old, found := s.objects[k]
	if err := check(old, found); err != nil {
		return store.Object{}, fmt.Errorf("%s %s/%s: %w", op, k.kind, k.name, err)
	}
	s.version++
	obj = clone(obj)
	obj.Version = s.version
	s.objects[k] = obj
	s.appendEvent(store.Event{Type: store.EventPut, Object: obj})
	if err := s.replyError(string(op), k); err != nil {
		return store.Object{}, err
	}
	return clone(obj), nil
}

// replyError returns the result of a write that took effect: store.ErrOutcomeUnknown
// if Faults.LoseReplies is set. The caller holds mu.
func (s *Store) replyError(op string, k objectKey) error {
	if s.faults.LoseReplies {
		return fmt.Errorf("%s %s/%s: %w", op, k.kind, k.name, store.ErrOutcomeUnknown)
	}
	return nil
}

// appendEvent adds a change to the history and notifies the watches. The caller
// holds mu.
func (s *Store) appendEvent(ev store.Event) {
	s.events = append(s.events, ev)
	if excess := len(s.events) - s.historyLength; excess > 0 {
		s.lastDroppedVersion = s.events[excess-1].Object.Version
		s.events = slices.Delete(s.events, 0, excess)
	}
	s.notifyWatches()
}

// notifyWatches wakes all watches. The caller holds mu.
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

// beginCall counts a call, delays it by Faults.Delay, and returns an error if the
// context ends meanwhile or Faults.Down is set. It is called before anything is written,
// so an error means that nothing was written.
func (s *Store) beginCall(ctx context.Context, op operation) error {
	s.mu.Lock()
	s.counts.add(op)
	delay := s.faults.Delay
	s.mu.Unlock()
	if err := s.wait(ctx, delay); err != nil {
		return fmt.Errorf("%s: %w: %w", op, store.ErrUnavailable, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return fmt.Errorf("%s: %w", op, store.ErrUnavailable)
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
