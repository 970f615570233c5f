package ownership

import (
	"maps"
	"slices"
)

// onReleaseRequest starts to release partitions of a target: admission stops, the server
// completes the requests in flight, then the planner is informed.
func (c *Core) onReleaseRequest(from string, m ReleaseRequest) {
	t := c.controlled[m.Target]
	s := c.services[serviceOf(m.Target)]
	if t == nil || t.term != m.Term || from != c.cell.Planner || s == nil || s.assignment == nil || !c.inContact() {
		return
	}
	t.nextReportAt = c.now
	for _, p := range m.Partitions {
		if p >= len(s.assignment.Owner) || s.assignment.OwnerOf(p) != targetName(t.target) {
			continue
		}
		if _, ok := t.releases[p]; !ok {
			t.releases[p] = releaseState{epoch: s.assignment.Epoch[p], plannerTerm: c.cell.PlannerTerm}
			t.desiredDirty = true
		}
	}
}

// stopAdmissionForReleases stops admission for the partitions to be released, except those
// for which it was stopped before and whose release at the server has not failed since. If
// the server checks grants, they are released at the server once no request for them is in
// flight at this instance any more.
func (c *Core) stopAdmissionForReleases(t *controlledTarget) {
	var ps []int
	for p, release := range t.releases {
		if !release.requested && !release.done {
			release.requested = true
			t.releases[p] = release
			ps = append(ps, p)
		}
	}
	if len(ps) == 0 {
		return
	}
	slices.Sort(ps)
	t.granted = maps.Clone(t.granted)
	for _, p := range ps {
		delete(t.granted, p)
	}
	c.viewDirty = true
	c.emit(StopAdmission{Target: t.target, Term: t.term, Partitions: ps})
}

func (c *Core) onAdmissionStopped(e AdmissionStopped) {
	t := c.controlled[e.Target]
	if t == nil || t.term != e.Term {
		c.sendControlEnded(e)
		return
	}
	if !t.checksGrants {
		for _, p := range e.Partitions {
			c.completeRelease(t, p)
		}
		if e.Partitions == nil && t.state != TargetExpired {
			c.setState(t, TargetExpired)
		}
		return
	}
	// A partition that was granted again in the meantime must not be released.
	ps := slices.DeleteFunc(append(t.releaseCall.partitions, e.Partitions...), func(p int) bool {
		release, ok := t.releases[p]
		return !ok || release.done
	})
	if len(ps) > 0 {
		c.sendRelease(t, ps)
	}
}

// sendControlEnded informs the new controller of a target that no request is in flight at
// this instance any more.
func (c *Core) sendControlEnded(e AdmissionStopped) {
	if c.cell == nil {
		return
	}
	if r, ok := c.cell.Controller(e.Target); ok && r.Term > e.Term && r.Instance != c.cfg.Self.ID {
		c.send(r.Instance, ControlEnded{Target: e.Target, Term: e.Term})
	}
}

func (c *Core) sendRelease(t *controlledTarget, ps []int) {
	t.setVersion++
	r := c.newServerRequest(t)
	r.Release, r.LeaseMS = true, 0
	r.SetVersion, r.Removals = t.setVersion, toRanges(ps, nil)
	r.Timeout = releaseTimeout
	t.releaseCall = pendingCall{partitions: ps, setVersion: t.setVersion, id: c.callServer(t, r)}
}

// onReleaseReply handles the result of a release request. A failed release is retried.
func (c *Core) onReleaseReply(t *controlledTarget, e ServerReplied) {
	ps := t.releaseCall.partitions
	if e.Err == nil && e.Reply.Term == t.term {
		t.confirmedVersion = max(t.confirmedVersion, t.releaseCall.setVersion)
	}
	t.releaseCall = pendingCall{}
	for _, p := range ps {
		release, ok := t.releases[p]
		switch {
		case !ok || release.done:
		case e.Err == nil && e.Reply.Released && e.Reply.Term == t.term:
			c.completeRelease(t, p)
		default:
			release.requested = false
			t.releases[p] = release
		}
	}
}

func (c *Core) completeRelease(t *controlledTarget, p int) {
	if release, ok := t.releases[p]; ok && !release.done {
		release.done = true
		t.releases[p] = release
		t.nextReportAt = c.now
	}
}

// onHealthObserved handles a health change of a server that does not check grants.
func (c *Core) onHealthObserved(e HealthObserved) {
	t := c.controlled[e.Target]
	if t == nil || t.checksGrants || !t.leased {
		return
	}
	switch {
	case !e.Up && t.state == TargetHeld:
		c.emit(StopAdmission{Target: t.target, Term: t.term})
	case e.Up && t.state == TargetExpired:
		c.setState(t, TargetHeld)
	}
}
