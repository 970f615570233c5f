package ownership

import (
	"slices"
	"strings"

	"github.com/boragegate/boragegate/store"
)

// joinRequestValidIntervals is the number of join intervals for which a join request remains
// valid unless it is repeated.
const joinRequestValidIntervals = 3

// planCell updates the cell record, with at most one pending change at a time. due is set if
// it is time for a regular plan.
func (c *Core) planCell(due bool) {
	p := c.planner
	if p.cellChange == nil && c.cell.Version > c.cellObject.highestStored {
		// Another member changed the record on behalf of the planner while the store was
		// unavailable.
		p.cellChange = &recordChange{object: c.cellObject, cell: c.cell, version: c.cell.Version, active: true, provisional: true}
	}
	c.advanceChange(p.cellChange, p.blocked(p.cellChange))
	if c.planner != p || p.cellChange.pending() {
		return
	}
	if p.cellChange != nil && p.cellChange.done() {
		p.cellChange = nil
	}
	if !due && !c.cellPlanUrgent() {
		return
	}
	next := c.cell.Clone()
	changed := c.planControllers(next, due)
	membersChanged := false
	if !changed && p.cellChange == nil && !c.cellObject.lastCallFailed && c.contact.AdoptionCount(c.cell.Version) >= c.cell.Majority() {
		membersChanged = c.planMembers(next)
	}
	if !changed && !membersChanged {
		return
	}
	next.Version = nextCellVersion(c.cell.Version, next.PlannerTerm, 0)
	p.cellChange = &recordChange{
		object: c.cellObject, cell: next, base: c.cell.Version, version: next.Version,
		expectedStored: c.cellObject.lastSeen, requiresStore: membersChanged,
	}
	c.advanceChange(p.cellChange, p.blocked(p.cellChange))
}

// cellPlanUrgent reports whether the record may need a change before the next regular
// plan. It also resets cellPlanDue.
func (c *Core) cellPlanUrgent() bool {
	p := c.planner
	if p.cellPlanDue || len(p.pendingJoins) > 0 || len(p.leaving) > 0 {
		p.cellPlanDue = false
		return true
	}
	for _, m := range c.cell.Members {
		if lost, _ := c.isLost(m.ID); lost || c.contact.ReportsNoContact(c.now, m.ID) {
			return true
		}
	}
	return false
}

// planControllers replaces controllers that are lost, leaving or out of contact, or whose term
// is lower than one that is known to exist. If due is set, it also assigns controllers to
// targets that have none, removes those that are no longer needed (see removeControllers), and
// rebalances if nothing else has changed. Without a table the targets are unknown, so their
// controllers are not changed.
func (c *Core) planControllers(next *Cell, due bool) (changed bool) {
	if c.table == nil {
		return false
	}
	eligible, lost := c.eligibleControllers(next)
	if len(eligible) == 0 {
		return false
	}
	s := newControllerSpread(c, next, eligible)
	for i := range next.Controllers {
		r := &next.Controllers[i]
		info := c.planner.targetInfo(r.Target)
		switch {
		case lost[r.Instance] || c.cannotControl(next, r.Instance):
			c.replaceController(s, r, r.Term+1)
			changed = true
		case max(info.seenTerm, c.highestTerms[r.Target]) > r.Term:
			c.replaceController(s, r, max(info.seenTerm, c.highestTerms[r.Target])+1)
			changed = true
		}
	}
	if due {
		changed = c.addControllers(next, s) || changed
		changed = c.removeControllers(next) || changed
		if !changed {
			changed = c.rebalanceControllers(next, s)
		}
	}
	return changed
}

// cannotControl reports whether an instance can no longer control targets: it is not a
// member, is leaving, or reports that it is out of contact.
func (c *Core) cannotControl(cell *Cell, id string) bool {
	_, ok := cell.Member(id)
	return !ok || c.planner.leaving[id] || c.contact.ReportsNoContact(c.now, id)
}

// replaceController assigns a target to another controller in a new term. Releases made
// under the previous controller are void, so the new one needs the newest assignment that
// may be active.
func (c *Core) replaceController(s *controllerSpread, r *Controller, term uint64) {
	to := s.pick(r.Target)
	c.log(true, "controller.named", "target", r.Target, "from", r.Instance, "to", to, "term", term)
	r.Instance, r.Term, r.MinVersion = to, term, c.highestPossibleVersion(r.Target)
}

// highestPossibleVersion returns the highest version of the target's assignment that may
// be active. Until older planners are fenced off, it is the version of the fencing write,
// since the store may have a version of an older planner that no member knows.
func (c *Core) highestPossibleVersion(target string) uint64 {
	s := c.services[serviceOf(target)]
	if s == nil {
		return 0
	}
	sp := c.planner.services[s.name]
	if sp == nil || !sp.fenced {
		return c.planner.term<<32 | 1
	}
	if sp.change != nil {
		return max(sp.change.version, s.version())
	}
	return s.version()
}

// eligibleControllers returns the members that may control targets, and the IDs of the lost
// members.
func (c *Core) eligibleControllers(cell *Cell) (eligible []Member, lost map[string]bool) {
	for _, m := range cell.Members {
		if isLost, _ := c.isLost(m.ID); isLost {
			if lost == nil {
				lost = map[string]bool{}
			}
			lost[m.ID] = true
			continue
		}
		if !c.planner.leaving[m.ID] && c.contact.IsReady(c.now, m.ID) {
			eligible = append(eligible, m)
		}
	}
	return eligible, lost
}

func (c *Core) addControllers(next *Cell, s *controllerSpread) (changed bool) {
	for _, row := range c.table.Rows {
		id := row.ID()
		if _, ok := next.Controller(id); ok {
			continue
		}
		to := s.pick(id)
		next.Controllers = append(next.Controllers, Controller{Target: id, Instance: to, Term: c.highestTerms[id] + 1, MinVersion: c.highestPossibleVersion(id)})
		c.log(true, "controller.named", "target", id, "to", to, "term", c.highestTerms[id]+1)
		changed = true
	}
	slices.SortFunc(next.Controllers, func(a, b Controller) int { return strings.Compare(a.Target, b.Target) })
	return changed
}

// removeControllers removes the controllers of targets that have left the table and own no
// partitions any more, or whose service has left the table too.
func (c *Core) removeControllers(next *Cell) bool {
	n := len(next.Controllers)
	next.Controllers = slices.DeleteFunc(next.Controllers, func(r Controller) bool {
		if _, ok := c.row(r.Target); ok {
			return false
		}
		svc, ok := c.tableService(serviceOf(r.Target))
		sp := c.planner.services[serviceOf(r.Target)]
		if ok && svc.Leased() && (sp == nil || !sp.fenced || sp.change.pending()) {
			return false
		}
		if ok && sp != nil && sp.state.assignment != nil && len(sp.state.assignment.PartitionsOf(targetName(r.Target))) > 0 {
			return false
		}
		c.log(true, "controller.removed", "target", r.Target, "term", r.Term)
		return true
	})
	return len(next.Controllers) < n
}

// planMembers adds or removes one member, or hands over the planner role. Only one member
// changes at a time, so that consecutive majorities overlap.
func (c *Core) planMembers(next *Cell) bool {
	p := c.planner
	if p.blocked(nil) {
		return false
	}
	p.pendingJoins = slices.DeleteFunc(p.pendingJoins, func(j pendingJoin) bool { return c.now-j.requestedAt > joinRequestValidIntervals*c.cfg.JoinInterval })
	if len(p.pendingJoins) > 0 && c.keepsMajority(next, p.pendingJoins[0].ID, "") {
		m := p.pendingJoins[0].Member
		p.pendingJoins = p.pendingJoins[1:]
		if i := slices.IndexFunc(next.Members, func(o Member) bool { return o.ID == m.ID }); i >= 0 {
			next.Members[i] = m
			c.raiseControllerTerms(next, m.ID)
		} else {
			next.Members = append(next.Members, m)
		}
		delete(p.leaving, m.ID)
		c.log(true, "member.added", "id", m.ID, "zone", m.Zone)
		return true
	}
	for i, m := range next.Members {
		if m.ID == c.cfg.Self.ID || !c.keepsMajority(next, "", m.ID) || !c.removable(m.ID) {
			continue
		}
		next.Members = slices.Delete(next.Members, i, i+1)
		c.log(true, "member.removed", "id", m.ID)
		return true
	}
	return p.leaving[c.cfg.Self.ID] && c.handOverPlanner(next)
}

// keepsMajority reports whether a majority of the cell would be in contact after one
// member is added or removed; add or remove is empty for none. Without that majority, the
// change would end the planner's own contact.
func (c *Core) keepsMajority(cell *Cell, add, remove string) bool {
	n, ready := 0, 0
	if _, ok := cell.Member(add); add != "" && !ok {
		n, ready = 1, 1
	}
	for _, m := range cell.Members {
		if m.ID == remove {
			continue
		}
		n++
		if m.ID == add || c.contact.IsReady(c.now, m.ID) {
			ready++
		}
	}
	return ready >= n/2+1
}

// raiseControllerTerms raises the terms of the targets controlled by an instance that has
// restarted.
func (c *Core) raiseControllerTerms(next *Cell, id string) {
	for i := range next.Controllers {
		if r := &next.Controllers[i]; r.Instance == id {
			r.Term, r.MinVersion = r.Term+1, c.highestPossibleVersion(r.Target)
		}
	}
}

// removable reports whether a member may be removed from the record. It must control
// nothing, and either have asked to leave, or be lost and not listed as live by the
// platform. Lost members are removed at most once per Config.MemberRemovalInterval;
// reporting one as removable starts the next interval.
func (c *Core) removable(id string) bool {
	for _, r := range c.cell.Controllers {
		if r.Instance == id {
			return false
		}
	}
	if c.planner.leaving[id] {
		return true
	}
	lost, _ := c.isLost(id)
	if !lost || !c.join.instancesListed || c.instances[id] == store.InstanceLive || c.now < c.planner.removedAt+c.cfg.MemberRemovalInterval {
		return false
	}
	c.planner.removedAt = c.now
	return true
}

// handOverPlanner makes another member the planner in the next record, once this instance
// controls no target and no change is pending. It reports whether it has done so.
func (c *Core) handOverPlanner(next *Cell) bool {
	for _, sp := range c.planner.services {
		if sp.change.pending() {
			return false
		}
	}
	for _, r := range next.Controllers {
		if r.Instance == c.cfg.Self.ID {
			return false
		}
	}
	eligible, _ := c.eligibleControllers(next)
	if len(eligible) == 0 {
		return false
	}
	next.Planner, next.PlannerTerm = eligible[0].ID, next.PlannerTerm+1
	c.log(true, "planner.handed_over", "to", next.Planner, "term", next.PlannerTerm)
	return true
}
