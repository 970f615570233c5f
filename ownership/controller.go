package ownership

import (
	"slices"
	"strings"

	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/table"
)

// controlledTarget is the state of one target at its controller.
type controlledTarget struct {
	target  string
	service string
	term    uint64
	// minVersion is that of the controller's record.
	minVersion uint64
	// leased targets own partitions; checked ones check grants and are called.
	leased, checksGrants bool

	state    TargetState
	grantor  *lease.Grantor
	bootID   string
	max      uint64 // highest epoch that the server has seen
	draining bool
	seenTerm uint64 // higher term that the server has seen; 0 if none
	// grantsNotBefore delays grants to a server that restarted until the lease of its
	// earlier process has ended.
	grantsNotBefore lease.Instant
	// startAt delays the start at a server that does not check grants.
	startAt lease.Instant
	// oldRequestsEndAt is the moment at which requests of a lost controller have ended.
	oldRequestsEndAt lease.Instant

	desired      map[int]uint64 // partitions to grant, with epochs
	desiredDirty bool
	// releases are partitions that are not granted again before the planner decides.
	releases  map[int]releaseState
	granted   map[int]uint64 // confirmed by the server
	synced    bool           // granted is what the server has
	needsDiff bool           // want and granted may differ
	starting  bool           // the server is not ready yet

	setVersion       uint64      // version of the newest change of the set
	confirmedVersion uint64      // version that the server has confirmed
	renewalID        uint64      // ID of the outstanding renewal
	setChange        pendingCall // outstanding change of the set
	retryAt          lease.Instant
	releaseCall      pendingCall // outstanding release
	nextReportAt     lease.Instant
}

// releaseState records that a partition was released and how far the release got.
type releaseState struct {
	epoch       uint64
	plannerTerm uint64 // of the newest planner that was told
	done        bool   // nothing is in flight
	requested   bool   // the server or the admission was asked
}

// pendingCall is an outstanding call and what it changes.
type pendingCall struct {
	id         uint64
	desired    map[int]uint64
	setVersion uint64
	partitions []int
}

// syncControlled adapts the held targets to the record.
func (c *Core) syncControlled() { c.syncControlledFrom(c.cell) }

func (c *Core) syncControlledFrom(old *Cell) {
	if c.cell == nil {
		return
	}
	keep := map[string]bool{}
	if c.isMember() {
		for _, r := range c.cell.Controllers {
			if r.Instance == c.cfg.Self.ID {
				keep[r.Target] = true
				c.startControl(r, old)
			}
		}
	}
	for _, h := range slices.Clone(c.controlledOrder) {
		if !keep[h.target] {
			c.stopControl(h)
		}
	}
}

// startControl starts to control a target or takes over changes of its record.
func (c *Core) startControl(r Controller, old *Cell) {
	svc, ok := c.tableService(serviceOf(r.Target))
	if !ok {
		return
	}
	if h := c.controlled[r.Target]; h != nil && h.term == r.Term {
		h.minVersion, h.desiredDirty = r.MinVersion, true
		return
	}
	if h := c.controlled[r.Target]; h != nil {
		c.removeControlled(h)
	}
	h := &controlledTarget{
		target: r.Target, service: serviceOf(r.Target), term: r.Term, minVersion: r.MinVersion,
		leased: svc.Leased(), checksGrants: svc.Leased() && svc.ChecksGrants,
		state: TargetUnknown, releases: map[int]releaseState{}, granted: map[int]uint64{}, desiredDirty: true,
		nextReportAt: c.now,
	}
	free := c.previousRenewalsEndBy(r, old)
	h.grantor = lease.NewGrantor(c.cfg.Lease, free)
	if h.leased && !h.checksGrants {
		h.startAt = free
		h.oldRequestsEndAt = h.startAt + maxRequestTime(svc)
	}
	c.controlled[h.target] = h
	c.controlledOrder = append(c.controlledOrder, h)
	slices.SortFunc(c.controlledOrder, func(a, b *controlledTarget) int { return strings.Compare(a.target, b.target) })
	c.viewDirty = true
	c.log(false, "control.started", "target", h.target, "term", h.term)
}

// previousRenewalsEndBy is a moment by which the previous controller renews nothing any more.
// If it is not known to be lost, or if this instance missed a record, that is
// when a superseded instance is out of contact or knows of it at the latest.
func (c *Core) previousRenewalsEndBy(r Controller, old *Cell) lease.Instant {
	latest := c.now + c.outOfContactBound()
	if old == nil {
		return latest
	}
	prev, ok := old.Controller(r.Target)
	if !ok || prev.Term+1 != r.Term {
		return latest
	}
	if prev.Instance == c.cfg.Self.ID {
		return c.now
	}
	if lost, by := c.lostToMajority(prev.Instance); lost {
		return min(by, c.now)
	}
	return latest
}

// outOfContactBound is the time after which an instance that has been superseded
// in the record of a majority is out of contact or knows of it.
func (c *Core) outOfContactBound() lease.Instant {
	t := c.cfg.Lease
	t.Duration = c.cfg.ContactWindow + staleRecordGrace
	return t.GrantorDuration()
}

func maxRequestTime(s table.Service) lease.Instant {
	if s.MaxRequestTime > 0 {
		return lease.Instant(s.MaxRequestTime)
	}
	return defaultMaxRequestTime
}

func (c *Core) tableService(name string) (table.Service, bool) {
	if c.table == nil {
		return table.Service{}, false
	}
	return c.table.Service(name)
}

// stopControl stops to control a target.
func (c *Core) stopControl(h *controlledTarget) {
	c.removeControlled(h)
	c.log(false, "control.ended", "target", h.target, "term", h.term)
	if h.leased && !h.checksGrants {
		c.emit(StopAdmission{Target: h.target, Term: h.term})
	}
}

func (c *Core) removeControlled(h *controlledTarget) {
	delete(c.controlled, h.target)
	c.controlledOrder = slices.DeleteFunc(c.controlledOrder, func(o *controlledTarget) bool { return o == h })
	c.viewDirty = true
}

// onControlEnded lets this instance start at a server that does not check grants
// before the old controller is certainly out of contact.
func (c *Core) onControlEnded(m ControlEnded) {
	if h := c.controlled[m.Target]; h != nil && m.Term+1 == h.term && h.state == TargetUnknown {
		h.startAt, h.oldRequestsEndAt = c.now, c.now
	}
}

// onAssignmentChanged notes that the partitions of the target may have changed.
func (c *Core) onAssignmentChanged(h *controlledTarget) {
	h.desiredDirty = true
	h.nextReportAt = min(h.nextReportAt, c.now)
}

// updateDesired computes which partitions the target should be granted. Promises
// end when the planner decided about the partition, or when a newer planner, who
// has fenced off the older one's writes, still leaves it to the target.
func (c *Core) updateDesired(h *controlledTarget) {
	h.desiredDirty, h.needsDiff = false, true
	h.desired = map[int]uint64{}
	s := c.services[h.service]
	if s == nil || s.assignment == nil {
		return
	}
	known := s.assignment.Version >= h.minVersion
	owned := map[int]bool{}
	for _, p := range s.assignment.PartitionsOf(targetName(h.target)) {
		owned[p] = true
		epoch := s.assignment.Epoch[p]
		if pr, ok := h.releases[p]; ok && (pr.epoch < epoch || pr.plannerTerm < s.assignment.Version>>32) {
			delete(h.releases, p)
		}
		if h.state == TargetLapsed {
			h.releases[p] = releaseState{epoch: epoch, plannerTerm: c.cell.PlannerTerm, done: true}
		}
		if _, ok := h.releases[p]; known && !ok || c.cfg.faults.noReleaseTracking {
			h.desired[p] = epoch
		}
	}
	for p := range h.releases {
		if !owned[p] {
			delete(h.releases, p)
		}
	}
}

// advanceTargets does what is due for the targets of this instance. An instance
// that is not in contact renews, grants and reports nothing.
func (c *Core) advanceTargets() {
	if !c.inContact() {
		return
	}
	for _, h := range c.controlledOrder {
		if h.desiredDirty {
			c.updateDesired(h)
			c.viewDirty = true
		}
		switch {
		case !h.leased:
			c.setState(h, TargetHeld)
		case h.checksGrants:
			c.advanceChecked(h)
		default:
			c.advanceUnchecked(h)
		}
		if c.now >= h.nextReportAt {
			c.sendReport(h)
		}
	}
}

// advanceUnchecked holds a target whose server does not check grants: what is
// granted is what this instance forwards.
func (c *Core) advanceUnchecked(h *controlledTarget) {
	if c.now < h.startAt || h.state == TargetLapsed {
		return
	}
	c.setState(h, TargetHeld)
	if !equalGrants(h.granted, h.desired) {
		h.granted, c.viewDirty = h.desired, true
	}
	c.stopReleasedAdmission(h)
}

func (c *Core) setState(h *controlledTarget, s TargetState) {
	if h.state == s {
		return
	}
	h.state, h.nextReportAt, c.viewDirty = s, c.now, true
	if s == TargetLapsed {
		// A change of the set that is still under way may arrive when the server
		// resumes; its reply proves nothing.
		h.granted, h.synced, h.setChange, h.desiredDirty = map[int]uint64{}, false, pendingCall{}, true
		c.updateDesired(h)
	}
	c.log(false, "target.state", "target", h.target, "term", h.term, "state", string(s))
}

// sendReport tells the planner about the target.
func (c *Core) sendReport(h *controlledTarget) {
	r := TargetReport{
		Target: h.target, Term: h.term, State: h.state, BootID: h.bootID, MaxEpoch: h.max,
		Draining: h.draining, SeenTerm: h.seenTerm,
	}
	if s := c.services[h.service]; s != nil {
		r.Version = s.version()
	}
	for p, pr := range h.releases {
		if pr.plannerTerm < c.cell.PlannerTerm {
			pr.plannerTerm = c.cell.PlannerTerm // this planner relies on it from now on
			h.releases[p] = pr
		}
	}
	if h.state != TargetLapsed {
		for p, pr := range h.releases {
			if pr.done && c.now >= h.oldRequestsEndAt {
				r.ReleasedPartitions = append(r.ReleasedPartitions, p)
			}
		}
		slices.Sort(r.ReleasedPartitions)
	}
	h.nextReportAt = c.now + c.cfg.ReportInterval
	if h.state == TargetHeld && len(h.releases) == 0 && h.seenTerm == 0 {
		h.nextReportAt = c.now + steadyReportIntervals*c.cfg.ReportInterval
	}
	if h.state == TargetLapsed && c.now < h.oldRequestsEndAt {
		h.nextReportAt = h.oldRequestsEndAt
		return
	}
	c.send(c.cell.Planner, r)
}

// leaseUntil is the moment at which the target's lease has ended for certain.
func (h *controlledTarget) leaseUntil() lease.Instant {
	if !h.checksGrants {
		return 0
	}
	return h.grantor.Expiry()
}

func equalGrants(a, b map[int]uint64) bool {
	if len(a) != len(b) {
		return false
	}
	for p, e := range a {
		if b[p] != e {
			return false
		}
	}
	return true
}
