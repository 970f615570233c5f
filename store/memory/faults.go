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
		s.stale, s.staleAt = maps.Clone(s.objects), s.version
	}
	if !f.StaleReads {
		s.stale = nil
	}
	s.faults = f
	s.broadcast()
}

// Faults returns the faults that are set.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// readable returns the objects that reads see and their version. Callers hold mu.
func (s *Store) readable() (map[key]store.Object, store.Version) {
	if s.faults.StaleReads {
		return s.stale, s.staleAt
	}
	return s.objects, s.version
}

// call names a method in errors and counters.
type call string

const (
	callGet       call = "get"
	callList      call = "list"
	callCreate    call = "create"
	callUpdate    call = "update"
	callDelete    call = "delete"
	callWatch     call = "watch"
	callInstances call = "instances"
	callRegister  call = "register"
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

func (c *Counts) add(which call) {
	counter := map[call]*int64{
		callGet: &c.Get, callList: &c.List, callCreate: &c.Create, callUpdate: &c.Update,
		callDelete: &c.Delete, callWatch: &c.Watch, callInstances: &c.Instances, callRegister: &c.Register,
	}[which]
	*counter++
}

// Counts returns the call counters.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}
