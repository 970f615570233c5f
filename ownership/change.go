package ownership

import (
	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/placement"
)

// change is a new version of a record that is not yet both active and stored. The
// version in the store takes precedence; while the store fails, a majority of the
// members can accept the change, which makes it active provisionally. A change is
// superseded only by one that was derived from it, so a provisional version is never
// reverted.
type change struct {
	slot *slot
	cell *Cell                 // nil for an assignment
	a    *placement.Assignment // nil for a cell record
	// Difference from the previous version, sent to the members.
	delta placement.Delta
	// Description of the changes of an assignment, for the audit trail.
	moves   string
	base    uint64
	version uint64
	// Version in the store if nothing of the current term has been written.
	expect uint64
	// Makes the change active only once it is in the store.
	storeOnly bool
	// Disables writes to the store: a member acts for a lost planner.
	proposeOnly bool

	acks        map[string]bool
	proposeAt   lease.Instant
	inForce     bool
	provisional bool
}

// done reports whether the change is active and in the store.
func (ch *change) done() bool { return ch.inForce && !ch.provisional }

// pending reports whether there is a change and it is not active yet.
func (ch *change) pending() bool { return ch != nil && !ch.inForce }

// advanceChange performs the next step of a change. If blocked is set, older
// provisional changes must be written to the store first.
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
			c.readObject(c.cellSlot) // a newer planner has written the object
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

// propose sends the change to the members that have not acknowledged it.
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

// putInForce makes the change active at this instance and sends it to the members.
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

// tellCell sends the cell record to its members and to those that it no longer
// includes.
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
