// Package route holds the snapshot from which requests are routed. The control
// loop publishes a new snapshot with every change; requests read it without locks.
package route

import (
	"sync/atomic"

	"github.com/boragegate/boragegate/placement"
	"github.com/boragegate/boragegate/table"
)

// Snapshot is one consistent view of table, assignments and controllers. It is
// not changed after it was published.
type Snapshot struct {
	TableVersion uint64
	// Serving is false when the instance must not take requests, for Reason.
	Serving  bool
	Reason   string
	Services map[string]*Service
}

// Service is the routing view of one service.
type Service struct {
	table.Service
	// Assignment is nil until the instance knows one.
	Assignment *placement.Assignment
	// Owners has the target of each index of Assignment.Targets; nil for a
	// target that the table no longer has.
	Owners []*Target
	// Targets are the targets in table order.
	Targets []*Target
}

// Target is the routing view of one target.
type Target struct {
	Row table.Row
	// Controller is the instance in front of the target; empty if none is known.
	Controller string
	// ForwardAddress is the forward listener of the controller.
	ForwardAddress string
	// Term is the controller's term.
	Term uint64
	// Local says that this instance is the controller.
	Local bool
	// Ready says that the target is believed to be able to serve.
	Ready bool
	// ReadySince is the Unix time in milliseconds at which it became ready, for the ramp.
	ReadySince int64
}

// Authority is checked at the moment of each forwarded request.
type Authority interface {
	// MayServe reports whether this instance may take requests right now. Unlike
	// Snapshot.Serving it holds at once after a pause of the process.
	MayServe() bool
	// MayForward reports whether this instance is in contact and controls the
	// target under the term right now.
	MayForward(target string, term uint64) bool
	// MayRun reports in addition whether the target holds the partition at the
	// epoch under a lease that has not lapsed.
	MayRun(target string, term uint64, partition int, epoch uint64) bool
}

// AtomicSnapshot publishes snapshots.
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
// when another snapshot has replaced it.
func (h *AtomicSnapshot) Watch() (*Snapshot, <-chan struct{}) {
	p := h.p.Load()
	if p == nil {
		h.p.CompareAndSwap(nil, &publishedSnapshot{&Snapshot{Reason: "no table yet"}, make(chan struct{})})
		p = h.p.Load()
	}
	return p.snapshot, p.replaced
}

// Store publishes a snapshot.
func (h *AtomicSnapshot) Store(s *Snapshot) {
	if old := h.p.Swap(&publishedSnapshot{s, make(chan struct{})}); old != nil {
		close(old.replaced)
	}
}
