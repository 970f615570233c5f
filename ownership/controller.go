package ownership

import (
	"slices"
	"strings"

	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/table"
)

// controlledTarget is the state of a target at the instance that controls it.
type controlledTarget struct {
	target  string
	service string
	term    uint64
	// Minimum assignment version from the controller's entry in the cell record.
	minVersion uint64
	// Whether the service needs leases, and whether its servers check grants. Only servers
	// that check grants are called.
	leased, checksGrants bool

	state    TargetState
	grantor  *lease.Grantor // the controller's side of the server's lease
	bootID   string
	max      uint64 // highest epoch that the server has seen
	draining bool
	seenTerm uint64 // higher term seen by the server; 0 if none
	// Time before which a restarted server is granted no partitions, since the lease of its
	// previous process may still be valid.
	grantsNotBefore lease.Instant
	// Time before which no requests are forwarded to a server that does not check grants,
	// since its previous controller may still forward some.
	controlStartsAt lease.Instant
	// Time by which the requests of a lost previous controller have ended.
	previousRequestsEndAt lease.Instant

	// The grant set is the set of partitions that are granted to the server, with their
	// epochs. desired is the set that it should have, granted is the set that it has
	// confirmed, without the partitions whose release has started.
	desired      map[int]uint64
	desiredDirty bool // desired has to be computed again
	// Partitions that are being or have been released. They are not granted again until
	// the planner has decided about them.
	releases  map[int]releaseState
	granted   map[int]uint64
	synced    bool // granted matches the grant set at the server
	needsDiff bool // granted may differ from desired
	starting  bool // the server is not ready yet

	setVersion       uint64      // version of the newest change to the grant set
	confirmedVersion uint64      // newest version confirmed by the server
	renewalID        uint64      // ID of the outstanding renewal
	setChange        pendingCall // outstanding change to the grant set
	retryAt          lease.Instant
	releaseCall      pendingCall // outstanding release
	nextReportAt     lease.Instant
}

// releaseState is the progress of the release of a partition.
type releaseState struct {
	epoch       uint64 // epoch of the partition when its release started
	plannerTerm uint64 // term of the newest planner that relies on the release
	done        bool   // no request is in flight any more
	requested   bool   // a stop of admission or a release at the server was requested
}

// pendingCall is an outstanding call to a server, with the change that it requests.
type pendingCall struct {
	id         uint64
	desired    map[int]uint64
	setVersion uint64
	partitions []int
}

// syncControlled aligns the controlled targets with the cell record.
func (c *Core) syncControlled() { c.syncControlledFrom(c.cell) }

// syncControlledFrom does the same after the record old was replaced; old may be nil.
func (c *Core) syncControlledFrom(old *Cell) {
	if c.cell == nil {
		return
	}
	assigned := map[string]bool{}
	if c.isMember() {
		for _, r := range c.cell.Controllers {
			if r.Instance == c.cfg.Self.ID {
				assigned[r.Target] = true
				c.startControl(r, old)
			}
		}
	}
	for _, t := range slices.Clone(c.controlledOrder) {
		if !assigned[t.target] {
			c.stopControl(t)
		}
	}
}

// startControl starts to control a target or applies changes to its entry in the cell
// record.
func (c *Core) startControl(r Controller, old *Cell) {
	svc, ok := c.tableService(serviceOf(r.Target))
	if !ok {
		return
	}
	if t := c.controlled[r.Target]; t != nil && t.term == r.Term {
		t.minVersion, t.desiredDirty = r.MinVersion, true
		return
	}
	if t := c.controlled[r.Target]; t != nil {
		c.removeControlled(t)
	}
	t := &controlledTarget{
		target: r.Target, service: serviceOf(r.Target), term: r.Term, minVersion: r.MinVersion,
		leased: svc.Leased(), checksGrants: svc.Leased() && svc.ChecksGrants,
		state: TargetUnknown, releases: map[int]releaseState{}, granted: map[int]uint64{}, desiredDirty: true,
		nextReportAt: c.now,
	}
	renewalsEndBy := c.previousRenewalsEndBy(r, old)
	t.grantor = lease.NewGrantor(c.cfg.Lease, renewalsEndBy)
	if t.leased && !t.checksGrants {
		t.controlStartsAt = renewalsEndBy
		t.previousRequestsEndAt = t.controlStartsAt + maxRequestTime(svc)
	}
	c.controlled[t.target] = t
	c.controlledOrder = append(c.controlledOrder, t)
	slices.SortFunc(c.controlledOrder, func(a, b *controlledTarget) int { return strings.Compare(a.target, b.target) })
	c.viewDirty = true
	c.log(false, "control.started", "target", t.target, "term", t.term)
}

// previousRenewalsEndBy returns a time by which the previous controller has stopped
// renewing the lease. That is now if it was this instance, and the time by which it was out
// of contact if it is lost. If it is not known to be lost, or if this instance missed a
// record, the time lies outOfContactBound in the future.
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
	if lost, silentBy := c.isLost(prev.Instance); lost {
		return min(silentBy, c.now)
	}
	return latest
}

// outOfContactBound returns the time within which an instance that was superseded in the
// record of a majority is out of contact or has learned of the newer record. Like the duration
// of a lease at its grantor, it allows for clock drift.
func (c *Core) outOfContactBound() lease.Instant {
	cfg := c.cfg.Lease
	cfg.Duration = c.cfg.ContactWindow + staleRecordGrace
	return cfg.GrantorDuration()
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

// stopControl stops controlling a target. If its service needs leases and its server does not
// check grants, admission is stopped too, so that the new controller learns when no request is
// in flight any more.
func (c *Core) stopControl(t *controlledTarget) {
	c.removeControlled(t)
	c.log(false, "control.ended", "target", t.target, "term", t.term)
	if t.leased && !t.checksGrants {
		c.emit(StopAdmission{Target: t.target, Term: t.term})
	}
}

func (c *Core) removeControlled(t *controlledTarget) {
	delete(c.controlled, t.target)
	c.controlledOrder = slices.DeleteFunc(c.controlledOrder, func(o *controlledTarget) bool { return o == t })
	c.viewDirty = true
}

// onControlEnded ends the wait for the previous controller of a server that does not check
// grants: that controller has stopped, and no request is in flight there any more.
func (c *Core) onControlEnded(m ControlEnded) {
	if t := c.controlled[m.Target]; t != nil && m.Term+1 == t.term && t.state == TargetUnknown {
		t.controlStartsAt, t.previousRequestsEndAt = c.now, c.now
	}
}

// onAssignmentChanged schedules a recalculation of the target's partitions, and a report.
func (c *Core) onAssignmentChanged(t *controlledTarget) {
	t.desiredDirty = true
	t.nextReportAt = min(t.nextReportAt, c.now)
}

// updateDesired computes the partitions to grant to the target. A release ends when the
// planner has decided about the partition, which changes its epoch. It also ends when a newer
// planner has written an assignment that still leaves the partition to the target: older
// planners can no longer write then, so none of them moves the partition.
func (c *Core) updateDesired(t *controlledTarget) {
	t.desiredDirty, t.needsDiff = false, true
	t.desired = map[int]uint64{}
	s := c.services[t.service]
	if s == nil || s.assignment == nil {
		return
	}
	upToDate := s.assignment.Version >= t.minVersion
	owned := map[int]bool{}
	for _, p := range s.assignment.PartitionsOf(targetName(t.target)) {
		owned[p] = true
		epoch := s.assignment.Epoch[p]
		if release, ok := t.releases[p]; ok && (release.epoch < epoch || release.plannerTerm < s.assignment.Version>>32) {
			delete(t.releases, p)
		}
		if t.state == TargetExpired { // the planner may reassign all partitions, so all count as released
			t.releases[p] = releaseState{epoch: epoch, plannerTerm: c.cell.PlannerTerm, done: true}
		}
		if _, ok := t.releases[p]; upToDate && !ok || c.cfg.faults.noReleaseTracking {
			t.desired[p] = epoch
		}
	}
	for p := range t.releases {
		if !owned[p] {
			delete(t.releases, p)
		}
	}
}

// advanceTargets performs the work that is due for the targets controlled by this
// instance. An instance that is out of contact renews, grants and reports nothing.
func (c *Core) advanceTargets() {
	if !c.inContact() {
		return
	}
	for _, t := range c.controlledOrder {
		if t.desiredDirty {
			c.updateDesired(t)
			c.viewDirty = true
		}
		switch {
		case !t.leased:
			c.setState(t, TargetHeld)
		case t.checksGrants:
			c.advanceChecked(t)
		default:
			c.advanceUnchecked(t)
		}
		if c.now >= t.nextReportAt {
			c.sendReport(t)
		}
	}
}

// advanceUnchecked updates a target whose server does not check grants. The granted
// partitions are those for which this instance forwards requests.
func (c *Core) advanceUnchecked(t *controlledTarget) {
	if c.now < t.controlStartsAt || t.state == TargetExpired {
		return
	}
	c.setState(t, TargetHeld)
	if !equalGrants(t.granted, t.desired) {
		t.granted, c.viewDirty = t.desired, true
	}
	c.stopAdmissionForReleases(t)
}

func (c *Core) setState(t *controlledTarget, s TargetState) {
	if t.state == s {
		return
	}
	t.state, t.nextReportAt, c.viewDirty = s, c.now, true
	if s == TargetExpired {
		// A change to the grant set that is still outstanding may reach the server only when
		// the server resumes. Its reply must not confirm the set, since the planner may have
		// reassigned partitions in the meantime, so the reply is ignored.
		t.granted, t.synced, t.setChange, t.desiredDirty = map[int]uint64{}, false, pendingCall{}, true
		c.updateDesired(t)
	}
	c.log(false, "target.state", "target", t.target, "term", t.term, "state", string(s))
}

// sendReport sends a report on the target to the planner.
func (c *Core) sendReport(t *controlledTarget) {
	r := TargetReport{
		Target: t.target, Term: t.term, State: t.state, BootID: t.bootID, MaxEpoch: t.max,
		Draining: t.draining, SeenTerm: t.seenTerm,
	}
	if s := c.services[t.service]; s != nil {
		r.Version = s.version()
	}
	for p, release := range t.releases {
		if release.plannerTerm < c.cell.PlannerTerm {
			release.plannerTerm = c.cell.PlannerTerm // the current planner relies on the release from now on
			t.releases[p] = release
		}
	}
	if t.state != TargetExpired {
		for p, release := range t.releases {
			if release.done && c.now >= t.previousRequestsEndAt {
				r.ReleasedPartitions = append(r.ReleasedPartitions, p)
			}
		}
		slices.Sort(r.ReleasedPartitions)
	}
	t.nextReportAt = c.now + c.cfg.ReportInterval
	if t.state == TargetHeld && len(t.releases) == 0 && t.seenTerm == 0 {
		t.nextReportAt = c.now + steadyReportIntervals*c.cfg.ReportInterval
	}
	if t.state == TargetExpired && c.now < t.previousRequestsEndAt {
		// Requests from the lost previous controller may still be running at the target, so its
		// partitions must not be reassigned yet.
		t.nextReportAt = t.previousRequestsEndAt
		return
	}
	c.send(c.cell.Planner, r)
}

// leaseUntil returns the time at which the lease of the target has certainly ended, or 0
// if its server does not check grants.
func (t *controlledTarget) leaseUntil() lease.Instant {
	if !t.checksGrants {
		return 0
	}
	return t.grantor.Expiry()
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
