package ownership

import (
	"maps"
	"time"

	"github.com/boragegate/boragegate/lease"
)

// staleRecordGrace is the time for which a member stays in contact after it has learned of
// a newer cell record, which usually arrives with the next message.
const staleRecordGrace = 100 * time.Millisecond

// updateContact updates this instance's contact with a majority and the silence of other
// members as of the current time. It runs before and after every event, so a paused
// instance notices its loss of contact before it acts.
func (c *Core) updateContact() {
	if !c.isMember() {
		return
	}
	if c.contact.Advance(c.now) {
		c.resendAcks()
	}
	if c.contact.NewestAckedVersion(c.now) <= c.knownCellVersion() {
		c.recordCurrentAt = c.now
	}
	outdated := c.now-c.recordCurrentAt >= staleRecordGrace
	switch inContact := c.contact.InContact(c.now) && !outdated || c.cfg.faults.noContactCheck; {
	case !inContact && !c.rejoining:
		c.rejoining = true
		c.viewDirty = true
		c.log(false, "contact.lost")
	case inContact && c.rejoining && c.recordCurrentAt == c.now:
		c.rejoining = false
		c.viewDirty = true
		c.log(false, "contact.gained", "cell_version", c.cell.Version)
	}
	c.extendContact()
}

// knownCellVersion returns the cell version with which this member counts as up to date if no
// other member reports a higher one. For a planner this includes its own proposals, which no
// other member can make active.
func (c *Core) knownCellVersion() uint64 {
	if c.planner != nil {
		return c.highestCellVersion()
	}
	return c.cell.Version
}

func (c *Core) extendContact() {
	until := lease.Instant(-1)
	if !c.rejoining {
		until = c.contact.ContactUntil()
	}
	if c.cfg.faults.noContactCheck {
		until = 1<<63 - 1
	}
	if until != c.contactUntil {
		c.contactUntil = until
		c.emit(ExtendContact{Until: until})
	}
}

// sendHeartbeats sends heartbeats if they are due.
func (c *Core) sendHeartbeats() {
	if !c.isMember() || c.now < c.nextHeartbeatAt {
		return
	}
	c.nextHeartbeatAt = max(c.nextHeartbeatAt+c.cfg.HeartbeatInterval, c.now+c.cfg.HeartbeatInterval/2)
	c.broadcast(Heartbeat{
		Stamp:       lease.Stamp(c.now), //nolint:gosec // instants are not negative
		CellVersion: c.cell.Version, Incarnation: c.cfg.Incarnation, InContact: c.inContact(),
	})
}

func (c *Core) onHeartbeat(from string, m Heartbeat) {
	if !c.isMember() {
		return
	}
	sender, ok := c.cell.Member(from)
	if !ok || sender.Incarnation != m.Incarnation {
		if m.CellVersion < c.cell.Version && ok {
			c.send(from, CellUpdate{Cell: c.cell, Provisional: c.cellProvisional})
		}
		return
	}
	ack := c.contact.RecordHeartbeat(c.now, from, m.InContact)
	if m.CellVersion < c.cell.Version {
		c.send(from, CellUpdate{Cell: c.cell, Provisional: c.cellProvisional})
	}
	if c.cellProposal != nil && c.considersSilent(c.cell.Planner) {
		// The lost planner may have made the proposal active, so its successor needs it.
		c.send(from, CellUpdate{Cell: c.cellProposal, Provisional: true})
	}
	if ack && c.now >= c.join.ackNotBefore {
		c.lastStamp[from] = m.Stamp
		c.send(from, c.omitUnchangedVersions(from, c.newAck(m.Stamp)))
	}
}

func (c *Core) newAck(stamp lease.Stamp) HeartbeatAck {
	a := HeartbeatAck{Stamp: stamp, CellVersion: c.highestCellVersion()}
	for _, s := range c.contact.SilenceReports(c.now) {
		a.Silent = append(a.Silent, s.ID)
		a.SilentFor = append(a.SilentFor, s.SilentFor)
	}
	if len(c.serviceOrder) > 0 {
		a.Assignments = make(map[string]uint64, len(c.serviceOrder))
		for _, s := range c.serviceOrder {
			a.Assignments[s.name] = s.highest()
		}
	}
	return a
}

// fullAckInterval is the number of acknowledgements after which the assignment versions
// are sent again although they are unchanged, in case an earlier acknowledgement was lost.
const fullAckInterval = 8

// sentAck describes the assignment versions that a member was last sent.
type sentAck struct {
	versions      map[string]uint64
	acksUntilFull int // acknowledgements until the versions are sent again
}

// omitUnchangedVersions omits the assignment versions if the member was already sent the
// same ones. They are half of the bytes of an acknowledgement with three services.
func (c *Core) omitUnchangedVersions(to string, a HeartbeatAck) HeartbeatAck {
	last := c.sentAcks[to]
	if last.acksUntilFull > 0 && maps.Equal(last.versions, a.Assignments) {
		c.sentAcks[to] = sentAck{last.versions, last.acksUntilFull - 1}
		a.Assignments = nil
		return a
	}
	c.sentAcks[to] = sentAck{a.Assignments, fullAckInterval - 1}
	return a
}

// highestCellVersion returns the highest cell version that this member has adopted or
// acknowledged.
func (c *Core) highestCellVersion() uint64 {
	if c.cellProposal != nil {
		return max(c.cell.Version, c.cellProposal.Version)
	}
	return c.cell.Version
}

// resendAcks acknowledges the newest heartbeat of each member again, so that a newly
// detected silence is reported to them at once.
func (c *Core) resendAcks() {
	for _, m := range c.cell.Members {
		if s := c.lastStamp[m.ID]; s > 0 && !c.contact.IsSuspended(c.now, m.ID) {
			c.send(m.ID, c.newAck(s))
		}
	}
}

func (c *Core) onHeartbeatAck(from string, m HeartbeatAck) {
	if !c.isMember() {
		return
	}
	c.contact.RecordAck(c.now, from, lease.Instant(m.Stamp), m.CellVersion, decodeSilenceReports(m)) //nolint:gosec // checked against now by the tracker
	for _, s := range c.serviceOrder {
		v, included := m.Assignments[s.name]
		if !included {
			continue
		}
		if v > s.version() && c.now >= s.nextAssignmentRequestAt {
			s.nextAssignmentRequestAt = c.now + c.cfg.HeartbeatInterval
			c.send(from, AssignmentRequest{Service: s.name})
		}
		s.recordAckedVersion(from, v)
	}
}
