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
	urgent     bool // a controller needs another term
}

// joiner is a process that asked to join.
type joiner struct {
	Member
	asked lease.Instant
}

// targetInfo is what the controller of a target reported last.
type targetInfo struct {
	term     uint64
	state    TargetState
	version  uint64 // of the assignment that the report covers
	released map[int]bool
	draining bool
	seenTerm uint64
}

// servicePlan is the planner's state of one service.
type servicePlan struct {
	since  lease.Instant // when the planner began with the service
	s      *serviceState
	policy placement.Policy
	change *change
	// states has the answers of the members to the recovery request.
	states  map[string]*placement.Assignment
	askAt   lease.Instant
	fenced  bool // older planners can write no more
	moving  map[int]placement.Move
	orderAt lease.Instant
	waiting []placement.Move
	load    []float64
	due     lease.Instant
}

// startPlanner begins to plan in a new term. Services are planned when their
// newest assignment is recovered and older planners are fenced off.
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

// advancePlanner does what is due for the cell, if this instance plans and is in contact.
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

// blocked reports whether another provisional change must be written first.
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

// unknownTarget stands for targets without a report.
var unknownTarget = &targetInfo{state: TargetUnknown}

// info returns what is known of a target under its current controller. Nothing
// is known once another controller is on its way into the record: that one may
// grant again what the present one has released.
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

// controllersChanged forgets reports of controllers that were replaced.
func (p *planner) controllersChanged(cell *Cell) {
	for id, i := range p.targets {
		if r, ok := cell.Controller(id); !ok || r.Term != i.term {
			delete(p.targets, id)
		}
	}
	p.planSoon(0)
}

// planSoon makes all services due at now.
func (p *planner) planSoon(now lease.Instant) {
	for _, sp := range p.services {
		sp.due = now
	}
}

// onReport notes what a controller reports of its target.
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

// onLoad notes the load of partitions. Partitions that a target no longer owns
// are left to its present owner's report.
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
		// A report leaves out idle partitions.
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
