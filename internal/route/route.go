// Package route provides the snapshot from which requests are routed. The
// control loop publishes a new snapshot with every change; requests read it
// without locks.
package route

import (
	"sync/atomic"

	"github.com/boragegate/boragegate/placement"
	"github.com/boragegate/boragegate/table"
)

// Snapshot is a consistent view of table, assignments and controllers. It is
// immutable once it is published.
type Snapshot struct {
	TableVersion uint64
	// Serving is false while the instance must not take requests.
	Serving bool
	// Reason states why Serving is false.
	Reason string
	// Services are the services of the table by name.
	Services map[string]*Service
}

// Service is the part of a snapshot that concerns one service.
type Service struct {
	table.Service
	// Assignment is nil until the instance has received one.
	Assignment *placement.Assignment
	// AssignmentTargets holds the target for each index of Assignment.Targets, nil for a
	// target that is no longer in the table.
	AssignmentTargets []*Target
	// Targets are the targets of the service in table order.
	Targets []*Target
}

// Target is the part of a snapshot that concerns one target.
type Target struct {
	Row table.Row
	// Controller is the ID of the instance through which all requests to the target
	// go; empty if none is known.
	Controller string
	// ForwardAddress is the address of the controller's forward listener.
	ForwardAddress string
	// Term is the term of the controller.
	Term uint64
	// Local is true if this instance is the controller.
	Local bool
	// Ready is true if the target is considered able to serve requests.
	Ready bool
	// ReadySince is the Unix time in milliseconds at which the target became ready,
	// for the slow start; 0 if the target has no slow start.
	ReadySince int64
}

// Authority reports what this instance is allowed to do. It is checked for each
// request and must be safe for concurrent use.
type Authority interface {
	// MayServe reports whether this instance may take requests right now. Unlike
	// Snapshot.Serving, it is correct at once after a pause of the process.
	MayServe() bool
	// ControlsTarget reports whether this instance is in contact with a majority of its
	// cell and controls the target under the term right now. A target of a service
	// with leases must also hold its lease. The target's ID is "service/target".
	ControlsTarget(target string, term uint64) bool
	// MayRun reports in addition whether the target holds the partition at the
	// epoch under a lease that has not expired.
	MayRun(target string, term uint64, partition int, epoch uint64) bool
}

// AtomicSnapshot holds the current snapshot and notifies watchers when it is
// replaced. The zero value holds a snapshot that is not serving. It is safe for
// concurrent use.
type AtomicSnapshot struct {
	p atomic.Pointer[publishedSnapshot]
}

type publishedSnapshot struct {
	snapshot *Snapshot
	replaced chan struct{}
}

// Load returns the current snapshot, never nil.
func (a *AtomicSnapshot) Load() *Snapshot {
	s, _ := a.Watch()
	return s
}

// Watch returns the current snapshot, never nil, and a channel that is closed
// when another snapshot replaces it.
func (a *AtomicSnapshot) Watch() (*Snapshot, <-chan struct{}) {
	p := a.p.Load()
	if p == nil {
		a.p.CompareAndSwap(nil, &publishedSnapshot{&Snapshot{Reason: "no table yet"}, make(chan struct{})})
		p = a.p.Load()
	}
	return p.snapshot, p.replaced
}

// Store publishes a snapshot, which must not be changed afterwards, and notifies
// the watchers of the previous one.
func (a *AtomicSnapshot) Store(s *Snapshot) {
	if old := a.p.Swap(&publishedSnapshot{s, make(chan struct{})}); old != nil {
		close(old.replaced)
	}
}
