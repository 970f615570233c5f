package ownership

import (
	"time"

	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/placement"
	"github.com/boragegate/boragegate/store"
	"github.com/boragegate/boragegate/table"
)

// Event is an input of Step.
type Event interface{ event() }

// Tick lets time pass. The runner sends one at least every Config.TickInterval.
type Tick struct{}

// TableObserved reports a version of the table that this instance has adopted.
type TableObserved struct{ Table *table.Table }

// InstancesListed reports the platform's lagging list of instances.
type InstancesListed struct{ Instances []store.Instance }

// MessageReceived is a message from a peer, authenticated as From.
type MessageReceived struct {
	From    string
	Message Message
}

// StoreReplied is the result of a ReadObject or WriteObject action.
type StoreReplied struct {
	// ID is the ID of the action.
	ID uint64
	// Object is what the store has now, if known.
	Object store.Object
	// Err is nil or wraps one of the errors of package store.
	Err error
}

// ServerReplied is the result of a CallServer action.
type ServerReplied struct {
	ID     uint64
	Target string
	Reply  ServerReply
	// Err is nil, ErrStaleTerm, or the error of the transport.
	Err error
}

// AdmissionStopped reports that no request is in flight at this instance for
// the partitions of a StopAdmission action.
type AdmissionStopped struct {
	Target     string
	Term       uint64
	Partitions []int
}

// LoadObserved reports the load of targets that this instance controls.
type LoadObserved struct{ Reports []LoadReport }

// HealthObserved reports the health of a target whose server does not check
// grants, at its controller.
type HealthObserved struct {
	Target string
	Up     bool
}

// StopRequested asks the instance to hand over everything before a planned stop.
type StopRequested struct{}

func (Tick) event()             {}
func (TableObserved) event()    {}
func (InstancesListed) event()  {}
func (MessageReceived) event()  {}
func (StoreReplied) event()     {}
func (ServerReplied) event()    {}
func (AdmissionStopped) event() {}
func (LoadObserved) event()     {}
func (HealthObserved) event()   {}
func (StopRequested) event()    {}

// LoadReport is the load of one target over the last interval. Its form in
// messages is in loadencoding.go.
type LoadReport struct {
	Target string
	// Load is requests per second weighted by their time in a slot, by partition.
	Partitions []PartitionLoad
	// HotKeys are the keys with the largest load, at most 32.
	HotKeys []KeyLoad
}

// PartitionLoad is the load of one partition in slot-seconds per second. A
// message carries it as a 4-byte float.
type PartitionLoad struct {
	Partition int
	Load      float64
}

// KeyLoad is the load of one key in slot-seconds per second.
type KeyLoad struct {
	Key       string  `msgpack:"k"`
	Partition int     `msgpack:"p"`
	Load      float64 `msgpack:"l"`
}

// PartitionRange is an inclusive range of partitions with one epoch.
type PartitionRange struct {
	From  int    `json:"from"`
	To    int    `json:"to"`
	Epoch uint64 `json:"epoch,omitempty"`
}

// ServerRequest is a call of the backend contract.
type ServerRequest struct {
	// Release selects the release call; otherwise the lease call.
	Release       bool             `json:"-"`
	Service       string           `json:"service"`
	Target        string           `json:"target"`
	Term          uint64           `json:"term"`
	BootID        string           `json:"boot,omitempty"`
	AnsweredStamp lease.Stamp      `json:"answers,omitempty"`
	LeaseMS       int64            `json:"lease_ms,omitempty"`
	WaitMS        int64            `json:"wait_ms,omitempty"`
	SetVersion    uint64           `json:"set"`
	Replace       bool             `json:"replace,omitempty"`
	Grants        []PartitionRange `json:"grants,omitempty"`
	Removals      []PartitionRange `json:"removals,omitempty"`
	Timeout       time.Duration    `json:"-"`
}

// ServerReply is the answer of a backend server.
type ServerReply struct {
	BootID     string      `json:"boot"`
	Stamp      lease.Stamp `json:"stamp"`
	Term       uint64      `json:"term"`
	SetVersion uint64      `json:"set"`
	MaxEpoch   uint64      `json:"max_epoch"`
	InFlight   int         `json:"in_flight,omitempty"`
	State      string      `json:"state"`
	Released   bool        `json:"released,omitempty"`
}

// Message is a control message between instances.
type Message interface{ message() }

// Heartbeat asks for an acknowledgement.
type Heartbeat struct {
	// Stamp is the sender's own time.
	Stamp lease.Stamp `msgpack:"s"`
	// CellVersion is the version of the cell record that the sender has.
	CellVersion uint64 `msgpack:"c"`
	// Incarnation is that of the sender's process.
	Incarnation string `msgpack:"n"`
	// InContact says that the sender is in contact with a majority.
	InContact bool `msgpack:"o"`
}

// HeartbeatAck acknowledges a heartbeat.
type HeartbeatAck struct {
	// Stamp is the stamp of the heartbeat.
	Stamp       lease.Stamp `msgpack:"s"`
	CellVersion uint64      `msgpack:"c"`
	// Silent are the members that the sender reports silent.
	Silent []string `msgpack:"l,omitempty"`
	// SilentFor is the time for which nothing was heard of each of them.
	SilentFor []time.Duration `msgpack:"f,omitempty"`
	// Assignments has the highest version of each service's assignment that the
	// sender has; absent if they are as in an earlier ack.
	Assignments map[string]uint64 `msgpack:"a,omitempty"`
}

// JoinRequest asks the planner to add the sender to the cell.
type JoinRequest struct {
	Member Member `msgpack:"m"`
}

// LeaveRequest asks the planner to hand over everything of the sender and to
// remove it from the cell.
type LeaveRequest struct{}

// CellUpdate carries the cell record.
type CellUpdate struct {
	Cell *Cell `msgpack:"c"`
	// Provisional says that the store does not have this version yet.
	Provisional bool `msgpack:"p"`
}

// AssignmentUpdate carries a whole assignment or, if Full is nil, a step.
type AssignmentUpdate struct {
	Full        *placement.Assignment `msgpack:"f"`
	Delta       placement.Delta       `msgpack:"d"`
	Provisional bool                  `msgpack:"p"`
}

// AssignmentRequest asks a peer for a whole assignment. If Recover is not 0, the
// sender is a new planner in that term and wants the highest proposal too; the
// answer is an AssignmentState.
type AssignmentRequest struct {
	Service string `msgpack:"s"`
	Recover uint64 `msgpack:"r,omitempty"`
	// Have is the version that the new planner has.
	Have uint64 `msgpack:"h,omitempty"`
}

// AssignmentState answers an AssignmentRequest of a new planner. A member that
// has sent it accepts no proposal of an older planner.
type AssignmentState struct {
	Service string `msgpack:"s"`
	Term    uint64 `msgpack:"n"`
	// Highest is nil if the new planner has it already.
	Highest *placement.Assignment `msgpack:"f"`
}

// Proposal asks a member to keep a record that the store could not take. The
// record is provisional once a majority has acknowledged it.
type Proposal struct {
	// Base is the version that the record was derived from.
	Base       uint64                `msgpack:"b"`
	Cell       *Cell                 `msgpack:"c,omitempty"`
	Assignment *placement.Assignment `msgpack:"a,omitempty"`
}

// ProposalAck acknowledges a Proposal. Service is empty for the cell record.
type ProposalAck struct {
	Service string `msgpack:"s"`
	Version uint64 `msgpack:"v"`
}

// ControlEnded tells the new controller of a target that its sender, the old
// one, has nothing in flight any more.
type ControlEnded struct {
	Target string `msgpack:"t"`
	Term   uint64 `msgpack:"n"`
}

// ReleaseRequest asks the controller of a target to release partitions.
type ReleaseRequest struct {
	Target     string `msgpack:"t"`
	Term       uint64 `msgpack:"n"`
	Partitions []int  `msgpack:"p"`
}

// TargetState is what a controller knows of its target.
type TargetState string

// Target states.
const (
	// TargetUnknown means that the controller has not heard of the target yet.
	TargetUnknown TargetState = "unknown"
	// TargetHeld means that the target answers and holds its lease.
	TargetHeld TargetState = "held"
	// TargetLapsed means that the target holds no lease for certain.
	TargetLapsed TargetState = "lapsed"
)

// TargetReport tells the planner about a target.
type TargetReport struct {
	Target   string      `msgpack:"t"`
	Term     uint64      `msgpack:"n"`
	State    TargetState `msgpack:"s"`
	BootID   string      `msgpack:"b"`
	MaxEpoch uint64      `msgpack:"e"`
	// ReleasedPartitions are partitions that the target no longer owns and that have no request in flight.
	ReleasedPartitions []int `msgpack:"r,omitempty"`
	// Draining says that the server asked to leave.
	Draining bool `msgpack:"d,omitempty"`
	// Version is the version of the assignment that the controller has. State and
	// Released do not cover partitions with a later epoch.
	Version uint64 `msgpack:"v"`
	// SeenTerm is a higher term that the server has seen.
	SeenTerm uint64 `msgpack:"h,omitempty"`
}

// LoadUpdate carries load reports to the planner.
type LoadUpdate struct {
	Reports []LoadReport `msgpack:"r"`
}

func (Heartbeat) message()         {}
func (HeartbeatAck) message()      {}
func (JoinRequest) message()       {}
func (LeaveRequest) message()      {}
func (CellUpdate) message()        {}
func (AssignmentUpdate) message()  {}
func (AssignmentRequest) message() {}
func (ReleaseRequest) message()    {}
func (TargetReport) message()      {}
func (LoadUpdate) message()        {}
func (AssignmentState) message()   {}
func (Proposal) message()          {}
func (ProposalAck) message()       {}
func (ControlEnded) message()      {}
