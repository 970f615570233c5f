package ownership

import (
	"slices"

	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/store"
)

// joinState is the state of a process that is not a member yet.
type joinState struct {
	nextAt   lease.Instant
	listed   bool            // the list of instances has been seen
	rejoined map[string]bool // recorded members whose process is a new one that wants to join
	aliveAt  lease.Instant   // last sign of life of a recorded member
	version  uint64          // record that aliveAt belongs to
	replaced bool            // the record had an earlier process of this instance
	quiet    lease.Instant   // no acknowledgements before
	leaveAt  lease.Instant
}

// advanceJoin creates the cell, asks to join it, or replaces a dead one.
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

// recordedDead reports whether the platform lists no recorded member as live. An
// earlier process of this or of another joining instance is dead.
func (c *Core) recordedDead() bool {
	return !slices.ContainsFunc(c.cell.Members, func(m Member) bool {
		return m.ID != c.cfg.Self.ID && !c.joining.rejoined[m.ID] && c.instances[m.ID] == store.Live
	})
}

// foundCell writes a record with this instance as only member. Targets and terms
// of the old record are kept.
func (c *Core) foundCell(old *Cell) {
	next := old.Clone()
	next.Members, next.Planner = []Member{c.cfg.Self}, c.cfg.Self.ID
	next.PlannerTerm++
	next.Version = nextCellVersion(old.Version, next.PlannerTerm, 0)
	c.writeObject(c.cellSlot, next.Version, next)
	c.take.founding = next
}

// readWhileLost reads the record now and then while a member is out of contact:
// an operator may have made the cell smaller.
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

// onJoin notes a process that wants to join.
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

// advanceStop asks the planner to take everything over, until this instance
// controls nothing and is no member.
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

// alone reports whether there is nobody to hand anything over to.
func (c *Core) alone() bool { return len(c.cell.Members) == 1 }
