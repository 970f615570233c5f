package memory

import (
	"maps"
	"time"

	"github.com/boragegate/boragegate/store"
)

// Faults are the faults that the store shows. The zero value shows none.
type Faults struct {
	// Delay is added to every call, before it takes effect.
	Delay time.Duration
	// Down fails every call with ErrUnavailable and closes all watches.
	Down bool
	// LoseReplies makes writes take effect and return ErrOutcomeUnknown.
	LoseReplies bool
	// StaleReads serves Get and List from a copy taken when the fault was set,
	// as a replica does that no longer receives updates. Writes and watches are not affected.
	StaleReads bool
	// InstanceLag is the age of the list that Instances returns.
	InstanceLag time.Duration
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.StaleReads && !s.faults.StaleReads {
		s.staleObjects, s.staleVersion = maps.Clone(s.objects), s.version
	}
	if !f.StaleReads {
		s.staleObjects = nil
	}
	s.faults = f
	s.notifyWatches()
}

// Faults returns the faults that are set.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// objectsForRead returns the objects that reads see and their version. Callers hold mu.
func (s *Store) objectsForRead() (map[objectKey]store.Object, store.Version) {
	if s.faults.StaleReads {
		return s.staleObjects, s.staleVersion
	}
	return s.objects, s.version
}

// operation names a method in errors and counters.
type operation string

const (
	opGet       operation = "get"
	opList      operation = "list"
	opCreate    operation = "create"
	opUpdate    operation = "update"
	opDelete    operation = "delete"
	opWatch     operation = "watch"
	opInstances operation = "instances"
	opRegister  operation = "register"
)

// Counts are the calls since the store was created, failed ones included.
type Counts struct {
	Get, List, Create, Update, Delete, Watch, Instances, Register int64
	// Events is the number of changes handed to watches.
	Events int64
}

// Reads is the number of calls that count against the platform's read rate.
func (c Counts) Reads() int64 { return c.Get + c.List + c.Watch + c.Instances }

// Writes is the number of calls that count against the platform's write rate.
func (c Counts) Writes() int64 { return c.Create + c.Update + c.Delete + c.Register }

func (c *Counts) add(which operation) {
	counter := map[operation]*int64{
		opGet: &c.Get, opList: &c.List, opCreate: &c.Create, opUpdate: &c.Update,
		opDelete: &c.Delete, opWatch: &c.Watch, opInstances: &c.Instances, opRegister: &c.Register,
	}[which]
	*counter++
}

// Counts returns the call counters.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}
