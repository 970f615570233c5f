package ownership

import (
	"errors"

	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/placement"
	"github.com/boragegate/boragegate/store"
)

// ErrStaleTerm means that a server has seen a higher term.
var ErrStaleTerm = errors.New("term is stale")

// Action is an output of Step, carried out by the runner in the order given.
type Action interface{ action() }

// ReadObject reads an object from the store; the result is a StoreReplied.
type ReadObject struct {
	ID         uint64
	Kind, Name string
}

// WriteObject creates (Version 0) or conditionally updates an object; the
// result is a StoreReplied. After a conflict or an unknown outcome the result
// carries the object that the store has now, if it could be read.
type WriteObject struct {
	ID     uint64
	Object store.Object
}

// SendMessage sends a message to a peer. It may be lost.
type SendMessage struct {
	To      Member
	Message Message
}

// CallServer calls a backend server; the result is a ServerReplied.
type CallServer struct {
	ID     uint64
	Target string
	// Address is the host:port of the server.
	Address string
	Request ServerRequest
}

// StopAdmission stops new requests for the partitions of a target at this
// instance; the result is an AdmissionStopped when none is in flight.
type StopAdmission struct {
	Target     string
	Term       uint64
	Partitions []int
}

// PublishRoutes makes a new routing view visible to requests.
type PublishRoutes struct{ View *View }

// Stopped reports that a requested stop is complete: this instance controls
// nothing and is no longer a member.
type Stopped struct{}

// LogEntry is one entry for log and audit trail.
type LogEntry struct {
	// Event is a stable name, for example "partition.moved".
	Event string
	// Fields are alternating keys and values.
	Fields []any
	// Audit says that the entry belongs into the audit trail.
	Audit bool
}

func (ReadObject) action()    {}
func (WriteObject) action()   {}
func (SendMessage) action()   {}
func (CallServer) action()    {}
func (StopAdmission) action() {}
func (PublishRoutes) action() {}
func (Stopped) action()       {}
func (LogEntry) action()      {}

// View is the routing view that the core publishes. It is not changed afterwards.
type View struct {
	Cell *Cell
	// CellProvisional says that the store does not have the cell record yet.
	CellProvisional bool
	// Assignments by service.
	Assignments map[string]*placement.Assignment
	// ProvisionalServices lists the services whose assignment the store does not have yet.
	ProvisionalServices []string
	// InContact says that this instance reaches a majority of its cell.
	InContact bool
	// Controlled are the targets that this instance controls, with the lease's end and
	// the partitions that the server has confirmed.
	Controlled map[string]*ControlledTarget
	// PendingMoves are planned moves that have not happened yet, at the planner only.
	PendingMoves []PendingMove
}

// ControlledTarget is the state of a target at its controller.
type ControlledTarget struct {
	Target string
	Term   uint64
	State  TargetState
	// Granted has the epoch of each partition that the server has confirmed.
	Granted map[int]uint64
	BootID  string
	// LeaseUntil is the end of the lease when the view was published; 0 if the
	// server does not check grants. Renewals extend it: see ExtendLease.
	LeaseUntil lease.Instant
}

// PendingMove is a planned move and why it waits.
type PendingMove struct {
	Service   string
	Partition int
	From, To  string
	Reason    string
}

// ExtendContact moves the end of the time in which this instance counts as in
// contact with a majority. An Until in the past ends the contact.
type ExtendContact struct{ Until lease.Instant }

func (ExtendContact) action() {}

// ExtendLease moves the end of the lease of a target that this instance
// controls, as the controller counts it.
type ExtendLease struct {
	Target string
	Term   uint64
	Until  lease.Instant
}

func (ExtendLease) action() {}
