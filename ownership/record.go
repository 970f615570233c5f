// Package ownership is the control core of one instance: it decides which instance
// controls each target, a backend server in the routing table, and which target owns each
// partition of its service. It keeps both exclusive during network partitions, process
// pauses and failures.
//
// The core is a deterministic state machine. Core.Step takes one event with its time and
// returns the actions to carry out. It performs no I/O, reads no clock, uses no randomness
// and starts no goroutine. A Core must be used by one goroutine at a time.
//
// The instances of a cell are its members. An instance is in contact while a majority of the
// members acknowledges its heartbeats; out of contact, it does not act. A member from which
// no heartbeat arrives is reported silent; it is lost if a majority reports it silent. A
// member that reports another one silent does not acknowledge it for a while (suspension),
// so that a lost member is also out of contact.
//
// The controller of a target grants it the partitions that the assignment gives it. A server
// that checks grants receives them from the controller, with a lease. For a server that does
// not, the controller is the only instance that forwards requests, and only for the granted
// partitions.
//
// One member, the planner, writes the cell record and the assignments of partitions to
// targets. Several numbers order these changes:
//
//   - The planner term increases with every change of the planner. It is the upper 32 bits
//     of the versions of the cell record and of the assignments.
//   - The version of a record or an assignment increases with every change of it.
//   - The term of a target's controller increases whenever another instance, or a new
//     process of the same one, becomes the controller. It is the fencing token of calls to
//     the server.
//   - The epoch of a partition is the assignment version that last assigned it to an owner,
//     which may be the owner that it had before.
//   - The incarnation identifies the process of an instance, the boot ID that of a server.
//
// A new version of a record becomes active once it is in the store. While the store fails, it
// becomes active once a majority of the members has acknowledged it, and is provisional until
// it is known to be in the store. Changes of the members or of the planner, and the first
// version of an assignment in a planner term, always wait for the store.
package ownership

import "slices"

// Member is an instance in a cell.
type Member struct {
	ID             string `json:"id" msgpack:"i"`
	Zone           string `json:"zone" msgpack:"z"`
	PeerAddress    string `json:"peer_address" msgpack:"p"`
	ForwardAddress string `json:"forward_address" msgpack:"f"`
	// Incarnation distinguishes the process of the member from earlier ones with the same
	// ID, whose acknowledgements it does not remember.
	Incarnation string `json:"incarnation,omitempty" msgpack:"n"`
}

// Controller names the instance that controls a target.
type Controller struct {
	// Target is the ID of the target, "service/target".
	Target string `json:"target" msgpack:"t"`
	// Instance is the ID of the member.
	Instance string `json:"instance" msgpack:"i"`
	// Term is the fencing token. It increases whenever a controller is named, also if that is
	// a new process of the same instance.
	Term uint64 `json:"term" msgpack:"n"`
	// MinVersion is the minimum version of the service's assignment that the instance must
	// have before it grants partitions.
	MinVersion uint64 `json:"min_version,omitempty" msgpack:"v"`
}

// Cell is the record of a cell, stored as object "cell/<name>".
type Cell struct {
	Name string `json:"name" msgpack:"c"`
	// Version increases with every change. Its upper 32 bits are PlannerTerm.
	Version uint64 `json:"version" msgpack:"v"`
	// Members is ordered: the order decides which member acts first when the planner is
	// lost.
	Members []Member `json:"members" msgpack:"m"`
	// Planner is the ID of the member that is the planner.
	Planner     string `json:"planner" msgpack:"p"`
	PlannerTerm uint64 `json:"planner_term" msgpack:"n"`
	// Controllers is sorted by target.
	Controllers []Controller `json:"controllers" msgpack:"r"`
}

// Majority returns the number of members that form a majority of the cell.
func (c *Cell) Majority() int { return len(c.Members)/2 + 1 }

// Member returns the member with the given ID, and whether there is one.
func (c *Cell) Member(id string) (Member, bool) {
	i := slices.IndexFunc(c.Members, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return c.Members[i], true
}

// Controller returns the controller of a target, and whether it has one.
func (c *Cell) Controller(target string) (Controller, bool) {
	i := slices.IndexFunc(c.Controllers, func(r Controller) bool { return r.Target == target })
	if i < 0 {
		return Controller{}, false
	}
	return c.Controllers[i], true
}

// Clone returns a deep copy of the record.
func (c *Cell) Clone() *Cell {
	d := *c
	d.Members = slices.Clone(c.Members)
	d.Controllers = slices.Clone(c.Controllers)
	return &d
}
