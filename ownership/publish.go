package ownership

import "github.com/boragegate/boragegate/placement"

// publish emits a new routing view if its content may have changed.
func (c *Core) publish() {
	if !c.viewDirty || c.cell == nil {
		return
	}
	c.viewDirty = false
	v := &View{
		Cell: c.cell, CellProvisional: c.cellProvisional, InContact: c.inContact(),
		Assignments: make(map[string]*placement.Assignment, len(c.serviceOrder)),
		Controlled:  make(map[string]*ControlledTarget, len(c.controlledOrder)),
	}
	for _, s := range c.serviceOrder {
		if s.assignment != nil {
			v.Assignments[s.name] = s.assignment
		}
		if s.provisional {
			v.ProvisionalServices = append(v.ProvisionalServices, s.name)
		}
	}
	for _, t := range c.controlledOrder {
		v.Controlled[t.target] = &ControlledTarget{
			Target: t.target, Term: t.term, State: t.state, Granted: t.granted, BootID: t.bootID,
			LeaseUntil: t.leaseUntil(),
		}
	}
	if c.planner != nil {
		v.PendingMoves = c.pendingMoves()
	}
	c.emit(PublishRoutes{View: v})
}

func (c *Core) pendingMoves() []PendingMove {
	var out []PendingMove
	add := func(s string, m placement.Move, reason string) {
		out = append(out, PendingMove{Service: s, Partition: m.Partition, From: m.From, To: m.Target, Reason: reason})
	}
	for _, s := range c.serviceOrder {
		sp := c.planner.services[s.name]
		if sp == nil {
			continue
		}
		for p := range sp.state.partitionCount() {
			if m, ok := sp.activeMoves[p]; ok {
				add(s.name, m, "waiting for release")
			}
		}
		for _, m := range sp.deferredMoves {
			add(s.name, m, m.Reason)
		}
	}
	return out
}

func (s *serviceState) partitionCount() int {
	if s.assignment == nil {
		return 0
	}
	return len(s.assignment.Owner)
}
