package ownership

import (
	"maps"
	"slices"
)

// onReleaseOrder starts to release partitions of a target: admission stops, the server
// completes the requests in flight, then the planner is informed.
func (c *Core) onReleaseOrder(from string, m ReleaseOrder) {
	h := c.held[m.Target]
	s := c.services[serviceOf(m.Target)]
	if h == nil || h.term != m.Term || from != c.cell.Planner || s == nil || s.a == nil || !c.inContact() {
		return
	}
	h.reportAt = c.now
	for _, p := range m.Partitions {
		if p >= len(s.a.Owner) || s.a.OwnerOf(p) != targetName(h.id) {
			continue
		}
		if _, ok := h.promised[p]; !ok {
			h.promised[p] = promise{epoch: s.a.Epoch[p], term: c.cell.PlannerTerm}
			h.wantDirty = true
		}
	}
}

// stopPromised stops admission once for partitions to be released. They are released
// at the server when no request is in flight at this instance.
func (c *Core) stopPromised(h *holding) {
	var ps []int
	for p, pr := range h.promised {
		if !pr.asked && !pr.done {
			pr.asked = true
			h.promised[p] = pr
			ps = append(ps, p)
		}
	}
	if len(ps) == 0 {
		return
	}
	slices.Sort(ps)
	h.granted = maps.Clone(h.granted)
	for _, p := range ps {
		delete(h.granted, p)
	}
	c.viewDirty = true
	c.emit(StopAdmission{Target: h.id, Term: h.term, Partitions: ps})
}

func (c *Core) onAdmissionStopped(e AdmissionStopped) {
	h := c.held[e.Target]
	if h == nil || h.term != e.Term {
		c.endControl(e)
		return
	}
	if !h.checked {
		for _, p := range e.Partitions {
			c.releaseDone(h, p)
		}
		if e.Partitions == nil && h.state != TargetLapsed {
			c.setState(h, TargetLapsed)
		}
		return
	}
	// A partition that was granted again in the meantime must not be released.
	ps := slices.DeleteFunc(append(h.release.partitions, e.Partitions...), func(p int) bool {
		pr, ok := h.promised[p]
		return !ok || pr.done
	})
	if len(ps) > 0 {
		c.sendRelease(h, ps)
	}
}

// endControl informs the new controller of a target that no request is in flight at
// this instance any more.
func (c *Core) endControl(e AdmissionStopped) {
	if c.cell == nil {
		return
	}
	if r, ok := c.cell.Controller(e.Target); ok && r.Term > e.Term && r.Instance != c.cfg.Self.ID {
		c.send(r.Instance, ControlEnded{Target: e.Target, Term: e.Term})
	}
}

func (c *Core) sendRelease(h *holding, ps []int) {
	h.set++
	r := c.request(h)
	r.Release, r.LeaseMS = true, 0
	r.Set, r.Removals = h.set, ranges(ps, nil)
	r.Timeout = releaseTimeout
	h.release = call{partitions: ps, set: h.set, id: c.call(h, r)}
}

// releaseReplied handles the result of a release request. A failed release is retried.
func (c *Core) releaseReplied(h *holding, e ServerReplied) {
	ps := h.release.partitions
	if e.Err == nil && e.Reply.Term == h.term {
		h.confirmed = max(h.confirmed, h.release.set)
	}
	h.release = call{}
	for _, p := range ps {
		pr, ok := h.promised[p]
		switch {
		case !ok || pr.done:
		case e.Err == nil && e.Reply.Released && e.Reply.Term == h.term:
			c.releaseDone(h, p)
		default:
			pr.asked = false
			h.promised[p] = pr
		}
	}
}

func (c *Core) releaseDone(h *holding, p int) {
	if pr, ok := h.promised[p]; ok && !pr.done {
		pr.done = true
		h.promised[p] = pr
		h.reportAt = c.now
	}
}

// onHealth handles a health change of a server that does not check grants.
func (c *Core) onHealth(e HealthObserved) {
	h := c.held[e.Target]
	if h == nil || h.checked || !h.leased {
		return
	}
	switch {
	case !e.Up && h.state == TargetHeld:
		c.emit(StopAdmission{Target: h.id, Term: h.term})
	case e.Up && h.state == TargetLapsed:
		c.setState(h, TargetHeld)
	}
}
