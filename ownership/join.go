package ownership

import (
	"slices"

	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/store"
)

// joinState is the state of an instance that joins, rejoins or leaves a cell.
type joinState struct {
	nextAttemptAt      lease.Instant
	instancesListed    bool            // the platform's list of instances has been received
	restartedInstances map[string]bool // instances that have sent this one a JoinRequest while it was not a member
	recordChangedAt    lease.Instant   // last time at which the cell record had changed, a sign that a member is live
	cellVersion        uint64          // cell version at that time
	replacesProcess    bool            // the record names an earlier process of this instance
	ackNotBefore       lease.Instant   // no heartbeats are acknowledged before this time
	nextLeaveAt        lease.Instant
}

// advanceJoin creates the cell, asks to join it, or replaces a dead one. At a member it
// only reads the record while contact is lost.
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

// requestJoin asks the recorded members to add this instance. It replaces the cell if all of
// them are dead and the record has been unchanged for Config.ReplaceCellAfter.
func (c *Core) requestJoin() {
	j := &c.join
	if c.cell == nil {
		c.cellObject.wasRead = false
		return
	}
	if c.cell.Version != j.cellVersion {
		j.cellVersion, j.recordChangedAt = c.cell.Version, c.now
	}
	_, j.replacesProcess = c.cell.Member(c.cfg.Self.ID)
	c.broadcast(JoinRequest{Member: c.cfg.Self})
	if c.now-j.recordChangedAt >= c.cfg.ReplaceCellAfter && j.instancesListed && c.allMembersDead() {
		c.createCell(c.cell)
		return
	}
	c.cellObject.wasRead = false
}

// allMembersDead reports whether the platform lists none of the recorded members as live.
// A member counts as dead if a new process of it asks to join; this includes this
// instance.
func (c *Core) allMembersDead() bool {
	return !slices.ContainsFunc(c.cell.Members, func(m Member) bool {
		return m.ID != c.cfg.Self.ID && !c.join.restartedInstances[m.ID] && c.instances[m.ID] == store.InstanceLive
	})
}

// createCell writes a record in which this instance is the only member. The controllers of
// the old record and their terms are kept.
func (c *Core) createCell(old *Cell) {
	next := old.Clone()
	next.Members, next.Planner = []Member{c.cfg.Self}, c.cfg.Self.ID
	next.PlannerTerm++
	next.Version = nextCellVersion(old.Version, next.PlannerTerm, 0)
	c.writeObject(c.cellObject, next.Version, next)
	c.takeover.createdCell = next
}

// readCellWithoutContact reads the record periodically while a member is out of contact,
// since an operator may have removed lost members from it.
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

// onJoinRequest registers a process that asks to join, if this instance is the planner. A
// member replies with the cell record instead if it is not the planner or if that process is
// already a member. An instance that is not a member records that the sender has restarted.
func (c *Core) onJoinRequest(from string, m JoinRequest) {
	if from != m.Member.ID {
		return
	}
	if !c.isMember() {
		c.join.restartedInstances[from] = true
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

// advanceStop sends leave requests to the planner until this instance controls no target and
// is no longer a member. The only member of a cell stops at once.
func (c *Core) advanceStop() {
	if !c.stopping || c.stopped {
		return
	}
	if !c.isMember() || c.cellHasOneMember() {
		if len(c.controlledOrder) == 0 || c.cellHasOneMember() {
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

// cellHasOneMember reports whether the cell has a single member, which cannot hand anything
// over.
func (c *Core) cellHasOneMember() bool { return len(c.cell.Members) == 1 }
