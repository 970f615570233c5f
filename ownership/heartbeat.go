package ownership

import (
	"maps"
	"time"

	"github.com/boragegate/boragegate/lease"
)

// behindGrace is the time for which a member stays in contact after it has learned of
// a newer cell record, which usually arrives with the next message.
const behindGrace = 100 * time.Millisecond

// checkContact updates this instance's contact with a majority and the silence of
// other members as of the current time. It runs before and after every event, so a
// paused instance notices its loss of contact before it acts.
func (c *Core) checkContact() {
	if !c.member() {
		return
	}
	if c.contact.Advance(c.now) {
		c.repeatAcks()
	}
	if c.contact.NewestVersion(c.now) <= c.knownCell() {
		c.currentAt = c.now
	}
	behind := c.now-c.currentAt >= behindGrace
	switch in := c.contact.InContact(c.now) && !behind || c.cfg.faults.noContactCheck; {
	case !in && !c.returning:
		c.returning = true
		c.viewDirty = true
		c.record(false, "contact.lost")
	case in && c.returning && c.currentAt == c.now:
		c.returning = false
		c.viewDirty = true
		c.record(false, "contact.gained", "cell_version", c.cell.Version)
	}
	c.extendContact()
}

// knownCell returns the version up to which a returning member knows all decisions. A
// planner also knows its own proposals, which no other member can make active.
func (c *Core) knownCell() uint64 {
	if c.plan != nil {
		return c.highestCell()
	}
	return c.cell.Version
}

func (c *Core) extendContact() {
	until := lease.Instant(-1)
	if !c.returning {
		until = c.contact.ContactUntil()
	}
	if c.cfg.faults.noContactCheck {
		until = 1<<63 - 1
	}
	if until != c.until {
		c.until = until
		c.emit(ExtendContact{Until: until})
	}
}

// beat sends heartbeats if they are due.
func (c *Core) beat() {
	if !c.member() || c.now < c.nextBeat {
		return
	}
	c.nextBeat = max(c.nextBeat+c.cfg.HeartbeatInterval, c.now+c.cfg.HeartbeatInterval/2)
	c.broadcast(Heartbeat{
		Stamp:       lease.Stamp(c.now), //nolint:gosec // instants are not negative
		CellVersion: c.cell.Version, Incarnation: c.cfg.Incarnation, Contact: c.inContact(),
	})
}

func (c *Core) onHeartbeat(from string, m Heartbeat) {
	if !c.member() {
		return
	}
	sender, ok := c.cell.Member(from)
	if !ok || sender.Incarnation != m.Incarnation {
		if m.CellVersion < c.cell.Version && ok {
			c.send(from, CellUpdate{Cell: c.cell, Provisional: c.cellProvisional})
		}
		return
	}
	ack := c.contact.Heard(c.now, from, m.Contact)
	if m.CellVersion < c.cell.Version {
		c.send(from, CellUpdate{Cell: c.cell, Provisional: c.cellProvisional})
	}
	if c.cellProposal != nil && c.silent(c.cell.Planner) {
		// The lost planner may have made the proposal active, so its successor needs
		// it.
		c.send(from, CellUpdate{Cell: c.cellProposal, Provisional: true})
	}
	if ack && c.now >= c.joining.quiet {
		c.lastStamp[from] = m.Stamp
		c.send(from, c.brief(from, c.ack(m.Stamp)))
	}
}

func (c *Core) ack(stamp lease.Stamp) HeartbeatAck {
	a := HeartbeatAck{Stamp: stamp, CellVersion: c.highestCell()}
	for _, s := range c.contact.Silent(c.now) {
		a.Silent = append(a.Silent, s.ID)
		a.SilentFor = append(a.SilentFor, s.For)
	}
	if len(c.order) > 0 {
		a.Assignments = make(map[string]uint64, len(c.order))
		for _, s := range c.order {
			a.Assignments[s.name] = s.highest()
		}
	}
	return a
}

// fullAckEvery is the number of acknowledgements after which the assignment versions
// are sent again although they are unchanged, in case an earlier acknowledgement was
// lost.
const fullAckEvery = 8

// ackSent describes the assignment versions that a member was last sent.
type ackSent struct {
	versions map[string]uint64
	left     int // acknowledgements until the versions are sent again
}

// brief omits the assignment versions if the member was already sent the same ones.
// They are half of the bytes of an acknowledgement with three services.
func (c *Core) brief(to string, a HeartbeatAck) HeartbeatAck {
	last := c.acksSent[to]
	if last.left > 0 && maps.Equal(last.versions, a.Assignments) {
		c.acksSent[to] = ackSent{last.versions, last.left - 1}
		a.Assignments = nil
		return a
	}
	c.acksSent[to] = ackSent{a.Assignments, fullAckEvery - 1}
	return a
}

// highestCell returns the highest cell version that this member has adopted or
// acknowledged.
func (c *Core) highestCell() uint64 {
	if c.cellProposal != nil {
		return max(c.cell.Version, c.cellProposal.Version)
	}
	return c.cell.Version
}

// repeatAcks acknowledges the newest heartbeat of each member again, so that a newly
// detected silence is reported to them at once.
func (c *Core) repeatAcks() {
	for _, m := range c.cell.Members {
		if s := c.lastStamp[m.ID]; s > 0 && !c.contact.Suspended(c.now, m.ID) {
			c.send(m.ID, c.ack(s))
		}
	}
}

func (c *Core) onAck(from string, m HeartbeatAck) {
	if !c.member() {
		return
	}
	c.contact.Acked(c.now, from, lease.Instant(m.Stamp), m.CellVersion, silences(m)) //nolint:gosec // checked against now by the tracker
	for _, s := range c.order {
		v, told := m.Assignments[s.name]
		if !told {
			continue
		}
		if v > s.version() && c.now >= s.askAt {
			s.askAt = c.now + c.cfg.HeartbeatInterval
			c.send(from, AssignmentRequest{Service: s.name})
		}
		s.heard(from, v)
	}
}
