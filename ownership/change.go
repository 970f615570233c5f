package ownership

import (
	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/placement"
)

// recordChange is a new version of a record that is not yet both active and stored. The
// version in the store takes precedence; while the store fails, the change becomes active
// provisionally once a majority of the members has acknowledged it. A change is superseded
// only by one that was derived from it, so a provisional version is never reverted.
type recordChange struct {
	object     *storeObject
	cell       *Cell                 // nil for an assignment
	assignment *placement.Assignment // nil for a cell record
	// Difference from the previous version, sent to the members.
	delta placement.Delta
	// Description of the changes of an assignment, for the audit trail.
	moves   string
	base    uint64 // version from which the change was derived
	version uint64
	// Record version that the store is expected to have if nothing of the current term has
	// been written.
	expectedStored uint64
	// Makes the change active only once it is in the store.
	requiresStore bool
	// Disables writes to the store: a member acts for a lost planner.
	skipsStore bool

	acks           map[string]bool // members that have acknowledged the proposal; nil before it is sent
	nextProposalAt lease.Instant
	active         bool
	provisional    bool // active but not known to be in the store
}

// done reports whether the change is active and in the store.
func (ch *recordChange) done() bool { return ch.active && !ch.provisional }

// pending reports whether there is a change and it is not active yet. The receiver may be nil.
func (ch *recordChange) pending() bool { return ch != nil && !ch.active }

// advanceChange performs the next step of a change. If blocked is set, older provisional
// changes must be written to the store first.
func (c *Core) advanceChange(ch *recordChange, blocked bool) {
	if ch == nil || ch.done() {
		return
	}
	s := ch.object
	if s.highestStored >= ch.version && !ch.skipsStore {
		c.activate(ch, false)
		return
	}
	storeFailed := c.checkStoreTimeout(s)
	if !ch.skipsStore && !blocked && s.ready(c.now) {
		switch {
		case !s.wasRead:
			c.readObject(s)
		case s.lastSeen>>32 == ch.version>>32 || s.lastSeen == ch.expectedStored:
			c.writeChange(ch)
		case s.lastSeen > ch.version && c.cellObject.ready(c.now):
			s.retryAt = c.now + c.cfg.StoreRetry
			c.readObject(c.cellObject) // a newer planner has written the object
		}
	}
	if !ch.active && !ch.requiresStore && (storeFailed || blocked || ch.skipsStore) {
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

// proposeChange sends the change to the members that have not acknowledged it.
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

// activate makes the change active at this instance and sends it to the members.
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
		if !first { // the members were sent this version before; an empty delta ends its provisional state
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

// broadcastCell sends the cell record to its members and to the members of the old record
// that it no longer includes.
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
