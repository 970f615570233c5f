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
	// Serving is false while the instance must not take requests; Reason tells why.
	Serving  bool
	Reason   string
	Services map[string]*Service
}

// Service is the routing view of one service.
type Service struct {
	table.Service
	// Assignment is nil until the instance has received one.
	Assignment *placement.Assignment
	// Owners holds the target for each index of Assignment.Targets, nil for a
	// target that is no longer in the table.
	Owners []*Target
	// Targets are the targets in table order.
	Targets []*Target
}

// Target is the routing view of one target.
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
	// for the slow start; 0 if there is none.
	ReadySince int64
}

// Authority tells what this instance is allowed to do. It is checked for each
// request.
type Authority interface {
	// MayServe reports whether this instance may take requests right now. Unlike
	// Snapshot.Serving, it is correct at once after a pause of the process.
	MayServe() bool
	// MayForward reports whether this instance is in contact with a majority of its
	// cell and controls the target under the term right now.
	MayForward(target string, term uint64) bool
	// MayRun reports in addition whether the target holds the partition at the
	// epoch under a lease that has not expired.
	MayRun(target string, term uint64, partition int, epoch uint64) bool
}

// AtomicSnapshot holds the current snapshot and notifies watchers when it is
// replaced. The zero value is ready for use. It is safe for concurrent use.
type AtomicSnapshot struct {
	p atomic.Pointer[publishedSnapshot]
}

type publishedSnapshot struct {
	snapshot *Snapshot
	replaced chan struct{}
}

// Load returns the current snapshot, never nil.
func (h *AtomicSnapshot) Load() *Snapshot {
	s, _ := h.Watch()
	return s
}

// Watch returns the current snapshot, never nil, and a channel that is closed
// when another snapshot replaces it.
func (h *AtomicSnapshot) Watch() (*Snapshot, <-chan struct{}) {
	p := h.p.Load()
	if p == nil {
		h.p.CompareAndSwap(nil, &publishedSnapshot{&Snapshot{Reason: "no table yet"}, make(chan struct{})})
		p = h.p.Load()
	}
	return p.snapshot, p.replaced
}

// Store publishes a snapshot, which must not be changed afterwards, and notifies
// the watchers of the one before.
func (h *AtomicSnapshot) Store(s *Snapshot) {
	if old := h.p.Swap(&publishedSnapshot{s, make(chan struct{})}); old != nil {
		close(old.replaced)
	}
}
