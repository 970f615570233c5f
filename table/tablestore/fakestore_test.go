package tablestore_test

import (
	"context"
	"fmt"
	"sync"

	"github.com/boragegate/boragegate/platform"
)

// fakeStore is the smallest store that the package needs. The hooks inject faults.
type fakeStore struct {
	platform.Store
	mu      sync.Mutex
	version platform.Version
	objects map[string]platform.Object
	// before runs before each write of table/current without the lock; an error
	// is returned instead of writing.
	before func() error
	// after runs after each write of table/current; an error hides the reply.
	after func() error
	// read replaces the result of reads if it is not nil.
	read func() (platform.Object, error)
}

func newFakeStore() *fakeStore { return &fakeStore{objects: map[string]platform.Object{}} }

func (s *fakeStore) Get(_ context.Context, kind, name string) (platform.Object, error) {
	if s.read != nil {
		return s.read()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	obj, ok := s.objects[kind+"/"+name]
	if !ok {
		return obj, fmt.Errorf("%s/%s: %w", kind, name, platform.ErrNotFound)
	}
	return obj, nil
}

func (s *fakeStore) List(_ context.Context, kind string) ([]platform.Object, platform.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []platform.Object
	for _, o := range s.objects {
		if o.Kind == kind {
			list = append(list, o)
		}
	}
	return list, s.version, nil
}

func (s *fakeStore) Create(_ context.Context, obj platform.Object) (platform.Object, error) {
	return s.put(obj, platform.ErrExists)
}

func (s *fakeStore) Update(_ context.Context, obj platform.Object) (platform.Object, error) {
	return s.put(obj, platform.ErrConflict)
}

func (s *fakeStore) Delete(_ context.Context, kind, name string, _ platform.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, kind+"/"+name)
	return nil
}

func (s *fakeStore) put(obj platform.Object, mismatch error) (platform.Object, error) {
	main := obj.Kind == "table"
	if f := s.before; main && f != nil {
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
	if f := s.after; main && f != nil {
		if err := f(); err != nil {
			return platform.Object{}, err
		}
	}
	return obj, nil
}
