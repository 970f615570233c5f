// Package ownership is the control core of one instance: it decides which
// instance controls each target and which target owns each partition, and keeps
// that exclusive under partitions, pauses and losses.
//
// The core is a deterministic step function. Step takes one event with its
// time and returns the actions to carry out. It does no I/O, reads no clock,
// uses no randomness and starts no goroutine. One goroutine owns a Core.
package ownership

import "slices"

// Member is an instance in a cell.
type Member struct {
	ID             string `json:"id" msgpack:"i"`
	Zone           string `json:"zone" msgpack:"z"`
	PeerAddress    string `json:"peer_address" msgpack:"p"`
	ForwardAddress string `json:"forward_address" msgpack:"f"`
	// Incarnation tells the process of the member from earlier ones with the same
	// ID, which have forgotten what they acknowledged.
	Incarnation string `json:"incarnation,omitempty" msgpack:"n"`
}

// Controller names the instance in front of a target.
type Controller struct {
	// Target is "service/target".
	Target string `json:"target" msgpack:"t"`
	// Instance is the ID of the member.
	Instance string `json:"instance" msgpack:"i"`
	// Term is the fencing token; it rises with every change of the instance.
	Term uint64 `json:"term" msgpack:"n"`
	// MinVersion is the version of the service's assignment that the instance needs
	// before it grants anything.
	MinVersion uint64 `json:"min_version,omitempty" msgpack:"v"`
}

// Cell is the record of a cell: object "cell/<name>" in the store.
type Cell struct {
	Name string `json:"name" msgpack:"c"`
	// Version rises with every change. Its upper 32 bits are PlannerTerm.
	Version uint64 `json:"version" msgpack:"v"`
	// Members in order; the order decides who acts first when the planner is lost.
	Members []Member `json:"members" msgpack:"m"`
	// Planner is the ID of the member that plans.
	Planner     string `json:"planner" msgpack:"p"`
	PlannerTerm uint64 `json:"planner_term" msgpack:"n"`
	// Controllers are ordered by target.
	Controllers []Controller `json:"controllers" msgpack:"r"`
}

// Majority is the number of members that make a majority of the cell.
func (c *Cell) Majority() int { return len(c.Members)/2 + 1 }

// Member returns the member with that ID.
func (c *Cell) Member(id string) (Member, bool) {
	i := slices.IndexFunc(c.Members, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return c.Members[i], true
}

// Controller returns the controller of a target.
func (c *Cell) Controller(target string) (Controller, bool) {
	i := slices.IndexFunc(c.Controllers, func(r Controller) bool { return r.Target == target })
	if i < 0 {
		return Controller{}, false
	}
	return c.Controllers[i], true
}

// Clone returns a deep copy.
func (c *Cell) Clone() *Cell {
	d := *c
	d.Members = slices.Clone(c.Members)
	d.Controllers = slices.Clone(c.Controllers)
	return &d
}
