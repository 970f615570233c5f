package ownership

import (
	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/placement"
)

// planner is the state of the instance that plans for the cell.
type planner struct {
	term       uint64
	since      lease.Instant
	cellChange *change
	services   map[string]*servicePlan
	targets    map[string]*targetInfo
	due        lease.Instant
	joiners    []joiner
	leaving    map[string]bool
	removedAt  lease.Instant
	urgent     bool // a controller needs a higher term
}

// joiner is a process that has asked to join the cell.
type joiner struct {
	Member
	asked lease.Instant
}

// targetInfo is the last report of a target's controller.
type targetInfo struct {
	term     uint64
	state    TargetState
	version  uint64 // assignment version that the report covers
	released map[int]bool
	draining bool
	seenTerm uint64
}

// servicePlan is the planner's state for one service.
type servicePlan struct {
	since  lease.Instant // start of planning for the service
	s      *serviceState
	policy placement.Policy
	change *change
	// Replies of the members to the recovery request.
	states  map[string]*placement.Assignment
	askAt   lease.Instant
	fenced  bool // older planners can no longer write
	moving  map[int]placement.Move
	orderAt lease.Instant
	waiting []placement.Move
	load    []float64
	due     lease.Instant
}

// startPlanner starts planning in a new term. A service is planned once its newest
// assignment has been recovered and older planners are fenced off.
func (c *Core) startPlanner() {
	c.plan = &planner{
		term: c.cell.PlannerTerm, since: c.now, due: c.now, removedAt: c.now,
		services: map[string]*servicePlan{}, targets: map[string]*targetInfo{}, leaving: map[string]bool{},
	}
	c.take = takeover{}
	for _, s := range c.order {
		s.slot.read = false
	}
	c.record(true, "planner.started", "term", c.plan.term)
}

// advancePlanner performs the planning that is due, if this instance is the planner
// and in contact.
func (c *Core) advancePlanner() {
	if c.plan == nil || !c.inContact() {
		return
	}
	due := c.now >= c.plan.due
	if due {
		c.plan.due = c.now + c.cfg.PlanInterval
	}
	c.planCell(due)
	if c.plan == nil || c.table == nil {
		return
	}
	for _, s := range c.order {
		sp := c.plan.services[s.name]
		if sp == nil {
			sp = &servicePlan{
				s: s, since: c.now, policy: c.cfg.NewPolicy(s.name), states: map[string]*placement.Assignment{},
				moving: map[int]placement.Move{},
			}
			c.plan.services[s.name] = sp
		}
		c.advanceService(sp, due)
	}
}

// blocked reports whether another provisional change must be written to the store
// first.
func (p *planner) blocked(except *change) bool {
	provisional := func(ch *change) bool { return ch != nil && ch != except && ch.inForce && ch.provisional }
	if except != nil && except.inForce {
		return false
	}
	if provisional(p.cellChange) {
		return true
	}
	for _, sp := range p.services {
		if provisional(sp.change) {
			return true
		}
	}
	return false
}

// unknownTarget represents a target without a report.
var unknownTarget = &targetInfo{state: TargetUnknown}

// info returns the last report on a target under its current controller. While a
// change of the controller is pending, the target is unknown: the new controller may
// grant again what the current one has released.
func (p *planner) info(target string) *targetInfo {
	i := p.targets[target]
	if i == nil {
		return unknownTarget
	}
	if p.cellChange.pending() {
		if r, ok := p.cellChange.cell.Controller(target); !ok || r.Term != i.term {
			return unknownTarget
		}
	}
	return i
}

// controllersChanged discards the reports of controllers that were replaced.
func (p *planner) controllersChanged(cell *Cell) {
	for id, i := range p.targets {
		if r, ok := cell.Controller(id); !ok || r.Term != i.term {
			delete(p.targets, id)
		}
	}
	p.planSoon(0)
}

// planSoon makes the plans of all services due at the given time.
func (p *planner) planSoon(now lease.Instant) {
	for _, sp := range p.services {
		sp.due = now
	}
}

// onReport stores a report on a target and makes a plan due if the report requires
// one.
func (c *Core) onReport(from string, m TargetReport) {
	if c.plan == nil || !c.isPlanner() {
		return
	}
	r, ok := c.cell.Controller(m.Target)
	if !ok || r.Instance != from || r.Term != m.Term {
		return
	}
	i := &targetInfo{term: m.Term, state: m.State, version: m.Version, draining: m.Draining, seenTerm: m.SeenTerm}
	if len(m.Released) > 0 {
		i.released = make(map[int]bool, len(m.Released))
		for _, p := range m.Released {
			i.released[p] = true
		}
	}
	old := c.plan.targets[m.Target]
	if old == nil {
		old = unknownTarget
	}
	c.plan.targets[m.Target] = i
	c.plan.urgent = c.plan.urgent || m.SeenTerm > m.Term
	if old.state != i.state || old.draining != i.draining || len(i.released) > 0 || i.state == TargetLapsed || old.version != i.version {
		if sp := c.plan.services[serviceOf(m.Target)]; sp != nil {
			sp.due = c.now
		}
	}
}

func (c *Core) onLoadObserved(reports []LoadReport) {
	if len(reports) > 0 && c.inContact() {
		c.send(c.cell.Planner, LoadUpdate{Reports: reports})
	}
}

// onLoad stores the load of partitions. Partitions that a target no longer owns are
// not reset, since the report of their present owner covers them.
func (c *Core) onLoad(from string, m LoadUpdate) {
	if c.plan == nil {
		return
	}
	for _, r := range m.Reports {
		ctl, ok := c.cell.Controller(r.Target)
		sp := c.plan.services[serviceOf(r.Target)]
		if !ok || ctl.Instance != from || sp == nil || sp.s.a == nil {
			continue
		}
		if len(sp.load) != len(sp.s.a.Owner) {
			sp.load = make([]float64, len(sp.s.a.Owner))
		}
		// Reports omit idle partitions.
		for _, p := range sp.s.a.PartitionsOf(targetName(r.Target)) {
			sp.load[p] = 0
		}
		for _, p := range r.Partitions {
			if p.Partition >= 0 && p.Partition < len(sp.load) {
				sp.load[p.Partition] = p.Load
			}
		}
	}
}
