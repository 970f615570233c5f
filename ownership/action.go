package ownership

import (
	"errors"

	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/placement"
	"github.com/boragegate/boragegate/store"
)

// ErrStaleTerm is the error of a call to a backend server that has already seen a higher
// control term.
var ErrStaleTerm = errors.New("backend server has seen a higher term")

// Action is an output of Core.Step. The caller carries out the actions of a step in the
// order returned.
type Action interface{ action() }

// ReadObject reads an object from the store. The result arrives as a StoreReplied event.
type ReadObject struct {
	ID         uint64
	Kind, Name string
}

// WriteObject creates an object if Object.Version is 0, or updates it on condition that the
// store still has Object.Version. The result arrives as a StoreReplied event; after a conflict
// or an unknown outcome it carries the object that is now in the store, if it could be read.
type WriteObject struct {
	ID     uint64
	Object store.Object
}

// SendMessage sends a message to another instance. Delivery is not guaranteed.
type SendMessage struct {
	To      Member
	Message Message
}

// CallServer sends a request to a backend server. The result arrives as a ServerReplied
// event.
type CallServer struct {
	ID uint64
	// Target is the ID of the target, "service/target".
	Target string
	// Address is the host:port of the backend server.
	Address string
	Request ServerRequest
}

// StopAdmission stops admitting requests for partitions of a target at this instance, or
// for the whole target if Partitions is nil. An AdmissionStopped event follows once none of
// the requests admitted before is in flight any more.
type StopAdmission struct {
	Target     string
	Term       uint64
	Partitions []int
}

// PublishRoutes replaces the routing view that requests use.
type PublishRoutes struct{ View *View }

// Stopped reports that a requested stop is complete: this instance controls no target and
// is no longer a member, or it is the only member and cannot hand over.
type Stopped struct{}

// LogEntry is an entry for the log and, if Audit is set, for the audit trail.
type LogEntry struct {
	// Event is a stable name, for example "controller.named".
	Event string
	// Fields holds alternating keys and values.
	Fields []any
	// Audit adds the entry to the audit trail.
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

// View is the routing view published by the core. It is immutable.
type View struct {
	Cell *Cell
	// CellProvisional is set while the cell record is not known to be in the store.
	CellProvisional bool
	// Assignments holds the active assignments by service.
	Assignments map[string]*placement.Assignment
	// ProvisionalServices lists the services whose assignment is not known to be in the store.
	ProvisionalServices []string
	// InContact is set if this instance was in contact with a majority of its cell when the
	// view was published.
	InContact bool
	// Controlled holds the targets controlled by this instance, by target ID.
	Controlled map[string]*ControlledTarget
	// PendingMoves lists planned moves that have not been completed; it is set only at the
	// planner.
	PendingMoves []PendingMove
}

// ControlledTarget is the state of a target at the instance that controls it.
type ControlledTarget struct {
	Target string
	Term   uint64
	State  TargetState
	// Granted maps each granted partition to its epoch. If the server checks grants, it has
	// confirmed them.
	Granted map[int]uint64
	BootID  string
	// LeaseUntil is the time by which the lease has certainly ended, as known at publication,
	// or 0 if the server does not check grants. Renewals extend it through ExtendLease.
	LeaseUntil lease.Instant
}

// PendingMove is a planned move with the reason why it has not been completed.
type PendingMove struct {
	Service   string
	Partition int
	From, To  string
	Reason    string
}

// ExtendContact sets the time until which this instance counts as in contact with a
// majority of its cell. An Until in the past ends the contact.
type ExtendContact struct{ Until lease.Instant }

func (ExtendContact) action() {}

// ExtendLease sets the time by which the lease of a target controlled by this instance has
// certainly ended, on this instance's clock. The lease ends at the server before that.
type ExtendLease struct {
	Target string
	Term   uint64
	Until  lease.Instant
}

func (ExtendLease) action() {}
