package ownership

import (
	"slices"
	"strings"

	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/table"
)

// holding is the state of a target at the instance that controls it.
type holding struct {
	id      string
	service string
	term    uint64
	// Minimum assignment version from the controller's entry in the cell record.
	minVersion uint64
	// Whether the target owns partitions, and whether its server checks grants. Only
	// servers that check grants are called.
	leased, checked bool

	state   TargetState
	grantor *lease.Grantor
	boot    string
	max     uint64 // highest epoch seen by the server
	drain   bool
	stale   uint64 // higher term seen by the server; 0 if none
	// Delays grants to a restarted server until the lease of its previous process has
	// ended.
	notBefore lease.Instant
	// Delays the start of control of a server that does not check grants.
	startAt lease.Instant
	// Time by which the requests of a lost controller have ended.
	quietAt lease.Instant

	want      map[int]uint64 // partitions to grant, with their epochs
	wantDirty bool
	// Partitions that are being or have been released. They are not granted again
	// before the planner has decided about them.
	promised map[int]promise
	granted  map[int]uint64 // partitions confirmed by the server
	synced   bool           // granted equals the set at the server
	compare  bool           // granted may differ from the partitions to grant
	starting bool           // the server is not ready yet

	set       uint64 // version of the newest change to the set
	confirmed uint64 // newest version confirmed by the server
	renew     uint64 // ID of the outstanding renewal
	change    call   // outstanding change to the set
	retryAt   lease.Instant
	release   call // outstanding release
	reportAt  lease.Instant
}

// promise is the progress of the release of a partition.
type promise struct {
	epoch uint64
	term  uint64 // term of the newest planner that relies on the release
	done  bool   // no request is in flight any more
	asked bool   // a stop of admission or a release at the server was requested
}

// call is an outstanding call to a server, with the change that it requests.
type call struct {
	id         uint64
	want       map[int]uint64
	set        uint64
	partitions []int
}

// controlsChanged aligns the controlled targets with the cell record.
func (c *Core) controlsChanged() { c.controlsChangedFrom(c.cell) }

func (c *Core) controlsChangedFrom(old *Cell) {
	if c.cell == nil {
		return
	}
	keep := map[string]bool{}
	if c.member() {
		for _, r := range c.cell.Controllers {
			if r.Instance == c.cfg.Self.ID {
				keep[r.Target] = true
				c.hold(r, old)
			}
		}
	}
	for _, h := range slices.Clone(c.heldOrder) {
		if !keep[h.id] {
			c.drop(h)
		}
	}
}

// hold starts to control a target or applies changes of its entry in the cell record.
func (c *Core) hold(r Controller, old *Cell) {
	svc, ok := c.tableService(serviceOf(r.Target))
	if !ok {
		return
	}
	if h := c.held[r.Target]; h != nil && h.term == r.Term {
		h.minVersion, h.wantDirty = r.MinVersion, true
		return
	}
	if h := c.held[r.Target]; h != nil {
		c.remove(h)
	}
	h := &holding{
		id: r.Target, service: serviceOf(r.Target), term: r.Term, minVersion: r.MinVersion,
		leased: svc.Leased(), checked: svc.Leased() && svc.ChecksGrants,
		state: TargetUnknown, promised: map[int]promise{}, granted: map[int]uint64{}, wantDirty: true,
		reportAt: c.now,
	}
	free := c.freeAt(r, old)
	h.grantor = lease.NewGrantor(c.cfg.Lease, free)
	if h.leased && !h.checked {
		h.startAt = free
		h.quietAt = h.startAt + maxRequestTime(svc)
	}
	c.held[h.id] = h
	c.heldOrder = append(c.heldOrder, h)
	slices.SortFunc(c.heldOrder, func(a, b *holding) int { return strings.Compare(a.id, b.id) })
	c.viewDirty = true
	c.record(false, "control.started", "target", h.id, "term", h.term)
}

// freeAt returns a time by which the previous controller has stopped renewing the
// lease. If that controller is not known to be lost, or if this instance missed a
// record, it is the latest time by which a superseded instance is out of contact or
// has learned of the newer record.
func (c *Core) freeAt(r Controller, old *Cell) lease.Instant {
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
	if lost, by := c.lost(prev.Instance); lost {
		return min(by, c.now)
	}
	return latest
}

// outOfContactBound returns the time within which an instance that was superseded in
// the record of a majority is out of contact or has learned of the newer record.
func (c *Core) outOfContactBound() lease.Instant {
	t := c.cfg.Lease
	t.Length = c.cfg.ContactWindow + behindGrace
	return t.GrantorLength()
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

// drop stops controlling a target.
func (c *Core) drop(h *holding) {
	c.remove(h)
	c.record(false, "control.ended", "target", h.id, "term", h.term)
	if h.leased && !h.checked {
		c.emit(StopAdmission{Target: h.id, Term: h.term})
	}
}

func (c *Core) remove(h *holding) {
	delete(c.held, h.id)
	c.heldOrder = slices.DeleteFunc(c.heldOrder, func(o *holding) bool { return o == h })
	c.viewDirty = true
}

// onControlEnded lets this instance start controlling a server that does not check
// grants before the previous controller is known to be out of contact.
func (c *Core) onControlEnded(m ControlEnded) {
	if h := c.held[m.Target]; h != nil && m.Term+1 == h.term && h.state == TargetUnknown {
		h.startAt, h.quietAt = c.now, c.now
	}
}

// assignmentChanged schedules a recalculation of the target's partitions, and a
// report.
func (c *Core) assignmentChanged(h *holding) {
	h.wantDirty = true
	h.reportAt = min(h.reportAt, c.now)
}

// refreshWant computes the partitions to grant to the target. A release ends when the
// planner has decided about the partition, or when a newer planner, which has fenced
// off writes of the older one, still leaves the partition to the target.
func (c *Core) refreshWant(h *holding) {
	h.wantDirty, h.compare = false, true
	h.want = map[int]uint64{}
	s := c.services[h.service]
	if s == nil || s.a == nil {
		return
	}
	known := s.a.Version >= h.minVersion
	owned := map[int]bool{}
	for _, p := range s.a.PartitionsOf(targetName(h.id)) {
		owned[p] = true
		epoch := s.a.Epoch[p]
		if pr, ok := h.promised[p]; ok && (pr.epoch < epoch || pr.term < s.a.Version>>32) {
			delete(h.promised, p)
		}
		if h.state == TargetLapsed {
			h.promised[p] = promise{epoch: epoch, term: c.cell.PlannerTerm, done: true}
		}
		if _, ok := h.promised[p]; known && !ok || c.cfg.faults.noReleasePromise {
			h.want[p] = epoch
		}
	}
	for p := range h.promised {
		if !owned[p] {
			delete(h.promised, p)
		}
	}
}

// advanceControl performs the work that is due for the targets controlled by this
// instance. An instance that is out of contact renews, grants and reports nothing.
func (c *Core) advanceControl() {
	if !c.inContact() {
		return
	}
	for _, h := range c.heldOrder {
		if h.wantDirty {
			c.refreshWant(h)
			c.viewDirty = true
		}
		switch {
		case !h.leased:
			c.setState(h, TargetHeld)
		case h.checked:
			c.advanceServer(h)
		default:
			c.advanceUnchecked(h)
		}
		if c.now >= h.reportAt {
			c.report(h)
		}
	}
}

// advanceUnchecked updates a target whose server does not check grants. The granted
// partitions are those for which this instance forwards requests.
func (c *Core) advanceUnchecked(h *holding) {
	if c.now < h.startAt || h.state == TargetLapsed {
		return
	}
	c.setState(h, TargetHeld)
	if !sameSet(h.granted, h.want) {
		h.granted, c.viewDirty = h.want, true
	}
	c.stopPromised(h)
}

func (c *Core) setState(h *holding, s TargetState) {
	if h.state == s {
		return
	}
	h.state, h.reportAt, c.viewDirty = s, c.now, true
	if s == TargetLapsed {
		// A change to the set that is still outstanding may reach the server only when
		// that resumes, so its reply is ignored.
		h.granted, h.synced, h.change, h.wantDirty = map[int]uint64{}, false, call{}, true
		c.refreshWant(h)
	}
	c.record(false, "target.state", "target", h.id, "term", h.term, "state", string(s))
}

// report sends a report on the target to the planner.
func (c *Core) report(h *holding) {
	r := TargetReport{
		Target: h.id, Term: h.term, State: h.state, Boot: h.boot, MaxEpoch: h.max,
		Draining: h.drain, SeenTerm: h.stale,
	}
	if s := c.services[h.service]; s != nil {
		r.Version = s.version()
	}
	for p, pr := range h.promised {
		if pr.term < c.cell.PlannerTerm {
			pr.term = c.cell.PlannerTerm // the current planner relies on the release from now on
			h.promised[p] = pr
		}
	}
	if h.state != TargetLapsed {
		for p, pr := range h.promised {
			if pr.done && c.now >= h.quietAt {
				r.Released = append(r.Released, p)
			}
		}
		slices.Sort(r.Released)
	}
	h.reportAt = c.now + c.cfg.ReportInterval
	if h.state == TargetHeld && len(h.promised) == 0 && h.stale == 0 {
		h.reportAt = c.now + steadyReports*c.cfg.ReportInterval
	}
	if h.state == TargetLapsed && c.now < h.quietAt {
		h.reportAt = h.quietAt
		return
	}
	c.send(c.cell.Planner, r)
}

// leaseUntil returns the time at which the lease of the target has certainly ended, or
// 0 if its server does not check grants.
func (h *holding) leaseUntil() lease.Instant {
	if !h.checked {
		return 0
	}
	return h.grantor.Until()
}

func sameSet(a, b map[int]uint64) bool {
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
