package ownership

import (
	"time"

	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/placement"
	"github.com/boragegate/boragegate/store"
	"github.com/boragegate/boragegate/table"
)

// Event is an input of Core.Step.
type Event interface{ event() }

// Tick advances the time. The caller sends one at least every Config.TickInterval.
type Tick struct{}

// TableObserved reports a version of the routing table that this instance has adopted. The
// table lists the services and their targets.
type TableObserved struct{ Table *table.Table }

// InstancesListed reports the platform's list of instances, which may be out of date.
type InstancesListed struct{ Instances []store.Instance }

// MessageReceived is a message from another instance, whose authenticated ID is From.
type MessageReceived struct {
	From    string
	Message Message
}

// StoreReplied is the result of a ReadObject or WriteObject action.
type StoreReplied struct {
	// ID is the ID of the action.
	ID uint64
	// Object is the object that is now in the store, if known.
	Object store.Object
	// Err is nil or wraps one of the errors of package store.
	Err error
}

// ServerReplied is the result of a CallServer action.
type ServerReplied struct {
	ID     uint64
	Target string
	Reply  ServerReply
	// Err is nil, ErrStaleTerm or a transport error.
	Err error
}

// AdmissionStopped reports that no request for the partitions of a StopAdmission action is
// in flight at this instance any more.
type AdmissionStopped struct {
	Target     string
	Term       uint64
	Partitions []int
}

// LoadObserved reports the load of targets controlled by this instance.
type LoadObserved struct{ Reports []LoadReport }

// HealthObserved reports the health of a target to its controller. It is used for targets
// whose server does not check grants.
type HealthObserved struct {
	Target string
	Up     bool
}

// StopRequested asks the instance to hand over all targets and roles before a planned
// stop.
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

// LoadReport is the load of one target over the last load interval. Its encoding in
// messages is defined in loadencoding.go.
type LoadReport struct {
	Target string
	// Partitions holds the load by partition: the average number of slots that its requests
	// occupy.
	Partitions []PartitionLoad
	// HotKeys holds the keys with the highest load, at most 32.
	HotKeys []KeyLoad
}

// PartitionLoad is the load of one partition: the average number of slots that its requests
// occupy. Messages encode the load as a 4-byte float.
type PartitionLoad struct {
	Partition int
	Load      float64
}

// KeyLoad is the load of one key: the average number of slots that its requests occupy.
type KeyLoad struct {
	Key       string  `msgpack:"k"`
	Partition int     `msgpack:"p"`
	Load      float64 `msgpack:"l"`
}

// PartitionRange is an inclusive range of partitions that have the same epoch.
type PartitionRange struct {
	From  int    `json:"from"`
	To    int    `json:"to"`
	Epoch uint64 `json:"epoch,omitempty"`
}

// ServerRequest is a request to a backend server.
type ServerRequest struct {
	// Release selects a release request; otherwise it is a lease request.
	Release bool   `json:"-"`
	Service string `json:"service"`
	// Target is the name of the target without its service.
	Target string `json:"target"`
	// Term is the term of the sender as controller of the target.
	Term uint64 `json:"term"`
	// BootID names the server's process that sent AnsweredStamp. Both are empty in a request
	// that does not renew the lease.
	BootID        string      `json:"boot,omitempty"`
	AnsweredStamp lease.Stamp `json:"answers,omitempty"`
	// LeaseMS is the duration of the lease in milliseconds; 0 in a release request.
	LeaseMS int64 `json:"lease_ms,omitempty"`
	// WaitMS is the time in milliseconds for which the server delays its reply.
	WaitMS int64 `json:"wait_ms,omitempty"`
	// SetVersion is the version, after this request, of the grant set: the set of partitions
	// that are granted to the server, with their epochs. A request that does not change the set
	// has the newest confirmed version.
	SetVersion uint64 `json:"set"`
	// Replace means that Grants is the whole grant set. Otherwise Grants are added to the set
	// and Removals are removed from it.
	Replace  bool             `json:"replace,omitempty"`
	Grants   []PartitionRange `json:"grants,omitempty"`
	Removals []PartitionRange `json:"removals,omitempty"`
	// Timeout is the time after which the call fails. It is not sent.
	Timeout time.Duration `json:"-"`
}

// ServerReply is the reply of a backend server.
type ServerReply struct {
	// BootID identifies the server's process.
	BootID string `json:"boot"`
	// Stamp is the time on the server's clock.
	Stamp lease.Stamp `json:"stamp"`
	// Term is the highest term that the server has seen.
	Term uint64 `json:"term"`
	// SetVersion is the version of the grant set at the server.
	SetVersion uint64 `json:"set"`
	// MaxEpoch is the highest epoch that the server has seen.
	MaxEpoch uint64 `json:"max_epoch"`
	// InFlight is the number of requests in flight at the server.
	InFlight int `json:"in_flight,omitempty"`
	// State is "starting" for a server that is not ready, and "draining" for one that wants to
	// be drained.
	State string `json:"state"`
	// Released means that the partitions of a release request have no request in flight.
	Released bool `json:"released,omitempty"`
}

// Message is a control message between instances.
type Message interface{ message() }

// Heartbeat asks a member for an acknowledgement.
type Heartbeat struct {
	// Stamp is the time on the sender's clock.
	Stamp lease.Stamp `msgpack:"s"`
	// CellVersion is the version of the sender's cell record.
	CellVersion uint64 `msgpack:"c"`
	// Incarnation identifies the sender's process.
	Incarnation string `msgpack:"n"`
	// InContact is set while the sender is in contact with a majority.
	InContact bool `msgpack:"o"`
}

// HeartbeatAck acknowledges a heartbeat.
type HeartbeatAck struct {
	// Stamp is copied from the heartbeat.
	Stamp lease.Stamp `msgpack:"s"`
	// CellVersion is the highest version of the cell record that the sender has adopted or
	// acknowledged as a proposal.
	CellVersion uint64 `msgpack:"c"`
	// Silent lists the members that the sender reports silent.
	Silent []string `msgpack:"l,omitempty"`
	// SilentFor holds the duration of the silence of each of them, in the same order.
	SilentFor []time.Duration `msgpack:"f,omitempty"`
	// Assignments holds the highest assignment version that the sender has adopted or
	// acknowledged as a proposal, by service. It may be omitted if it has not changed since an
	// earlier acknowledgement to the same member.
	Assignments map[string]uint64 `msgpack:"a,omitempty"`
}

// JoinRequest asks the planner to add the sender to the cell.
type JoinRequest struct {
	Member Member `msgpack:"m"`
}

// LeaveRequest asks the planner to hand over everything that the sender controls and to
// remove it from the cell.
type LeaveRequest struct{}

// CellUpdate carries the cell record.
type CellUpdate struct {
	Cell *Cell `msgpack:"c"`
	// Provisional is set while this version is not known to be in the store.
	Provisional bool `msgpack:"p"`
}

// AssignmentUpdate carries a full assignment or, if Full is nil, the difference from an
// earlier version. Provisional is set while this version is not known to be in the store.
type AssignmentUpdate struct {
	Full        *placement.Assignment `msgpack:"f"`
	Delta       placement.Delta       `msgpack:"d"`
	Provisional bool                  `msgpack:"p"`
}

// AssignmentRequest asks a member for a full assignment. If Recover is not 0, it is the
// term of a new planner that also needs the highest proposal; the reply is an
// AssignmentState.
type AssignmentRequest struct {
	Service string `msgpack:"s"`
	Recover uint64 `msgpack:"r,omitempty"`
	// Have is the highest version that the new planner already has.
	Have uint64 `msgpack:"h,omitempty"`
}

// AssignmentState is the reply to an AssignmentRequest of a new planner. A member that has
// sent it accepts no proposals of older planners.
type AssignmentState struct {
	Service string `msgpack:"s"`
	Term    uint64 `msgpack:"n"`
	// Highest is the highest assignment that the member has received or acknowledged. It is
	// nil if there is none or if the new planner already has this version or a higher one.
	Highest *placement.Assignment `msgpack:"f"`
}

// Proposal asks a member to keep a record that could not be written to the store. The
// record becomes active provisionally once a majority has acknowledged it.
type Proposal struct {
	// Base is the version from which the record was derived.
	Base       uint64                `msgpack:"b"`
	Cell       *Cell                 `msgpack:"c,omitempty"`
	Assignment *placement.Assignment `msgpack:"a,omitempty"`
}

// ProposalAck acknowledges a Proposal. Service is empty for the cell record.
type ProposalAck struct {
	Service string `msgpack:"s"`
	Version uint64 `msgpack:"v"`
}

// ControlEnded informs the new controller of a target that the sender, the previous one,
// has no request in flight any more.
type ControlEnded struct {
	Target string `msgpack:"t"`
	// Term is the term in which the sender controlled the target.
	Term uint64 `msgpack:"n"`
}

// ReleaseRequest asks the controller of a target to release partitions.
type ReleaseRequest struct {
	Target string `msgpack:"t"`
	// Term is the term of the controller.
	Term       uint64 `msgpack:"n"`
	Partitions []int  `msgpack:"p"`
}

// TargetState is the state of a target as known to its controller.
type TargetState string

// Target states.
const (
	// TargetUnknown is the initial state: the target may still have a lease from a previous
	// controller or run requests of one, or its server is starting. A target returns to this
	// state if its server has seen a higher term, since another controller then renews the
	// lease.
	TargetUnknown TargetState = "unknown"
	// TargetHeld means that the target responds and holds its lease. A target without a lease,
	// because its server does not check grants or its service needs no leases, is in this
	// state while its controller forwards requests to it.
	TargetHeld TargetState = "held"
	// TargetExpired means that the lease of the target has certainly ended. A target whose
	// server does not check grants is in this state when it is down and its controller has
	// no request for it in flight any more.
	TargetExpired TargetState = "lapsed"
)

// TargetReport reports the state of a target to the planner.
type TargetReport struct {
	Target string `msgpack:"t"`
	// Term is the term of the sender as controller of the target.
	Term  uint64      `msgpack:"n"`
	State TargetState `msgpack:"s"`
	// BootID identifies the server's process. It is empty until the server has replied.
	BootID string `msgpack:"b"`
	// MaxEpoch is the highest epoch that the server has seen, as far as the sender knows.
	MaxEpoch uint64 `msgpack:"e"`
	// ReleasedPartitions lists the released partitions: they are not granted to the server
	// any more and have no request in flight.
	ReleasedPartitions []int `msgpack:"r,omitempty"`
	// Draining is set if the server has asked to be drained.
	Draining bool `msgpack:"d,omitempty"`
	// Version is the assignment version at the controller. State and ReleasedPartitions do
	// not cover partitions with a higher epoch.
	Version uint64 `msgpack:"v"`
	// SeenTerm is a higher term that the server has seen, or 0.
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
