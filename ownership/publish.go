package ownership

import "github.com/boragegate/boragegate/placement"

// publish publishes a new routing view if its content has changed.
func (c *Core) publish() {
	if !c.viewDirty || c.cell == nil {
		return
	}
	c.viewDirty = false
	v := &View{
		Cell: c.cell, CellProvisional: c.cellProvisional, InContact: c.inContact(),
		Assignments: make(map[string]*placement.Assignment, len(c.order)),
		Held:        make(map[string]*HeldTarget, len(c.heldOrder)),
	}
	for _, s := range c.order {
		if s.a != nil {
			v.Assignments[s.name] = s.a
		}
		if s.provisional {
			v.Provisional = append(v.Provisional, s.name)
		}
	}
	for _, h := range c.heldOrder {
		v.Held[h.id] = &HeldTarget{
			Target: h.id, Term: h.term, State: h.state, Granted: h.granted, Boot: h.boot,
			LeaseUntil: h.leaseUntil(),
		}
	}
	if c.plan != nil {
		v.Pending = c.pendingMoves()
	}
	c.emit(PublishRoutes{View: v})
}

func (c *Core) pendingMoves() []PendingMove {
	var out []PendingMove
	add := func(s string, m placement.Move, reason string) {
		out = append(out, PendingMove{Service: s, Partition: m.Partition, From: m.From, To: m.Target, Reason: reason})
	}
	for _, s := range c.order {
		sp := c.plan.services[s.name]
		if sp == nil {
			continue
		}
		for p := range sp.s.partitions() {
			if m, ok := sp.moving[p]; ok {
				add(s.name, m, "waiting for release")
			}
		}
		for _, m := range sp.waiting {
			add(s.name, m, m.Reason)
		}
	}
	return out
}

func (s *serviceState) partitions() int {
	if s.a == nil {
		return 0
	}
	return len(s.a.Owner)
}
