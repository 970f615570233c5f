package ownership

import (
	"slices"
	"strings"

	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/table"
)

// holding is the state of one target at its controller.
type holding struct {
	id      string
	service string
	term    uint64
	// minVersion is that of the controller's record.
	minVersion uint64
	// leased targets own partitions; checked ones check grants and are called.
	leased, checked bool

	state   TargetState
	grantor *lease.Grantor
	boot    string
	max     uint64 // highest epoch that the server has seen
	drain   bool
	stale   uint64 // higher term that the server has seen; 0 if none
	// notBefore delays grants to a server that restarted until the lease of its
	// earlier process has ended.
	notBefore lease.Instant
	// startAt delays the start at a server that does not check grants.
	startAt lease.Instant
	// quietAt is the moment at which requests of a lost controller have ended.
	quietAt lease.Instant

	want      map[int]uint64 // partitions to grant, with epochs
	wantDirty bool
	// promised are partitions that are not granted again before the planner decides.
	promised map[int]promise
	granted  map[int]uint64 // confirmed by the server
	synced   bool           // granted is what the server has
	compare  bool           // want and granted may differ
	starting bool           // the server is not ready yet

	set       uint64 // version of the newest change of the set
	confirmed uint64 // version that the server has confirmed
	renew     uint64 // ID of the outstanding renewal
	change    call   // outstanding change of the set
	retryAt   lease.Instant
	release   call // outstanding release
	reportAt  lease.Instant
}

// promise records that a partition was released and how far the release got.
type promise struct {
	epoch uint64
	term  uint64 // of the newest planner that was told
	done  bool   // nothing is in flight
	asked bool   // the server or the admission was asked
}

// call is an outstanding call and what it changes.
type call struct {
	id         uint64
	want       map[int]uint64
	set        uint64
	partitions []int
}

// controlsChanged adapts the held targets to the record.
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

// hold starts to control a target or takes over changes of its record.
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

// freeAt is a moment by which the previous controller renews nothing any more.
// If it is not known to be lost, or if this instance missed a record, that is
// when a superseded instance is out of contact or knows of it at the latest.
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

// outOfContactBound is the time after which an instance that has been superseded
// in the record of a majority is out of contact or knows of it.
func (c *Core) outOfContactBound() lease.Instant {
	t := c.cfg.Lease
	t.Duration = c.cfg.ContactWindow + behindGrace
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

// drop stops to control a target.
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

// onControlEnded lets this instance start at a server that does not check grants
// before the old controller is certainly out of contact.
func (c *Core) onControlEnded(m ControlEnded) {
	if h := c.held[m.Target]; h != nil && m.Term+1 == h.term && h.state == TargetUnknown {
		h.startAt, h.quietAt = c.now, c.now
	}
}

// assignmentChanged notes that the partitions of the target may have changed.
func (c *Core) assignmentChanged(h *holding) {
	h.wantDirty = true
	h.reportAt = min(h.reportAt, c.now)
}

// refreshWant computes which partitions the target should be granted. Promises
// end when the planner decided about the partition, or when a newer planner, who
// has fenced off the older one's writes, still leaves it to the target.
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

// advanceControl does what is due for the targets of this instance. An instance
// that is not in contact renews, grants and reports nothing.
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

// advanceUnchecked holds a target whose server does not check grants: what is
// granted is what this instance forwards.
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
		// A change of the set that is still under way may arrive when the server
		// resumes; its reply proves nothing.
		h.granted, h.synced, h.change, h.wantDirty = map[int]uint64{}, false, call{}, true
		c.refreshWant(h)
	}
	c.record(false, "target.state", "target", h.id, "term", h.term, "state", string(s))
}

// report tells the planner about the target.
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
			pr.term = c.cell.PlannerTerm // this planner relies on it from now on
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

// leaseUntil is the moment at which the target's lease has ended for certain.
func (h *holding) leaseUntil() lease.Instant {
	if !h.checked {
		return 0
	}
	return h.grantor.Expiry()
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
