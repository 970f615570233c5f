package ownership

import (
	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/placement"
)

// recordChange is a new version of a record on its way into force. The store has the
// last word; while it fails, a majority of the members keep the change and it is
// in force provisionally. A change is never abandoned for one that was not
// derived from it, so a provisional version is never reverted.
type recordChange struct {
	object     *storeObject
	cell       *Cell                 // one of cell and a
	assignment *placement.Assignment //
	// delta is the step from the version before, for the members.
	delta placement.Delta
	// moves lists the changes of an assignment for the audit trail.
	moves   string
	base    uint64
	version uint64
	// expectedStored is the version that the store has if it has none of this term.
	expectedStored uint64
	// requiresStore forbids to put the change into force before the store has it.
	requiresStore bool
	// skipsStore forbids writes: a member acts in place of a lost planner.
	skipsStore bool

	acks           map[string]bool
	nextProposalAt lease.Instant
	active         bool
	provisional    bool
}

// done reports whether the store has the change.
func (ch *recordChange) done() bool { return ch.active && !ch.provisional }

// pending reports whether the change is not in force yet.
func (ch *recordChange) pending() bool { return ch != nil && !ch.active }

// advanceChange takes the next step of a change. blocked says that older
// provisional changes have to be written first.
func (c *Core) advanceChange(ch *recordChange, blocked bool) {
	if ch == nil || ch.done() {
		return
	}
	s := ch.object
	if s.highestStored >= ch.version && !ch.skipsStore {
		c.activate(ch, false)
		return
	}
	late := c.checkStoreTimeout(s)
	if !ch.skipsStore && !blocked && s.ready(c.now) {
		switch {
		case !s.wasRead:
			c.readObject(s)
		case s.lastSeen>>32 == ch.version>>32 || s.lastSeen == ch.expectedStored:
			c.writeChange(ch)
		case s.lastSeen > ch.version && c.cellObject.ready(c.now):
			s.retryAt = c.now + c.cfg.StoreRetry
			c.readObject(c.cellObject) // a newer planner has written
		}
	}
	if !ch.active && !ch.requiresStore && (late || blocked || ch.skipsStore) {
		c.proposeChange(ch)
	}
}

func (c *Core) writeChange(ch *recordChange) {
	if ch.cell != nil {
		c.writeObject(ch.object, ch.version, ch.cell)
		return
	}
	c.writeObject(ch.object, ch.version, ch.assignment)
}

// proposeChange asks the members that have not acknowledged the change to keep it.
func (c *Core) proposeChange(ch *recordChange) {
	if c.now < ch.nextProposalAt {
		return
	}
	if ch.acks == nil {
		ch.acks = map[string]bool{c.cfg.Self.ID: true}
		if ch.cell != nil {
			c.cellProposal = ch.cell
		} else {
			c.service(ch.assignment.Service).acceptProposal(ch.assignment)
		}
	}
	ch.nextProposalAt = c.now + c.cfg.HeartbeatInterval
	for _, m := range c.cell.Members {
		if !ch.acks[m.ID] {
			c.send(m.ID, Proposal{Base: ch.base, Cell: ch.cell, Assignment: ch.assignment})
		}
	}
	c.countAcks(ch)
}

func (c *Core) onProposalAck(from string, m ProposalAck) {
	ch := c.takeover.change
	switch {
	case c.planner != nil && m.Service == "":
		ch = c.planner.cellChange
	case c.planner != nil && c.planner.services[m.Service] != nil:
		ch = c.planner.services[m.Service].change
	}
	if ch.pending() && ch.acks != nil && ch.version == m.Version {
		ch.acks[from] = true
		c.countAcks(ch)
	}
}

func (c *Core) countAcks(ch *recordChange) {
	if len(ch.acks) >= c.cell.Majority() && c.inContact() {
		c.activate(ch, true)
	}
}

// activate adopts the change and tells the members.
func (c *Core) activate(ch *recordChange, provisional bool) {
	first := !ch.active
	ch.active, ch.provisional = true, provisional
	if ch.cell != nil {
		old := c.cell
		c.adoptCell(ch.cell, provisional)
		c.broadcastCell(old)
	} else {
		c.adoptAssignment(ch.assignment, provisional)
		d := ch.delta
		if !first {
			d = placement.Delta{Service: ch.assignment.Service, From: ch.version, To: ch.version}
		}
		c.broadcast(AssignmentUpdate{Delta: d, Provisional: provisional})
		fields := []any{"service", ch.assignment.Service, "version", ch.version, "changes", len(ch.delta.Changes), "provisional", provisional}
		if ch.moves != "" {
			fields = append(fields, "moves", ch.moves)
		}
		c.log(!provisional, "assignment.in_force", fields...)
	}
}

// broadcastCell sends the cell record to its members and to those that it lost.
func (c *Core) broadcastCell(old *Cell) {
	m := CellUpdate{Cell: c.cell, Provisional: c.cellProvisional}
	c.broadcast(m)
	for _, o := range old.Members {
		if _, ok := c.cell.Member(o.ID); !ok && o.ID != c.cfg.Self.ID {
			c.emit(SendMessage{To: o, Message: m})
		}
	}
	c.log(!c.cellProvisional, "cell.in_force", "version", c.cell.Version, "provisional", c.cellProvisional)
}
