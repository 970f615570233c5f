package ownership

import (
	"slices"
	"strings"

	"github.com/boragegate/boragegate/store"
)

// joinerValid is the number of join intervals for which a join request remains valid.
const joinerValid = 3

// planCell updates the cell record, with at most one pending change at a time.
func (c *Core) planCell(due bool) {
	p := c.plan
	if p.cellChange == nil && c.cell.Version > c.cellSlot.stored {
		// Another member changed the record for the planner while the store was
		// unavailable.
		p.cellChange = &change{slot: c.cellSlot, cell: c.cell, version: c.cell.Version, inForce: true, provisional: true}
	}
	c.advanceChange(p.cellChange, p.blocked(p.cellChange))
	if c.plan != p || p.cellChange.pending() {
		return
	}
	if p.cellChange != nil && p.cellChange.done() {
		p.cellChange = nil
	}
	if !due && !c.cellUrgent() {
		return
	}
	next := c.cell.Clone()
	changed := c.planControllers(next, due)
	members := false
	if !changed && p.cellChange == nil && !c.cellSlot.failed && c.contact.AdoptedBy(c.cell.Version) >= c.cell.Majority() {
		members = c.planMembers(next)
	}
	if !changed && !members {
		return
	}
	next.Version = nextCellVersion(c.cell.Version, next.PlannerTerm, 0)
	p.cellChange = &change{
		slot: c.cellSlot, cell: next, base: c.cell.Version, version: next.Version,
		expect: c.cellSlot.seen, storeOnly: members,
	}
	c.advanceChange(p.cellChange, p.blocked(p.cellChange))
}

// cellUrgent reports whether the record may need a change before the next regular
// plan.
func (c *Core) cellUrgent() bool {
	p := c.plan
	if p.urgent || len(p.joiners) > 0 || len(p.leaving) > 0 {
		p.urgent = false
		return true
	}
	for _, m := range c.cell.Members {
		if lost, _ := c.lost(m.ID); lost || c.contact.Claims(c.now, m.ID) {
			return true
		}
	}
	return false
}

// planControllers assigns controllers to targets that have none or whose controller is
// lost or leaving, and removes the controllers of targets that have left the table.
// Without a table the targets are unknown, so their controllers are not changed.
func (c *Core) planControllers(next *Cell, due bool) (changed bool) {
	if c.table == nil {
		return false
	}
	can, lost := c.candidates(next)
	if len(can) == 0 {
		return false
	}
	s := newSpread(c, next, can)
	for i := range next.Controllers {
		r := &next.Controllers[i]
		info := c.plan.info(r.Target)
		switch {
		case lost[r.Instance] || c.gone(next, r.Instance):
			c.rename(s, r, r.Term+1)
			changed = true
		case max(info.seenTerm, c.terms[r.Target]) > r.Term:
			c.rename(s, r, max(info.seenTerm, c.terms[r.Target])+1)
			changed = true
		}
	}
	if due {
		changed = c.addControllers(next, s) || changed
		changed = c.removeControllers(next) || changed
		if !changed {
			changed = c.rebalance(next, s)
		}
	}
	return changed
}

// gone reports whether an instance can no longer control targets: it is not a member,
// is leaving, or reports that it is out of contact.
func (c *Core) gone(cell *Cell, id string) bool {
	_, ok := cell.Member(id)
	return !ok || c.plan.leaving[id] || c.contact.Claims(c.now, id)
}

// rename assigns a target to another controller in a new term. Releases made under the
// previous controller are void, so the new one needs the newest assignment that may be
// active.
func (c *Core) rename(s *spread, r *Controller, term uint64) {
	to := s.pick(r.Target)
	c.record(true, "controller.named", "target", r.Target, "from", r.Instance, "to", to, "term", term)
	r.Instance, r.Term, r.MinVersion = to, term, c.headVersion(r.Target)
}

// headVersion returns the highest version of the target's assignment that may be
// active. Until older planners are fenced off, it is the version of the fence, since
// the store may have a version of an older planner that no member knows.
func (c *Core) headVersion(target string) uint64 {
	s := c.services[serviceOf(target)]
	if s == nil {
		return 0
	}
	sp := c.plan.services[s.name]
	if sp == nil || !sp.fenced {
		return c.plan.term<<32 | 1
	}
	if sp.change != nil {
		return max(sp.change.version, s.version())
	}
	return s.version()
}

// candidates returns the members that may control targets, and the lost members.
func (c *Core) candidates(cell *Cell) (can []Member, lost map[string]bool) {
	for _, m := range cell.Members {
		if gone, _ := c.lost(m.ID); gone {
			if lost == nil {
				lost = map[string]bool{}
			}
			lost[m.ID] = true
			continue
		}
		if !c.plan.leaving[m.ID] && c.contact.Ready(c.now, m.ID) {
			can = append(can, m)
		}
	}
	return can, lost
}

func (c *Core) addControllers(next *Cell, s *spread) (changed bool) {
	for _, row := range c.table.Rows {
		id := row.ID()
		if _, ok := next.Controller(id); ok {
			continue
		}
		to := s.pick(id)
		next.Controllers = append(next.Controllers, Controller{Target: id, Instance: to, Term: c.terms[id] + 1, MinVersion: c.headVersion(id)})
		c.record(true, "controller.named", "target", id, "to", to, "term", c.terms[id]+1)
		changed = true
	}
	slices.SortFunc(next.Controllers, func(a, b Controller) int { return strings.Compare(a.Target, b.Target) })
	return changed
}

// removeControllers removes the controllers of targets that have left the table and
// own no partitions any more.
func (c *Core) removeControllers(next *Cell) bool {
	n := len(next.Controllers)
	next.Controllers = slices.DeleteFunc(next.Controllers, func(r Controller) bool {
		if _, ok := c.row(r.Target); ok {
			return false
		}
		svc, ok := c.tableService(serviceOf(r.Target))
		sp := c.plan.services[serviceOf(r.Target)]
		if ok && svc.Leased() && (sp == nil || !sp.fenced || sp.change.pending()) {
			return false
		}
		if ok && sp != nil && sp.s.a != nil && len(sp.s.a.PartitionsOf(targetName(r.Target))) > 0 {
			return false
		}
		c.record(true, "controller.removed", "target", r.Target, "term", r.Term)
		return true
	})
	return len(next.Controllers) < n
}

// planMembers adds or removes one member, or hands over the planner role. Only one
// member changes at a time, so that consecutive majorities overlap.
func (c *Core) planMembers(next *Cell) bool {
	p := c.plan
	if p.blocked(nil) {
		return false
	}
	p.joiners = slices.DeleteFunc(p.joiners, func(j joiner) bool { return c.now-j.asked > joinerValid*c.cfg.JoinInterval })
	if len(p.joiners) > 0 && c.quorum(next, p.joiners[0].ID, "") {
		m := p.joiners[0].Member
		p.joiners = p.joiners[1:]
		if i := slices.IndexFunc(next.Members, func(o Member) bool { return o.ID == m.ID }); i >= 0 {
			next.Members[i] = m
			c.restartControllers(next, m.ID)
		} else {
			next.Members = append(next.Members, m)
		}
		delete(p.leaving, m.ID)
		c.record(true, "member.added", "id", m.ID, "zone", m.Zone)
		return true
	}
	for i, m := range next.Members {
		if m.ID == c.cfg.Self.ID || !c.quorum(next, "", m.ID) || !c.removable(m.ID) {
			continue
		}
		next.Members = slices.Delete(next.Members, i, i+1)
		c.record(true, "member.removed", "id", m.ID)
		return true
	}
	return p.leaving[c.cfg.Self.ID] && c.handOver(next)
}

// quorum reports whether a majority of the cell would be in contact after one member
// is added or removed. Without it the change would end the planner's own contact.
func (c *Core) quorum(cell *Cell, add, remove string) bool {
	n, ready := 0, 0
	if _, ok := cell.Member(add); add != "" && !ok {
		n, ready = 1, 1
	}
	for _, m := range cell.Members {
		if m.ID == remove {
			continue
		}
		n++
		if m.ID == add || c.contact.Ready(c.now, m.ID) {
			ready++
		}
	}
	return ready >= n/2+1
}

// restartControllers raises the terms of the targets controlled by an instance that
// has restarted.
func (c *Core) restartControllers(next *Cell, id string) {
	for i := range next.Controllers {
		if r := &next.Controllers[i]; r.Instance == id {
			r.Term, r.MinVersion = r.Term+1, c.headVersion(r.Target)
		}
	}
}

// removable reports whether a member may be removed from the record. It must control
// nothing, and either have asked to leave, or be lost and not listed as live by the
// platform. Lost members are removed at most once per Config.RemoveInterval; reporting
// one as removable starts the next interval.
func (c *Core) removable(id string) bool {
	for _, r := range c.cell.Controllers {
		if r.Instance == id {
			return false
		}
	}
	if c.plan.leaving[id] {
		return true
	}
	lost, _ := c.lost(id)
	if !lost || !c.joining.listed || c.instances[id] == store.Live || c.now < c.plan.removedAt+c.cfg.RemoveInterval {
		return false
	}
	c.plan.removedAt = c.now
	return true
}

// handOver makes another member the planner once this instance controls no target and
// no change is pending.
func (c *Core) handOver(next *Cell) bool {
	for _, sp := range c.plan.services {
		if sp.change.pending() {
			return false
		}
	}
	for _, r := range next.Controllers {
		if r.Instance == c.cfg.Self.ID {
			return false
		}
	}
	can, _ := c.candidates(next)
	if len(can) == 0 {
		return false
	}
	next.Planner, next.PlannerTerm = can[0].ID, next.PlannerTerm+1
	c.record(true, "planner.handed_over", "to", next.Planner, "term", next.PlannerTerm)
	return true
}
