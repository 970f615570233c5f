package ownership

import (
	"maps"
	"slices"
)

// onReleaseRequest starts to take partitions away from a target: admission stops,
// the server finishes what is in flight, then the planner is told.
func (c *Core) onReleaseRequest(from string, m ReleaseRequest) {
	h := c.controlled[m.Target]
	s := c.services[serviceOf(m.Target)]
	if h == nil || h.term != m.Term || from != c.cell.Planner || s == nil || s.assignment == nil || !c.inContact() {
		return
	}
	h.nextReportAt = c.now
	for _, p := range m.Partitions {
		if p >= len(s.assignment.Owner) || s.assignment.OwnerOf(p) != targetName(h.target) {
			continue
		}
		if _, ok := h.releases[p]; !ok {
			h.releases[p] = releaseState{epoch: s.assignment.Epoch[p], plannerTerm: c.cell.PlannerTerm}
			h.desiredDirty = true
		}
	}
}

// stopReleasedAdmission stops admission for promised partitions once, and releases them
// at the server when nothing is in flight at this instance.
func (c *Core) stopReleasedAdmission(h *controlledTarget) {
	var ps []int
	for p, pr := range h.releases {
		if !pr.requested && !pr.done {
			pr.requested = true
			h.releases[p] = pr
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
	c.emit(StopAdmission{Target: h.target, Term: h.term, Partitions: ps})
}

func (c *Core) onAdmissionStopped(e AdmissionStopped) {
	h := c.controlled[e.Target]
	if h == nil || h.term != e.Term {
		c.sendControlEnded(e)
		return
	}
	if !h.checksGrants {
		for _, p := range e.Partitions {
			c.completeRelease(h, p)
		}
		if e.Partitions == nil && h.state != TargetLapsed {
			c.setState(h, TargetLapsed)
		}
		return
	}
	// A partition that was granted again in the meantime must not be released.
	ps := slices.DeleteFunc(append(h.releaseCall.partitions, e.Partitions...), func(p int) bool {
		pr, ok := h.releases[p]
		return !ok || pr.done
	})
	if len(ps) > 0 {
		c.sendRelease(h, ps)
	}
}

// sendControlEnded tells the new controller that nothing is in flight here any more.
func (c *Core) sendControlEnded(e AdmissionStopped) {
	if c.cell == nil {
		return
	}
	if r, ok := c.cell.Controller(e.Target); ok && r.Term > e.Term && r.Instance != c.cfg.Self.ID {
		c.send(r.Instance, ControlEnded{Target: e.Target, Term: e.Term})
	}
}

func (c *Core) sendRelease(h *controlledTarget, ps []int) {
	h.setVersion++
	r := c.newServerRequest(h)
	r.Release, r.LeaseMS = true, 0
	r.SetVersion, r.Removals = h.setVersion, toRanges(ps, nil)
	r.Timeout = releaseTimeout
	h.releaseCall = pendingCall{partitions: ps, setVersion: h.setVersion, id: c.callServer(h, r)}
}

// onReleaseReply ends a release. After a failure it is tried again.
func (c *Core) onReleaseReply(h *controlledTarget, e ServerReplied) {
	ps := h.releaseCall.partitions
	if e.Err == nil && e.Reply.Term == h.term {
		h.confirmedVersion = max(h.confirmedVersion, h.releaseCall.setVersion)
	}
	h.releaseCall = pendingCall{}
	for _, p := range ps {
		pr, ok := h.releases[p]
		switch {
		case !ok || pr.done:
		case e.Err == nil && e.Reply.Released && e.Reply.Term == h.term:
			c.completeRelease(h, p)
		default:
			pr.requested = false
			h.releases[p] = pr
		}
	}
}

func (c *Core) completeRelease(h *controlledTarget, p int) {
	if pr, ok := h.releases[p]; ok && !pr.done {
		pr.done = true
		h.releases[p] = pr
		h.nextReportAt = c.now
	}
}

// onHealthObserved notes that a server that does not check grants is down or up again.
func (c *Core) onHealthObserved(e HealthObserved) {
	h := c.controlled[e.Target]
	if h == nil || h.checksGrants || !h.leased {
		return
	}
	switch {
	case !e.Up && h.state == TargetHeld:
		c.emit(StopAdmission{Target: h.target, Term: h.term})
	case e.Up && h.state == TargetLapsed:
		c.setState(h, TargetHeld)
	}
}
