package ownership

import (
	"maps"
	"slices"

	"github.com/boragegate/boragegate/placement"
	"github.com/boragegate/boragegate/table"
)

// defaultPartitions is the number of partitions of a service that does not say.
const defaultPartitions = 1024

// advanceService recovers, fences and plans one service.
func (c *Core) advanceService(sp *servicePlan, due bool) {
	if sp.change.pending() || sp.change != nil && !sp.change.done() {
		c.advanceChange(sp.change, c.planner.blocked(sp.change))
	}
	if sp.change.pending() {
		c.restartRecovery(sp)
		return
	}
	switch {
	case !sp.fenced && sp.change != nil:
		sp.fenced, sp.nextPlanAt = true, c.now
	case !sp.fenced:
		c.recover(sp)
		return
	}
	c.sendReleaseRequests(sp)
	if due || sp.nextPlanAt <= c.now {
		sp.nextPlanAt = c.now + c.cfg.PlanInterval
		c.planService(sp)
	}
}

// recover asks a majority for the highest assignment that they keep and reads
// the store, then writes the highest as the first version of this term.
func (c *Core) recover(sp *servicePlan) {
	sl := sp.state.object
	if !sl.wasRead {
		c.checkStoreTimeout(sl)
		if sl.ready(c.now) {
			c.readObject(sl)
		}
	}
	if c.now >= sp.nextRequestAt {
		sp.nextRequestAt = c.now + c.cfg.TickInterval
		sp.recoveredStates[c.cfg.Self.ID] = sp.state.newest()
		for _, m := range c.cell.Members {
			if _, ok := sp.recoveredStates[m.ID]; !ok {
				c.send(m.ID, AssignmentRequest{Service: sp.state.name, Recover: c.planner.term, Have: sp.state.highest()})
			}
		}
	}
	svc, ok := c.tableService(sp.state.name)
	if !sl.wasRead || len(sp.recoveredStates) < c.cell.Majority() || !ok {
		return
	}
	var base *placement.Assignment
	if sl.version > 0 {
		base = sp.state.stored
	}
	for _, a := range sp.recoveredStates {
		if a != nil && (base == nil || a.Version > base.Version) {
			base = a
		}
	}
	if base == nil {
		base = placement.NewAssignment(sp.state.name, partitionsOf(svc))
	}
	if base.Version >= (c.planner.term+1)<<32 {
		return // a newer planner exists
	}
	c.startChange(sp, base, nil, "")
}

// restartRecovery starts the recovery again if an older planner wrote before the fence.
func (c *Core) restartRecovery(sp *servicePlan) {
	sl := sp.state.object
	if !sp.fenced && sl.wasRead && sl.lastSeen != sp.change.expectedStored && sl.lastSeen>>32 < c.planner.term {
		sp.change = nil
	}
}

func (c *Core) onAssignmentState(from string, m AssignmentState) {
	if c.planner == nil || m.Term != c.planner.term || c.planner.services[m.Service] == nil {
		return
	}
	if _, ok := c.cell.Member(from); ok {
		c.planner.services[m.Service].recoveredStates[from] = m.Highest
	}
}

func partitionsOf(s table.Service) int {
	if s.Partitions > 0 {
		return s.Partitions
	}
	return defaultPartitions
}

// startChange brings the next version of the assignment on its way. The first one
// of a term is the fence: it counts only when the store has it.
func (c *Core) startChange(sp *servicePlan, base *placement.Assignment, changes []placement.Change, moves string) {
	version := base.Version + 1
	if version>>32 < c.planner.term {
		version = c.planner.term<<32 | 1
	}
	next := base.With(version, changes)
	sp.change = &recordChange{
		object: sp.state.object, assignment: next, moves: moves, base: base.Version, version: version,
		requiresStore: !sp.fenced, expectedStored: sp.state.object.lastSeen,
		delta: placement.Delta{Service: sp.state.name, From: base.Version, To: version, Changes: changes},
	}
	c.advanceChange(sp.change, c.planner.blocked(sp.change))
}

// planService asks the policy and starts what can be done now.
func (c *Core) planService(sp *servicePlan) {
	svc, ok := c.tableService(sp.state.name)
	a := sp.state.assignment
	if !ok {
		svc = table.Service{Name: sp.state.name}
	}
	targets, heard := c.policyTargets(svc, a)
	// All targets of a new service count from the first plan on; without the wait
	// the first server to answer would get every partition.
	settled := heard || c.now >= sp.startedAt+c.cfg.InitialReportWait
	plan := sp.policy.Plan(placement.Input{
		Now: c.now, Assignment: a, Targets: targets, Load: sp.load,
		PreferStability: svc.Prefer == table.Stability, InFlight: len(sp.activeMoves),
	})
	usable := map[string]bool{}
	for _, t := range targets {
		usable[t.Name] = t.Usable && !t.Leaving
	}
	changes := map[int]string{}
	for _, u := range plan.Urgent {
		if usable[u.Target] && c.canReassign(sp, a, u.Partition) && (settled || a.OwnerOf(u.Partition) != "") {
			changes[u.Partition] = u.Target
		}
	}
	c.finishMoves(sp, usable, changes)
	c.regrantReleased(sp, usable, changes)
	c.startMoves(sp, plan, usable, changes)
	if len(changes) == 0 {
		return
	}
	list := make([]placement.Change, 0, len(changes))
	for _, p := range slices.Sorted(maps.Keys(changes)) {
		list = append(list, placement.Change{Partition: p, Target: changes[p]})
	}
	moves := formatMoves(a, list, func(ch placement.Change) string { return c.changeCause(sp, a, ch) })
	for _, ch := range list {
		delete(sp.activeMoves, ch.Partition)
	}
	c.startChange(sp, a, list, moves)
}

// policyTargets describes the targets of a service to its policy: those of the
// table, then those that left it and still own partitions. heard says that
// every target of the table has been heard of.
func (c *Core) policyTargets(svc table.Service, a *placement.Assignment) (list []placement.Target, heard bool) {
	heard = true
	known := map[string]bool{}
	for _, r := range c.table.RowsOf(svc.Name) {
		i := c.planner.targetInfo(r.ID())
		known[r.Target] = true
		heard = heard && i.state != TargetUnknown
		list = append(list, placement.Target{
			Name: r.Target, Zone: r.Zone, Weight: r.Weight, Slots: r.Slots, Lost: i.state == TargetLapsed,
			Leaving: r.Drain || i.draining, Usable: i.state == TargetHeld && r.Weight > 0 && !r.Drain && !i.draining,
		})
	}
	for _, name := range a.Targets {
		if known[name] {
			continue
		}
		i := c.planner.targetInfo(svc.Name + "/" + name)
		list = append(list, placement.Target{
			Name: name, Zone: c.rowsByTarget[svc.Name+"/"+name].Zone, Lost: i.state == TargetLapsed, Leaving: true,
		})
	}
	return list, heard
}

// canReassign reports whether a partition can be given to anybody: it has no owner, its
// owner's lease has lapsed, or its owner has released it, under the present
// controller and epoch.
func (c *Core) canReassign(sp *servicePlan, a *placement.Assignment, p int) bool {
	owner := a.OwnerOf(p)
	if owner == "" {
		return true
	}
	i := c.planner.targetInfo(sp.state.name + "/" + owner)
	return a.Epoch[p] <= i.version && (i.state == TargetLapsed || i.released[p])
}

// finishMoves records released partitions at their new owners. If the new owner
// has become unusable, the partition goes to another target.
func (c *Core) finishMoves(sp *servicePlan, usable map[string]bool, changes map[int]string) {
	for p, m := range sp.activeMoves {
		_, done := changes[p]
		switch {
		case done || sp.state.assignment.OwnerOf(p) != m.From:
			delete(sp.activeMoves, p)
		case !c.canReassign(sp, sp.state.assignment, p):
		case usable[m.Target]:
			changes[p] = m.Target
		}
	}
}

// regrantReleased gives partitions back that their owner has released without a move,
// for example after its lease lapsed and it returned.
func (c *Core) regrantReleased(sp *servicePlan, usable map[string]bool, changes map[int]string) {
	a := sp.state.assignment
	for id := range c.planner.targets {
		i := c.planner.targetInfo(id)
		if serviceOf(id) != sp.state.name || i.state != TargetHeld {
			continue
		}
		name := targetName(id)
		to := name
		if !usable[name] {
			to = targetWithFewestPartitions(a, usable)
		}
		for p := range i.released {
			if _, done := changes[p]; done || to == "" || p >= len(a.Owner) || a.OwnerOf(p) != name || !c.canReassign(sp, a, p) {
				continue
			}
			changes[p] = to
		}
	}
}

// targetWithFewestPartitions returns the usable target with the fewest partitions, or "".
func targetWithFewestPartitions(a *placement.Assignment, usable map[string]bool) string {
	best, least := "", 0
	for _, name := range slices.Sorted(maps.Keys(usable)) {
		if n := len(a.PartitionsOf(name)); usable[name] && (best == "" || n < least) {
			best, least = name, n
		}
	}
	return best
}

// startMoves orders the release of partitions that the policy wants to move.
func (c *Core) startMoves(sp *servicePlan, plan placement.Plan, usable map[string]bool, changes map[int]string) {
	for _, m := range plan.Moves {
		if _, busy := sp.activeMoves[m.Partition]; busy {
			continue
		}
		if _, busy := changes[m.Partition]; busy || !usable[m.Target] || sp.state.assignment.OwnerOf(m.Partition) != m.From {
			continue
		}
		if c.canReassign(sp, sp.state.assignment, m.Partition) {
			changes[m.Partition] = m.Target
			continue
		}
		sp.activeMoves[m.Partition] = m
		sp.nextReleaseRequestAt = c.now
	}
	sp.deferredMoves = plan.Deferred
	c.viewDirty = c.viewDirty || len(sp.activeMoves) > 0 || len(sp.deferredMoves) > 0
	c.sendReleaseRequests(sp)
}

// sendReleaseRequests asks the controllers for the releases that moves wait for.
func (c *Core) sendReleaseRequests(sp *servicePlan) {
	if len(sp.activeMoves) == 0 || c.now < sp.nextReleaseRequestAt {
		return
	}
	sp.nextReleaseRequestAt = c.now + c.cfg.ReportInterval
	orders := map[string][]int{}
	for p, m := range sp.activeMoves {
		orders[m.From] = append(orders[m.From], p)
	}
	for _, from := range slices.Sorted(maps.Keys(orders)) {
		id := sp.state.name + "/" + from
		if r, ok := c.cell.Controller(id); ok {
			slices.Sort(orders[from])
			c.send(r.Instance, ReleaseRequest{Target: id, Term: r.Term, Partitions: orders[from]})
		}
	}
}
