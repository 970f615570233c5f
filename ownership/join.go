package ownership

import (
	"slices"

	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/store"
)

// joinState is the state of an instance that joins, rejoins or leaves a cell.
type joinState struct {
	nextAt   lease.Instant
	listed   bool            // the platform's list of instances has been received
	rejoined map[string]bool // recorded members that have restarted and ask to join
	aliveAt  lease.Instant   // last time at which the recorded cell changed
	version  uint64          // cell version at that time
	replaced bool            // the record names an earlier process of this instance
	quiet    lease.Instant   // no heartbeats are acknowledged before this time
	leaveAt  lease.Instant
}

// advanceJoin creates the cell, asks to join it, or replaces a dead one. At a member
// it only reads the record while contact is lost.
func (c *Core) advanceJoin() {
	if c.member() {
		c.readWhileLost()
		return
	}
	if c.stopping || c.stopped {
		return
	}
	c.overdue(c.cellSlot)
	if c.now < c.joining.nextAt || c.cellSlot.op != 0 {
		return
	}
	switch {
	case !c.cellSlot.read:
		c.joining.nextAt = c.now + c.cfg.StoreRetry
		c.readObject(c.cellSlot)
	case c.cellSlot.version == 0:
		c.joining.nextAt = c.now + c.cfg.JoinInterval
		c.cellSlot.read = false // read again before the next attempt
		c.foundCell(&Cell{Name: c.cfg.Cell})
	default:
		c.joining.nextAt = c.now + c.cfg.JoinInterval
		c.askToJoin()
	}
}

func (c *Core) askToJoin() {
	j := &c.joining
	if c.cell == nil {
		c.cellSlot.read = false
		return
	}
	if c.cell.Version != j.version {
		j.version, j.aliveAt = c.cell.Version, c.now
	}
	_, j.replaced = c.cell.Member(c.cfg.Self.ID)
	c.broadcast(JoinRequest{Member: c.cfg.Self})
	if c.now-j.aliveAt >= c.cfg.ReplaceAfter && j.listed && c.recordedDead() {
		c.foundCell(c.cell)
		return
	}
	c.cellSlot.read = false
}

// recordedDead reports whether the platform lists none of the recorded members as
// live. A member counts as dead if a new process of it asks to join; this includes
// this instance.
func (c *Core) recordedDead() bool {
	return !slices.ContainsFunc(c.cell.Members, func(m Member) bool {
		return m.ID != c.cfg.Self.ID && !c.joining.rejoined[m.ID] && c.instances[m.ID] == store.Live
	})
}

// foundCell writes a record in which this instance is the only member. Targets and
// terms of the old record are kept.
func (c *Core) foundCell(old *Cell) {
	next := old.Clone()
	next.Members, next.Planner = []Member{c.cfg.Self}, c.cfg.Self.ID
	next.PlannerTerm++
	next.Version = nextCellVersion(old.Version, next.PlannerTerm, 0)
	c.writeObject(c.cellSlot, next.Version, next)
	c.take.founding = next
}

// readWhileLost reads the record periodically while a member is out of contact, since
// an operator may have reduced the cell.
func (c *Core) readWhileLost() {
	if !c.returning {
		c.joining.nextAt = c.now + c.cfg.SuspendFor
		return
	}
	c.overdue(c.cellSlot)
	if c.now >= c.joining.nextAt && c.cellSlot.ready(c.now) {
		c.joining.nextAt = c.now + c.cfg.SuspendFor
		c.readObject(c.cellSlot)
	}
}

// onJoin registers a process that asks to join. A member that is not the planner
// replies with the cell record instead.
func (c *Core) onJoin(from string, m JoinRequest) {
	if from != m.Member.ID {
		return
	}
	if !c.member() {
		c.joining.rejoined[from] = true
		return
	}
	if old, ok := c.cell.Member(from); ok && old.Incarnation == m.Member.Incarnation || c.plan == nil {
		c.emit(SendMessage{To: m.Member, Message: CellUpdate{Cell: c.cell, Provisional: c.cellProvisional}})
		return
	}
	i := slices.IndexFunc(c.plan.joiners, func(o joiner) bool { return o.ID == from })
	if i >= 0 {
		c.plan.joiners[i] = joiner{m.Member, c.now}
		return
	}
	c.plan.joiners = append(c.plan.joiners, joiner{m.Member, c.now})
}

func (c *Core) onLeave(from string) {
	if c.plan == nil || c.plan.leaving[from] {
		return
	}
	if _, ok := c.cell.Member(from); ok {
		c.plan.leaving[from] = true
		c.record(true, "member.leaving", "id", from)
	}
}

// advanceStop asks the planner to take over everything until this instance controls no
// target and is no longer a member.
func (c *Core) advanceStop() {
	if !c.stopping || c.stopped {
		return
	}
	if !c.member() || c.alone() {
		if len(c.heldOrder) == 0 || c.alone() {
			c.stopped = true
			c.emit(Stopped{})
		}
		return
	}
	if c.now >= c.joining.leaveAt {
		c.joining.leaveAt = c.now + c.cfg.JoinInterval
		c.send(c.cell.Planner, LeaveRequest{})
	}
}

// alone reports whether this instance is the only member, so that it cannot hand
// anything over.
func (c *Core) alone() bool { return len(c.cell.Members) == 1 }
