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
	if c.cell != nil && cell.Version < c.cell.Version && !c.chain.has(cell.Version) {
		return // concurrent with a change made for the planner, which merges the two
	}
	if !provisional {
		c.cellSlot.stored = max(c.cellSlot.stored, cell.Version)
		c.chain.store(cell.Version)
	}
	if c.cell != nil && cell.Version <= c.cell.Version {
		if cell.Version == c.cell.Version && !provisional && c.cellProvisional {
			c.cellProvisional, c.viewDirty = false, true
		}
		return
	}
	old := c.cell
	c.chain.add(cell.Version)
	c.cell, c.cellProvisional, c.viewDirty = cell, provisional, true
	clear(c.acksSent) // new members have received no assignment versions
	if c.cellProposal != nil && c.cellProposal.Version <= cell.Version {
		c.cellProposal = nil
	}
	for _, r := range cell.Controllers {
		c.terms[r.Target] = max(c.terms[r.Target], r.Term)
	}
	c.record(false, "cell.adopted", "version", cell.Version, "planner", cell.Planner,
		"members", len(cell.Members), "provisional", provisional)
	if c.joining.replaced && c.member() {
		// An earlier process of this instance may have reported members silent, which
		// commits it not to acknowledge them for SuspendFor. The restart lost that
		// state.
		c.joining.replaced, c.joining.quiet = false, c.now+c.cfg.SuspendFor
	}
	c.membersChanged(old)
	c.plannerChanged(old)
	c.controlsChangedFrom(old)
}

// lineage holds the versions of the cell record from which the current one was
// derived.
type lineage struct {
	stored uint64 // all stored versions up to this one are ancestors
	later  []uint64
}

func (l *lineage) store(v uint64) {
	l.stored = max(l.stored, v)
	l.later = slices.DeleteFunc(l.later, func(o uint64) bool { return o <= l.stored })
}

func (l *lineage) add(v uint64) {
	if v > l.stored {
		l.later = append(l.later, v)
	}
}

func (l *lineage) has(v uint64) bool { return v <= l.stored || slices.Contains(l.later, v) }

// merge combines two records derived from the same one, by a planner and by a member
// that acted for it. The result has the members of the first and, for each target, the
// controller with the higher term.
func merge(first, second *Cell) *Cell {
	next := first.Clone()
	for i := range next.Controllers {
		if r, ok := second.Controller(next.Controllers[i].Target); ok && r.Term > next.Controllers[i].Term {
			next.Controllers[i] = r
		}
	}
	return next
}

// rebase derives the pending change of the planner again from the current record if
// another member has changed that record in the meantime.
func (c *Core) rebase() {
	ch := c.plan.cellChange
	if !ch.pending() || c.cell.Version <= ch.version {
		return
	}
	next := merge(ch.cell, c.cell)
	next.Version = nextCellVersion(c.cell.Version, next.PlannerTerm, 0)
	c.plan.cellChange = &change{
		slot: c.cellSlot, cell: next, base: c.cell.Version, version: next.Version,
		expect: ch.expect, storeOnly: ch.storeOnly,
	}
}

func (c *Core) membersChanged(old *Cell) {
	ids := make([]string, 0, len(c.cell.Members))
	for _, m := range c.cell.Members {
		ids = append(ids, m.ID)
	}
	c.contact.SetMembers(c.now, ids)
	c.nextBeat = c.now
	if old == nil {
		return
	}
	for _, m := range c.cell.Members {
		if o, ok := old.Member(m.ID); ok && o.Incarnation != m.Incarnation {
			c.contact.Forget(c.now, m.ID)
			delete(c.lastStamp, m.ID)
		}
	}
}

func (c *Core) plannerChanged(old *Cell) {
	switch {
	case !c.isPlanner():
		c.plan = nil
	case c.plan == nil || c.plan.term != c.cell.PlannerTerm:
		c.startPlanner()
	default:
		c.rebase()
		c.plan.controllersChanged(c.cell)
	}
	if old == nil || old.Planner != c.cell.Planner || old.PlannerTerm != c.cell.PlannerTerm {
		for _, h := range c.heldOrder {
			h.reportAt = c.now
		}
	}
}

// onProposal stores a proposed record that could not be written to the store. A
// proposal is refused if its sender is suspended or if it was not derived from the
// newest version at this member.
func (c *Core) onProposal(from string, m Proposal) {
	if !c.member() || c.contact.Suspended(c.now, from) {
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
		if s.keep(m.Assignment) {
			c.send(from, ProposalAck{Service: s.name, Version: m.Assignment.Version})
		}
	}
}

func (c *Core) onCellProposal(from string, m Proposal) {
	silent := c.silent(c.cell.Planner)
	if from != c.cell.Planner && !silent || from == c.cell.Planner && silent {
		return
	}
	switch high := c.highestCell(); {
	case m.Cell.Version == high:
	case m.Base == high && m.Cell.Version > high:
		c.cellProposal = m.Cell
	default:
		return
	}
	c.send(from, ProposalAck{Version: m.Cell.Version})
}

// silent reports whether this member itself reports the given member silent.
func (c *Core) silent(id string) bool {
	return slices.ContainsFunc(c.contact.Silent(c.now), func(s membership.Silence) bool { return s.ID == id })
}

// lost reports whether a majority reports the member silent, and a time by which it
// was out of contact.
func (c *Core) lost(id string) (bool, lease.Instant) {
	return c.contact.SilentToMajority(c.now, id)
}

func silences(m HeartbeatAck) []membership.Silence {
	if len(m.Silent) == 0 || len(m.Silent) != len(m.SilentFor) {
		return nil
	}
	out := make([]membership.Silence, len(m.Silent))
	for i, id := range m.Silent {
		out[i] = membership.Silence{ID: id, For: m.SilentFor[i]}
	}
	return out
}
