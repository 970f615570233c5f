package memory

import (
	"maps"
	"time"

	"github.com/boragegate/boragegate/store"
)

// Faults are the faults that the store simulates. The zero value simulates none.
type Faults struct {
	// Delay is added to every call, before it takes effect.
	Delay time.Duration
	// Down makes every call fail with store.ErrUnavailable and closes all watches.
	Down bool
	// LoseReplies makes writes take effect but return store.ErrOutcomeUnknown.
	LoseReplies bool
	// StaleReads serves Get and List from a copy that is taken when the fault is
	// set, like a replica that no longer receives updates. Writes and watches are
	// not affected.
	StaleReads bool
	// InstanceLag is the time by which the list that Instances returns lags behind.
	InstanceLag time.Duration
}

// SetFaults replaces all faults that are set.
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

// objectsForRead returns the objects that Get and List read, and the store version
// that they reflect. The caller holds mu.
func (s *Store) objectsForRead() (map[objectKey]store.Object, store.Version) {
	if s.faults.StaleReads {
		return s.staleObjects, s.staleVersion
	}
	return s.objects, s.version
}

// operation is the name of a Store method in errors and counters. Deregister counts as
// opRegister.
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

// Counts are the numbers of calls since the store was created, including failed
// calls. Register includes Deregister.
type Counts struct {
	Get, List, Create, Update, Delete, Watch, Instances, Register int64
	// Events is the number of events that watches read from the history for delivery.
	Events int64
}

// Reads returns the number of calls that count towards the platform's limit on the
// rate of reads.
func (c Counts) Reads() int64 { return c.Get + c.List + c.Watch + c.Instances }

// Writes returns the number of calls that count towards the platform's limit on the
// rate of writes.
func (c Counts) Writes() int64 { return c.Create + c.Update + c.Delete + c.Register }

func (c *Counts) add(op operation) {
	counter := map[operation]*int64{
		opGet: &c.Get, opList: &c.List, opCreate: &c.Create, opUpdate: &c.Update,
		opDelete: &c.Delete, opWatch: &c.Watch, opInstances: &c.Instances, opRegister: &c.Register,
	}[op]
	*counter++
}

// Counts returns the call counters.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}
