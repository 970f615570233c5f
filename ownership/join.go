package ownership

import (
	"slices"

	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/store"
)

// joinState is the state of a process that is not a member yet.
type joinState struct {
	nextAttemptAt    lease.Instant
	instancesListed  bool            // the list of instances has been seen
	restartedMembers map[string]bool // recorded members whose process is a new one that wants to join
	lastAliveAt      lease.Instant   // last sign of life of a recorded member
	cellVersion      uint64          // record that lastAliveAt belongs to
	replacesProcess  bool            // the record had an earlier process of this instance
	ackNotBefore     lease.Instant   // no acknowledgements before
	nextLeaveAt      lease.Instant
}

// advanceJoin creates the cell, asks to join it, or replaces a dead one.
func (c *Core) advanceJoin() {
	if c.isMember() {
		c.readCellWithoutContact()
		return
	}
	if c.stopping || c.stopped {
		return
	}
	c.checkStoreTimeout(c.cellObject)
	if c.now < c.join.nextAttemptAt || c.cellObject.callID != 0 {
		return
	}
	switch {
	case !c.cellObject.wasRead:
		c.join.nextAttemptAt = c.now + c.cfg.StoreRetry
		c.readObject(c.cellObject)
	case c.cellObject.version == 0:
		c.join.nextAttemptAt = c.now + c.cfg.JoinInterval
		c.cellObject.wasRead = false // read again before the next attempt
		c.createCell(&Cell{Name: c.cfg.Cell})
	default:
		c.join.nextAttemptAt = c.now + c.cfg.JoinInterval
		c.requestJoin()
	}
}

func (c *Core) requestJoin() {
	j := &c.join
	if c.cell == nil {
		c.cellObject.wasRead = false
		return
	}
	if c.cell.Version != j.cellVersion {
		j.cellVersion, j.lastAliveAt = c.cell.Version, c.now
	}
	_, j.replacesProcess = c.cell.Member(c.cfg.Self.ID)
	c.broadcast(JoinRequest{Member: c.cfg.Self})
	if c.now-j.lastAliveAt >= c.cfg.ReplaceCellAfter && j.instancesListed && c.allMembersDead() {
		c.createCell(c.cell)
		return
	}
	c.cellObject.wasRead = false
}

// allMembersDead reports whether the platform lists no recorded member as live. An
// earlier process of this or of another joining instance is dead.
func (c *Core) allMembersDead() bool {
	return !slices.ContainsFunc(c.cell.Members, func(m Member) bool {
		return m.ID != c.cfg.Self.ID && !c.join.restartedMembers[m.ID] && c.instances[m.ID] == store.Live
	})
}

// createCell writes a record with this instance as only member. Targets and terms
// of the old record are kept.
func (c *Core) createCell(old *Cell) {
	next := old.Clone()
	next.Members, next.Planner = []Member{c.cfg.Self}, c.cfg.Self.ID
	next.PlannerTerm++
	next.Version = nextCellVersion(old.Version, next.PlannerTerm, 0)
	c.writeObject(c.cellObject, next.Version, next)
	c.takeover.createdCell = next
}

// readCellWithoutContact reads the record now and then while a member is out of contact:
// an operator may have made the cell smaller.
func (c *Core) readCellWithoutContact() {
	if !c.rejoining {
		c.join.nextAttemptAt = c.now + c.cfg.SuspendFor
		return
	}
	c.checkStoreTimeout(c.cellObject)
	if c.now >= c.join.nextAttemptAt && c.cellObject.ready(c.now) {
		c.join.nextAttemptAt = c.now + c.cfg.SuspendFor
		c.readObject(c.cellObject)
	}
}

// onJoinRequest notes a process that wants to join.
func (c *Core) onJoinRequest(from string, m JoinRequest) {
	if from != m.Member.ID {
		return
	}
	if !c.isMember() {
		c.join.restartedMembers[from] = true
		return
	}
	if old, ok := c.cell.Member(from); ok && old.Incarnation == m.Member.Incarnation || c.planner == nil {
		c.emit(SendMessage{To: m.Member, Message: CellUpdate{Cell: c.cell, Provisional: c.cellProvisional}})
		return
	}
	i := slices.IndexFunc(c.planner.pendingJoins, func(o pendingJoin) bool { return o.ID == from })
	if i >= 0 {
		c.planner.pendingJoins[i] = pendingJoin{m.Member, c.now}
		return
	}
	c.planner.pendingJoins = append(c.planner.pendingJoins, pendingJoin{m.Member, c.now})
}

func (c *Core) onLeaveRequest(from string) {
	if c.planner == nil || c.planner.leaving[from] {
		return
	}
	if _, ok := c.cell.Member(from); ok {
		c.planner.leaving[from] = true
		c.log(true, "member.leaving", "id", from)
	}
}

// advanceStop asks the planner to take everything over, until this instance
// controls nothing and is no member.
func (c *Core) advanceStop() {
	if !c.stopping || c.stopped {
		return
	}
	if !c.isMember() || c.onlyMember() {
		if len(c.controlledOrder) == 0 || c.onlyMember() {
			c.stopped = true
			c.emit(Stopped{})
		}
		return
	}
	if c.now >= c.join.nextLeaveAt {
		c.join.nextLeaveAt = c.now + c.cfg.JoinInterval
		c.send(c.cell.Planner, LeaveRequest{})
	}
}

// onlyMember reports whether there is nobody to hand anything over to.
func (c *Core) onlyMember() bool { return len(c.cell.Members) == 1 }
