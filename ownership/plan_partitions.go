package ownership

import (
	"maps"
	"slices"

	"github.com/boragegate/boragegate/placement"
	"github.com/boragegate/boragegate/table"
)

// defaultPartitions is the number of partitions of a service that does not configure one.
const defaultPartitions = 1024

// advanceService recovers the assignment of a service, fences off older planners, and then
// plans.
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

// recover reads the store and asks the members for the highest assignment that each has
// received or acknowledged. Once a majority has replied, it writes the content of the highest
// of all these as the first version of this term.
func (c *Core) recover(sp *servicePlan) {
	object := sp.state.object
	if !object.wasRead {
		c.checkStoreTimeout(object)
		if object.ready(c.now) {
			c.readObject(object)
		}
	}
	if c.now >= sp.nextRecoveryRequestAt {
		sp.nextRecoveryRequestAt = c.now + c.cfg.TickInterval
		sp.recoveredStates[c.cfg.Self.ID] = sp.state.newest()
		for _, m := range c.cell.Members {
			if _, ok := sp.recoveredStates[m.ID]; !ok {
				c.send(m.ID, AssignmentRequest{Service: sp.state.name, Recover: c.planner.term, Have: sp.state.highest()})
			}
		}
	}
	svc, ok := c.tableService(sp.state.name)
	if !object.wasRead || len(sp.recoveredStates) < c.cell.Majority() || !ok {
		return
	}
	var base *placement.Assignment
	if object.version > 0 {
		base = sp.state.stored
	}
	for _, a := range sp.recoveredStates {
		if a != nil && (base == nil || a.Version > base.Version) {
			base = a
		}
	}
	if base == nil {
		base = placement.NewAssignment(sp.state.name, configuredPartitions(svc))
	}
	if base.Version >= (c.planner.term+1)<<32 {
		return // a newer planner exists
	}
	c.startAssignmentChange(sp, base, nil, "")
}

// restartRecovery restarts the recovery if an older planner has written to the store before
// the fencing write of this planner was stored. The version in that write was derived from a
// state without the older planner's write.
func (c *Core) restartRecovery(sp *servicePlan) {
	object := sp.state.object
	if !sp.fenced && object.wasRead && object.lastSeen != sp.change.expectedStored && object.lastSeen>>32 < c.planner.term {
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

func configuredPartitions(s table.Service) int {
	if s.Partitions > 0 {
		return s.Partitions
	}
	return defaultPartitions
}

// startAssignmentChange starts to activate the next version of the assignment. The first
// version of a term is the fencing write: it becomes active only once it is in the store, and
// from then on older planners can no longer write.
func (c *Core) startAssignmentChange(sp *servicePlan, base *placement.Assignment, changes []placement.Change, moves string) {
	version := base.Version + 1
	if version>>32 < c.planner.term {
		version = c.planner.term<<32 | 1
	}
	next := base.WithChanges(version, changes)
	sp.change = &recordChange{
		object: sp.state.object, assignment: next, moves: moves, base: base.Version, version: version,
		requiresStore: !sp.fenced, expectedStored: sp.state.object.lastSeen,
		delta: placement.Delta{Service: sp.state.name, From: base.Version, To: version, Changes: changes},
	}
	c.advanceChange(sp.change, c.planner.blocked(sp.change))
}

// planService runs the placement policy and starts the changes that are possible now.
func (c *Core) planService(sp *servicePlan) {
	svc, ok := c.tableService(sp.state.name)
	a := sp.state.assignment
	if !ok {
		svc = table.Service{Name: sp.state.name}
	}
	targets, allReported := c.policyTargets(svc, a)
	// Wait for reports on all targets of a new service. Otherwise the first server to
	// respond would be assigned every partition.
	reportsComplete := allReported || c.now >= sp.startedAt+c.cfg.InitialReportWait
	plan := sp.policy.Plan(placement.Input{
		Now: c.now, Assignment: a, Targets: targets, Load: sp.load,
		PreferStability: svc.Prefer == table.Stability, MovesInFlight: len(sp.activeMoves),
	})
	usable := map[string]bool{}
	for _, t := range targets {
		usable[t.Name] = t.Usable && !t.Leaving
	}
	changes := map[int]string{}
	for _, u := range plan.Urgent {
		if usable[u.Target] && c.canReassign(sp, a, u.Partition) && (reportsComplete || a.OwnerOf(u.Partition) != "") {
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
	moves := formatMoves(a, list, func(ch placement.Change) string { return c.changeReason(sp, a, ch) })
	for _, ch := range list {
		delete(sp.activeMoves, ch.Partition)
	}
	c.startAssignmentChange(sp, a, list, moves)
}

// policyTargets returns the targets of a service as input for its policy: those in the
// table, then those that have left it and still own partitions. allReported reports
// whether the state of every target in the table is known.
func (c *Core) policyTargets(svc table.Service, a *placement.Assignment) (list []placement.Target, allReported bool) {
	allReported = true
	inTable := map[string]bool{}
	for _, r := range c.table.RowsOf(svc.Name) {
		info := c.planner.targetInfo(r.ID())
		inTable[r.Target] = true
		allReported = allReported && info.state != TargetUnknown
		list = append(list, placement.Target{
			Name: r.Target, Zone: r.Zone, Weight: r.Weight, Slots: r.Slots, Lost: info.state == TargetExpired,
			Leaving: r.Drain || info.draining, Usable: info.state == TargetHeld && r.Weight > 0 && !r.Drain && !info.draining,
		})
	}
	for _, name := range a.Targets {
		if inTable[name] {
			continue
		}
		info := c.planner.targetInfo(svc.Name + "/" + name)
		list = append(list, placement.Target{
			Name: name, Zone: c.rowsByTarget[svc.Name+"/"+name].Zone, Lost: info.state == TargetExpired, Leaving: true,
		})
	}
	return list, allReported
}

// canReassign reports whether a partition can be assigned to any target: it has no owner,
// the lease of its owner has expired, or its owner has released it under the current
// controller and epoch.
func (c *Core) canReassign(sp *servicePlan, a *placement.Assignment, p int) bool {
	owner := a.OwnerOf(p)
	if owner == "" {
		return true
	}
	info := c.planner.targetInfo(sp.state.name + "/" + owner)
	return a.Epoch[p] <= info.version && (info.state == TargetExpired || info.released[p])
}

// finishMoves assigns released partitions to the targets of their moves. If that target
// has become unusable, the partition is left to regrantReleased.
func (c *Core) finishMoves(sp *servicePlan, usable map[string]bool, changes map[int]string) {
	for p, m := range sp.activeMoves {
		_, decided := changes[p]
		switch {
		case decided || sp.state.assignment.OwnerOf(p) != m.From:
			delete(sp.activeMoves, p)
		case !c.canReassign(sp, sp.state.assignment, p):
		case usable[m.Target]:
			changes[p] = m.Target
		}
	}
}

// regrantReleased gives partitions back to an owner that has released them without a move,
// for example after its lease expired and it returned. If the owner is not usable, they go
// to the usable target with the fewest partitions.
func (c *Core) regrantReleased(sp *servicePlan, usable map[string]bool, changes map[int]string) {
	a := sp.state.assignment
	for id := range c.planner.targets {
		info := c.planner.targetInfo(id)
		if serviceOf(id) != sp.state.name || info.state != TargetHeld {
			continue
		}
		name := targetName(id)
		to := name
		if !usable[name] {
			to = targetWithFewestPartitions(a, usable)
		}
		for p := range info.released {
			if _, decided := changes[p]; decided || to == "" || p >= len(a.Owner) || a.OwnerOf(p) != name || !c.canReassign(sp, a, p) {
				continue
			}
			changes[p] = to
		}
	}
}

// targetWithFewestPartitions returns the usable target with the fewest partitions, or ""
// if none is usable.
func targetWithFewestPartitions(a *placement.Assignment, usable map[string]bool) string {
	best, least := "", 0
	for _, name := range slices.Sorted(maps.Keys(usable)) {
		if n := len(a.PartitionsOf(name)); usable[name] && (best == "" || n < least) {
			best, least = name, n
		}
	}
	return best
}

// startMoves requests the release of partitions that the policy wants to move. Those that
// can already be reassigned are added to changes instead.
func (c *Core) startMoves(sp *servicePlan, plan placement.Plan, usable map[string]bool, changes map[int]string) {
	for _, m := range plan.Moves {
		if _, moving := sp.activeMoves[m.Partition]; moving {
			continue
		}
		if _, decided := changes[m.Partition]; decided || !usable[m.Target] || sp.state.assignment.OwnerOf(m.Partition) != m.From {
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

// sendReleaseRequests asks controllers for the releases that moves wait for.
func (c *Core) sendReleaseRequests(sp *servicePlan) {
	if len(sp.activeMoves) == 0 || c.now < sp.nextReleaseRequestAt {
		return
	}
	sp.nextReleaseRequestAt = c.now + c.cfg.ReportInterval
	partitions := map[string][]int{}
	for p, m := range sp.activeMoves {
		partitions[m.From] = append(partitions[m.From], p)
	}
	for _, from := range slices.Sorted(maps.Keys(partitions)) {
		id := sp.state.name + "/" + from
		if r, ok := c.cell.Controller(id); ok {
			slices.Sort(partitions[from])
			c.send(r.Instance, ReleaseRequest{Target: id, Term: r.Term, Partitions: partitions[from]})
		}
	}
}
