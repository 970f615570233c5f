package memory

import (
	"maps"
	"slices"

	"github.com/boragegate/boragegate/store"
)

// Copy is a copy of the objects and the history of a store, from which it can be restored.
type Copy struct {
	objects            map[objectKey]store.Object
	events             []store.Event
	version            store.Version
	lastDroppedVersion store.Version
}

// Copy returns a copy of the current state. The list of instances is not part of it.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Copy{objects: maps.Clone(s.objects), events: slices.Clone(s.events), version: s.version, lastDroppedVersion: s.lastDroppedVersion}
}

// Restore replaces the state by the copy and begins the next era. It closes all watches. A copy
// can be restored several times.
func (s *Store) Restore(c *Copy) {
	// The observer learns of the era before any call can return the restored state.
	s.ReportEra(s.Era() + 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects, s.events = maps.Clone(c.objects), slices.Clone(c.events)
	s.version, s.lastDroppedVersion = c.version, c.lastDroppedVersion
	s.restores++
	s.notifyWatches()
}
