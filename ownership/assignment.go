package ownership

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/placement"
	"github.com/boragegate/boragegate/store"
)

// serviceState is what a member knows of the assignment of a leased service.
type serviceState struct {
	name string
	// assignment is the newest assignment in force; nil until one is known.
	assignment  *placement.Assignment
	provisional bool
	// proposal is the highest assignment that was acknowledged but is not known to be in force.
	proposal *placement.Assignment
	object   *storeObject
	// stored is the newest assignment read from the store.
	stored        *placement.Assignment
	nextRequestAt lease.Instant
	// ackedVersions heard in acknowledgements, by member.
	ackedVersions map[string]uint64
}

// service returns the state of a leased service, which it creates if needed.
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

// highest is the highest version in force or acknowledged.
func (s *serviceState) highest() uint64 {
	if s.proposal != nil {
		return max(s.proposal.Version, s.version())
	}
	return s.version()
}

// newest returns the assignment of the highest version, in force or not.
func (s *serviceState) newest() *placement.Assignment {
	if s.proposal != nil && s.proposal.Version > s.version() {
		return s.proposal
	}
	return s.assignment
}

// acceptProposal stores a proposal unless it is older than what is known.
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

// adoptAssignment takes an assignment if it is newer.
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
	for _, h := range c.controlledOrder {
		if h.service == a.Service {
			c.onAssignmentChanged(h)
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
	if c.now >= s.nextRequestAt {
		s.nextRequestAt = c.now + c.cfg.HeartbeatInterval
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

func (c *Core) adoptStoredAssignment(sl *storeObject, o store.Object) {
	a := &placement.Assignment{}
	if json.Unmarshal(o.Value, a) != nil || a.Service != sl.service || len(a.Owner) != len(a.Epoch) {
		c.log(false, "store.malformed", "kind", o.Kind, "name", o.Name)
		return
	}
	s := c.service(a.Service)
	sl.highestStored, sl.lastSeen = max(sl.highestStored, a.Version), a.Version
	s.stored = a
	if c.planner == nil {
		c.adoptAssignment(a, false)
	}
}
