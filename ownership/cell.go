package ownership

import (
	"slices"

	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/membership"
)

// versionStep is the distance between consecutive cell versions of planners, which are
// multiples of it. A member that acts for a lost planner adds 1 plus its index in the
// member list, so two writers never choose the same version.
const versionStep = 256

// nextCellVersion returns the version that follows v for a writer in the given planner
// term. Writer 0 is the planner, writer i+1 the member at index i.
func nextCellVersion(v, term, writer uint64) uint64 {
	if v>>32 < term {
		v = term << 32
	}
	return (v/versionStep+1)*versionStep + writer
}

// adoptCell replaces the cell record if the given one is newer. Receiving the current
// version as not provisional ends the provisional state.
func (c *Core) adoptCell(cell *Cell, provisional bool) {
	if cell == nil || cell.Name != c.cfg.Cell {
		return
	}
	if c.cell != nil && cell.Version < c.cell.Version && !c.lineage.contains(cell.Version) {
		return // concurrent with a change made on behalf of the planner; the planner merges the two
	}
	if !provisional {
		c.cellObject.highestStored = max(c.cellObject.highestStored, cell.Version)
		c.lineage.markStored(cell.Version)
	}
	if c.cell != nil && cell.Version <= c.cell.Version {
		if cell.Version == c.cell.Version && !provisional && c.cellProvisional {
			c.cellProvisional, c.viewDirty = false, true
		}
		return
	}
	old := c.cell
	c.lineage.add(cell.Version)
	c.cell, c.cellProvisional, c.viewDirty = cell, provisional, true
	clear(c.sentAcks) // new members have received no assignment versions
	if c.cellProposal != nil && c.cellProposal.Version <= cell.Version {
		c.cellProposal = nil
	}
	for _, r := range cell.Controllers {
		c.highestTerms[r.Target] = max(c.highestTerms[r.Target], r.Term)
	}
	c.log(false, "cell.adopted", "version", cell.Version, "planner", cell.Planner,
		"members", len(cell.Members), "provisional", provisional)
	if c.join.replacesProcess && c.isMember() {
		// An earlier process of this instance may have reported members silent, which
		// commits it not to acknowledge them for SuspendFor. The restart lost that state.
		c.join.replacesProcess, c.join.ackNotBefore = false, c.now+c.cfg.SuspendFor
	}
	c.onMembersChanged(old)
	c.onPlannerChanged(old)
	c.syncControlledFrom(old)
}

// lineage holds the versions of the cell record from which the current one was derived.
type lineage struct {
	storedThrough uint64   // all stored versions up to this one are ancestors
	laterVersions []uint64 // versions after storedThrough that are ancestors
}

func (l *lineage) markStored(v uint64) {
	l.storedThrough = max(l.storedThrough, v)
	l.laterVersions = slices.DeleteFunc(l.laterVersions, func(o uint64) bool { return o <= l.storedThrough })
}

func (l *lineage) add(v uint64) {
	if v > l.storedThrough {
		l.laterVersions = append(l.laterVersions, v)
	}
}

func (l *lineage) contains(v uint64) bool {
	return v <= l.storedThrough || slices.Contains(l.laterVersions, v)
}

// mergeCells combines two records derived from the same one, by a planner and by a member
// that acted for it. The result has the members of the first and, for each target, the
// controller with the higher term.
func mergeCells(first, second *Cell) *Cell {
	next := first.Clone()
	for i := range next.Controllers {
		if r, ok := second.Controller(next.Controllers[i].Target); ok && r.Term > next.Controllers[i].Term {
			next.Controllers[i] = r
		}
	}
	return next
}

// rebaseCellChange merges the current record into the pending change of the planner if
// another member has changed that record in the meantime.
func (c *Core) rebaseCellChange() {
	ch := c.planner.cellChange
	if !ch.pending() || c.cell.Version <= ch.version {
		return
	}
	next := mergeCells(ch.cell, c.cell)
	next.Version = nextCellVersion(c.cell.Version, next.PlannerTerm, 0)
	c.planner.cellChange = &recordChange{
		object: c.cellObject, cell: next, base: c.cell.Version, version: next.Version,
		expectedStored: ch.expectedStored, requiresStore: ch.requiresStore,
	}
}

func (c *Core) onMembersChanged(old *Cell) {
	ids := make([]string, 0, len(c.cell.Members))
	for _, m := range c.cell.Members {
		ids = append(ids, m.ID)
	}
	c.contact.SetMembers(c.now, ids)
	c.nextHeartbeatAt = c.now
	if old == nil {
		return
	}
	for _, m := range c.cell.Members {
		if o, ok := old.Member(m.ID); ok && o.Incarnation != m.Incarnation {
			c.contact.ResetMember(c.now, m.ID)
			delete(c.lastStamp, m.ID)
		}
	}
}

func (c *Core) onPlannerChanged(old *Cell) {
	switch {
	case !c.isPlanner():
		c.planner = nil
	case c.planner == nil || c.planner.term != c.cell.PlannerTerm:
		c.startPlanner()
	default:
		c.rebaseCellChange()
		c.planner.onControllersChanged(c.cell)
	}
	if old == nil || old.Planner != c.cell.Planner || old.PlannerTerm != c.cell.PlannerTerm {
		for _, t := range c.controlledOrder {
			t.nextReportAt = c.now
		}
	}
}

// onProposal keeps a proposed record that could not be written to the store. A proposal is
// ignored if its sender is suspended. A cell record must have been derived from the newest
// version at this member. An assignment must come from the planner in its current term and
// must not be older than the newest version at this member.
func (c *Core) onProposal(from string, m Proposal) {
	if !c.isMember() || c.contact.IsSuspended(c.now, from) {
		return
	}
	switch {
	case m.Cell != nil:
		c.onCellProposal(from, m)
	case m.Assignment != nil && from == c.cell.Planner:
		s := c.services[m.Assignment.Service]
		if s == nil || m.Assignment.Version>>32 != c.cell.PlannerTerm {
			return
		}
		if s.acceptProposal(m.Assignment) {
			c.send(from, ProposalAck{Service: s.name, Version: m.Assignment.Version})
		}
	}
}

// onCellProposal keeps a proposed cell record. It accepts proposals of the planner unless this
// member reports the planner silent, in which case it accepts only those of other members.
func (c *Core) onCellProposal(from string, m Proposal) {
	silent := c.considersSilent(c.cell.Planner)
	if from != c.cell.Planner && !silent || from == c.cell.Planner && silent {
		return
	}
	switch highest := c.highestCellVersion(); {
	case m.Cell.Version == highest:
	case m.Base == highest && m.Cell.Version > highest:
		c.cellProposal = m.Cell
	default:
		return
	}
	c.send(from, ProposalAck{Version: m.Cell.Version})
}

// considersSilent reports whether this member itself reports the given member silent.
func (c *Core) considersSilent(id string) bool {
	return slices.ContainsFunc(c.contact.SilenceReports(c.now), func(s membership.SilenceReport) bool { return s.ID == id })
}

// isLost reports whether a majority of the members reports the given one silent, and if so a
// time by which that one was out of contact.
func (c *Core) isLost(id string) (bool, lease.Instant) {
	return c.contact.ReportedSilentByMajority(c.now, id)
}

func decodeSilenceReports(m HeartbeatAck) []membership.SilenceReport {
	if len(m.Silent) == 0 || len(m.Silent) != len(m.SilentFor) {
		return nil
	}
	out := make([]membership.SilenceReport, len(m.Silent))
	for i, id := range m.Silent {
		out[i] = membership.SilenceReport{ID: id, SilentFor: m.SilentFor[i]}
	}
	return out
}
