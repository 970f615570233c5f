package ownership

import (
	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/placement"
)

// change is a new version of a record on its way into force. The store has the
// last word; while it fails, a majority of the members keep the change and it is
// in force provisionally. A change is never abandoned for one that was not
// derived from it, so a provisional version is never reverted.
type change struct {
	slot *slot
	cell *Cell                 // one of cell and a
	a    *placement.Assignment //
	// delta is the step from the version before, for the members.
	delta placement.Delta
	// moves lists the changes of an assignment for the audit trail.
	moves   string
	base    uint64
	version uint64
	// expect is the version that the store has if it has none of this term.
	expect uint64
	// storeOnly forbids to put the change into force before the store has it.
	storeOnly bool
	// proposeOnly forbids writes: a member acts in place of a lost planner.
	proposeOnly bool

	acks        map[string]bool
	proposeAt   lease.Instant
	inForce     bool
	provisional bool
}

// done reports whether the store has the change.
func (ch *change) done() bool { return ch.inForce && !ch.provisional }

// pending reports whether the change is not in force yet.
func (ch *change) pending() bool { return ch != nil && !ch.inForce }

// advanceChange takes the next step of a change. blocked says that older
// provisional changes have to be written first.
func (c *Core) advanceChange(ch *change, blocked bool) {
	if ch == nil || ch.done() {
		return
	}
	s := ch.slot
	if s.stored >= ch.version && !ch.proposeOnly {
		c.putInForce(ch, false)
		return
	}
	late := c.overdue(s)
	if !ch.proposeOnly && !blocked && s.ready(c.now) {
		switch {
		case !s.read:
			c.readObject(s)
		case s.seen>>32 == ch.version>>32 || s.seen == ch.expect:
			c.write(ch)
		case s.seen > ch.version && c.cellSlot.ready(c.now):
			s.retryAt = c.now + c.cfg.StoreRetry
			c.readObject(c.cellSlot) // a newer planner has written
		}
	}
	if !ch.inForce && !ch.storeOnly && (late || blocked || ch.proposeOnly) {
		c.propose(ch)
	}
}

func (c *Core) write(ch *change) {
	if ch.cell != nil {
		c.writeObject(ch.slot, ch.version, ch.cell)
		return
	}
	c.writeObject(ch.slot, ch.version, ch.a)
}

// propose asks the members that have not acknowledged the change to keep it.
func (c *Core) propose(ch *change) {
	if c.now < ch.proposeAt {
		return
	}
	if ch.acks == nil {
		ch.acks = map[string]bool{c.cfg.Self.ID: true}
		if ch.cell != nil {
			c.cellProposal = ch.cell
		} else {
			c.service(ch.a.Service).keep(ch.a)
		}
	}
	ch.proposeAt = c.now + c.cfg.HeartbeatInterval
	for _, m := range c.cell.Members {
		if !ch.acks[m.ID] {
			c.send(m.ID, Proposal{Base: ch.base, Cell: ch.cell, Assignment: ch.a})
		}
	}
	c.countAcks(ch)
}

func (c *Core) onProposalAck(from string, m ProposalAck) {
	ch := c.take.change
	switch {
	case c.plan != nil && m.Service == "":
		ch = c.plan.cellChange
	case c.plan != nil && c.plan.services[m.Service] != nil:
		ch = c.plan.services[m.Service].change
	}
	if ch.pending() && ch.acks != nil && ch.version == m.Version {
		ch.acks[from] = true
		c.countAcks(ch)
	}
}

func (c *Core) countAcks(ch *change) {
	if len(ch.acks) >= c.cell.Majority() && c.inContact() {
		c.putInForce(ch, true)
	}
}

// putInForce adopts the change and tells the members.
func (c *Core) putInForce(ch *change, provisional bool) {
	first := !ch.inForce
	ch.inForce, ch.provisional = true, provisional
	if ch.cell != nil {
		old := c.cell
		c.adoptCell(ch.cell, provisional)
		c.tellCell(old)
	} else {
		c.adoptAssignment(ch.a, provisional)
		d := ch.delta
		if !first {
			d = placement.Delta{Service: ch.a.Service, From: ch.version, To: ch.version}
		}
		c.broadcast(AssignmentUpdate{Delta: d, Provisional: provisional})
		fields := []any{"service", ch.a.Service, "version", ch.version, "changes", len(ch.delta.Changes), "provisional", provisional}
		if ch.moves != "" {
			fields = append(fields, "moves", ch.moves)
		}
		c.record(!provisional, "assignment.in_force", fields...)
	}
}

// tellCell sends the cell record to its members and to those that it lost.
func (c *Core) tellCell(old *Cell) {
	m := CellUpdate{Cell: c.cell, Provisional: c.cellProvisional}
	c.broadcast(m)
	for _, o := range old.Members {
		if _, ok := c.cell.Member(o.ID); !ok && o.ID != c.cfg.Self.ID {
			c.emit(SendMessage{To: o, Message: m})
		}
	}
	c.record(!c.cellProvisional, "cell.in_force", "version", c.cell.Version, "provisional", c.cellProvisional)
}
