package ownership

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/placement"
	"github.com/boragegate/boragegate/store"
)

// serviceState is what a member knows about the assignment of a leased service.
type serviceState struct {
	name string
	// Newest active assignment; nil until one is received.
	assignment  *placement.Assignment
	provisional bool
	// Highest proposed assignment that this member has acknowledged and that is not known to
	// be active.
	proposal *placement.Assignment
	object   *storeObject
	// Newest assignment read from the store.
	stored                  *placement.Assignment
	nextAssignmentRequestAt lease.Instant
	// Highest assignment version reported in heartbeat acknowledgements, by member.
	ackedVersions map[string]uint64
}

// service returns the state of a leased service and creates it if needed.
func (c *Core) service(name string) *serviceState {
	s := c.services[name]
	if s == nil {
		s = &serviceState{
			name:          name,
			object:        &storeObject{kind: kindAssignment, name: c.cfg.Cell + "." + name, service: name},
			ackedVersions: map[string]uint64{},
		}
		c.services[name] = s
		c.serviceOrder = append(c.serviceOrder, s)
		slices.SortFunc(c.serviceOrder, func(a, b *serviceState) int { return strings.Compare(a.name, b.name) })
	}
	return s
}

func (s *serviceState) version() uint64 {
	if s.assignment == nil {
		return 0
	}
	return s.assignment.Version
}

// highest returns the highest version that is active at this member or that it has
// acknowledged as a proposal.
func (s *serviceState) highest() uint64 {
	if s.proposal != nil {
		return max(s.proposal.Version, s.version())
	}
	return s.version()
}

// newest returns the assignment with the highest version, active or proposed.
func (s *serviceState) newest() *placement.Assignment {
	if s.proposal != nil && s.proposal.Version > s.version() {
		return s.proposal
	}
	return s.assignment
}

// acceptProposal stores a proposal and reports whether it is accepted. A proposal older
// than the highest known version is not.
func (s *serviceState) acceptProposal(a *placement.Assignment) bool {
	if a.Version < s.highest() {
		return false
	}
	if a.Version > s.highest() {
		s.proposal = a
	}
	return true
}

func (s *serviceState) recordAckedVersion(from string, version uint64) {
	if version > s.ackedVersions[from] {
		s.ackedVersions[from] = version
	}
}

// adoptAssignment replaces the active assignment if the given one is newer. Receiving the
// current version as not provisional ends the provisional state.
func (c *Core) adoptAssignment(a *placement.Assignment, provisional bool) {
	s := c.service(a.Service)
	if a.Version <= s.version() && !c.cfg.faults.noEpochOrder {
		if a.Version == s.version() && !provisional && s.provisional {
			s.provisional, c.viewDirty = false, true
		}
		return
	}
	s.assignment, s.provisional, c.viewDirty = a, provisional, true
	if s.proposal != nil && s.proposal.Version <= a.Version {
		s.proposal = nil
	}
	for _, t := range c.controlledOrder {
		if t.service == a.Service {
			c.onAssignmentChanged(t)
		}
	}
}

func (c *Core) onAssignmentUpdate(from string, m AssignmentUpdate) {
	if m.Full != nil {
		c.adoptAssignment(m.Full, m.Provisional)
		return
	}
	s := c.service(m.Delta.Service)
	if m.Delta.To <= s.version() {
		if m.Delta.To == s.version() && !m.Provisional {
			c.adoptAssignment(s.assignment, false)
		}
		return
	}
	if s.assignment != nil {
		if next, ok := s.assignment.Apply(m.Delta); ok {
			c.adoptAssignment(next, m.Provisional)
			return
		}
	}
	if c.now >= s.nextAssignmentRequestAt {
		s.nextAssignmentRequestAt = c.now + c.cfg.HeartbeatInterval
		c.send(from, AssignmentRequest{Service: s.name})
	}
}

func (c *Core) onAssignmentRequest(from string, m AssignmentRequest) {
	s := c.services[m.Service]
	if s == nil || !c.isMember() {
		return
	}
	if m.Recover > 0 {
		if m.Recover == c.cell.PlannerTerm {
			state := AssignmentState{Service: s.name, Term: m.Recover}
			if s.highest() > m.Have {
				state.Highest = s.newest()
			}
			c.send(from, state)
		}
		return
	}
	if s.assignment != nil {
		c.send(from, AssignmentUpdate{Full: s.assignment, Provisional: s.provisional})
	}
}

func (c *Core) adoptStoredAssignment(object *storeObject, o store.Object) {
	a := &placement.Assignment{}
	if json.Unmarshal(o.Value, a) != nil || a.Service != object.service || len(a.Owner) != len(a.Epoch) {
		c.log(false, "store.malformed", "kind", o.Kind, "name", o.Name)
		return
	}
	s := c.service(a.Service)
	object.highestStored, object.lastSeen = max(object.highestStored, a.Version), a.Version
	s.stored = a
	if c.planner == nil {
		c.adoptAssignment(a, false)
	}
}
