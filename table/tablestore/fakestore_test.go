package tablestore_test

import (
	"context"
	"fmt"
	"sync"

	"github.com/boragegate/boragegate/store"
)

// fakeStore is a store in memory with the methods that package tablestore calls. Its
// hooks inject faults.
type fakeStore struct {
	store.Store
	mu      sync.Mutex
	version store.Version
	objects map[string]store.Object
	// beforeWrite is called without the lock before each write of table/current. If it
	// returns an error, nothing is written and the write returns the error.
	beforeWrite func() error
	// afterWrite is called with the lock after each write of table/current. If it
	// returns an error, the write returns the error although it took effect.
	afterWrite func() error
	// getHook replaces Get if it is not nil.
	getHook func() (store.Object, error)
}

func newFakeStore() *fakeStore { return &fakeStore{objects: map[string]store.Object{}} }

func (s *fakeStore) Get(_ context.Context, kind, name string) (store.Object, error) {
	if s.getHook != nil {
		return s.getHook()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	obj, ok := s.objects[kind+"/"+name]
	if !ok {
		return obj, fmt.Errorf("%s/%s: %w", kind, name, store.ErrNotFound)
	}
	return obj, nil
}

func (s *fakeStore) List(_ context.Context, kind string) ([]store.Object, store.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []store.Object
	for _, o := range s.objects {
		if o.Kind == kind {
			list = append(list, o)
		}
	}
	return list, s.version, nil
}

func (s *fakeStore) Create(_ context.Context, obj store.Object) (store.Object, error) {
	return s.put(obj, store.ErrExists)
}

func (s *fakeStore) Update(_ context.Context, obj store.Object) (store.Object, error) {
	return s.put(obj, store.ErrConflict)
}

func (s *fakeStore) Delete(_ context.Context, kind, name string, _ store.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, kind+"/"+name)
	return nil
}

func (s *fakeStore) put(obj store.Object, mismatch error) (store.Object, error) {
	isTable := obj.Kind == "table"
	if f := s.beforeWrite; isTable && f != nil {
		if err := f(); err != nil {
			return obj, err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := obj.Kind + "/" + obj.Name
	if s.objects[id].Version != obj.Version {
		return obj, mismatch
	}
	s.version++
	obj.Version = s.version
	s.objects[id] = obj
	if f := s.afterWrite; isTable && f != nil {
		if err := f(); err != nil {
			return store.Object{}, err
		}
	}
	return obj, nil
}
