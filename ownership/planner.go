package ownership

import (
	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/placement"
)

// planner is the state of the instance that plans for the cell.
type planner struct {
	term         uint64
	startedAt    lease.Instant
	cellChange   *recordChange
	services     map[string]*servicePlan
	targets      map[string]*targetInfo
	nextPlanAt   lease.Instant
	pendingJoins []pendingJoin
	leaving      map[string]bool
	removedAt    lease.Instant
	cellPlanDue  bool // a controller needs another term
}

// pendingJoin is a process that asked to join.
type pendingJoin struct {
	Member
	requestedAt lease.Instant
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
	startedAt lease.Instant // when the planner began with the service
	state     *serviceState
	policy    placement.Policy
	change    *recordChange
	// recoveredStates has the answers of the members to the recovery request.
	recoveredStates      map[string]*placement.Assignment
	nextRequestAt        lease.Instant
	fenced               bool // older planners can write no more
	activeMoves          map[int]placement.Move
	nextReleaseRequestAt lease.Instant
	deferredMoves        []placement.Move
	load                 []float64
	nextPlanAt           lease.Instant
}

// startPlanner begins to plan in a new term. Services are planned when their
// newest assignment is recovered and older planners are fenced off.
func (c *Core) startPlanner() {
	c.planner = &planner{
		term: c.cell.PlannerTerm, startedAt: c.now, nextPlanAt: c.now, removedAt: c.now,
		services: map[string]*servicePlan{}, targets: map[string]*targetInfo{}, leaving: map[string]bool{},
	}
	c.takeover = takeover{}
	for _, s := range c.serviceOrder {
		s.object.wasRead = false
	}
	c.log(true, "planner.started", "term", c.planner.term)
}

// advancePlanner does what is due for the cell, if this instance plans and is in contact.
func (c *Core) advancePlanner() {
	if c.planner == nil || !c.inContact() {
		return
	}
	due := c.now >= c.planner.nextPlanAt
	if due {
		c.planner.nextPlanAt = c.now + c.cfg.PlanInterval
	}
	c.planCell(due)
	if c.planner == nil || c.table == nil {
		return
	}
	for _, s := range c.serviceOrder {
		sp := c.planner.services[s.name]
		if sp == nil {
			sp = &servicePlan{
				state: s, startedAt: c.now, policy: c.cfg.NewPolicy(s.name), recoveredStates: map[string]*placement.Assignment{},
				activeMoves: map[int]placement.Move{},
			}
			c.planner.services[s.name] = sp
		}
		c.advanceService(sp, due)
	}
}

// blocked reports whether another provisional change must be written first.
func (p *planner) blocked(except *recordChange) bool {
	provisional := func(ch *recordChange) bool { return ch != nil && ch != except && ch.active && ch.provisional }
	if except != nil && except.active {
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

// targetInfo returns what is known of a target under its current controller. Nothing
// is known once another controller is on its way into the record: that one may
// grant again what the present one has released.
func (p *planner) targetInfo(target string) *targetInfo {
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

// onControllersChanged forgets reports of controllers that were replaced.
func (p *planner) onControllersChanged(cell *Cell) {
	for id, i := range p.targets {
		if r, ok := cell.Controller(id); !ok || r.Term != i.term {
			delete(p.targets, id)
		}
	}
	p.schedulePlansAt(0)
}

// schedulePlansAt makes all services due at now.
func (p *planner) schedulePlansAt(now lease.Instant) {
	for _, sp := range p.services {
		sp.nextPlanAt = now
	}
}

// onTargetReport notes what a controller reports of its target.
func (c *Core) onTargetReport(from string, m TargetReport) {
	if c.planner == nil || !c.isPlanner() {
		return
	}
	r, ok := c.cell.Controller(m.Target)
	if !ok || r.Instance != from || r.Term != m.Term {
		return
	}
	i := &targetInfo{term: m.Term, state: m.State, version: m.Version, draining: m.Draining, seenTerm: m.SeenTerm}
	if len(m.ReleasedPartitions) > 0 {
		i.released = make(map[int]bool, len(m.ReleasedPartitions))
		for _, p := range m.ReleasedPartitions {
			i.released[p] = true
		}
	}
	old := c.planner.targets[m.Target]
	if old == nil {
		old = unknownTarget
	}
	c.planner.targets[m.Target] = i
	c.planner.cellPlanDue = c.planner.cellPlanDue || m.SeenTerm > m.Term
	if old.state != i.state || old.draining != i.draining || len(i.released) > 0 || i.state == TargetLapsed || old.version != i.version {
		if sp := c.planner.services[serviceOf(m.Target)]; sp != nil {
			sp.nextPlanAt = c.now
		}
	}
}

func (c *Core) onLoadObserved(reports []LoadReport) {
	if len(reports) > 0 && c.inContact() {
		c.send(c.cell.Planner, LoadUpdate{Reports: reports})
	}
}

// onLoadUpdate notes the load of partitions. Partitions that a target no longer owns
// are left to its present owner's report.
func (c *Core) onLoadUpdate(from string, m LoadUpdate) {
	if c.planner == nil {
		return
	}
	for _, r := range m.Reports {
		ctl, ok := c.cell.Controller(r.Target)
		sp := c.planner.services[serviceOf(r.Target)]
		if !ok || ctl.Instance != from || sp == nil || sp.state.assignment == nil {
			continue
		}
		if len(sp.load) != len(sp.state.assignment.Owner) {
			sp.load = make([]float64, len(sp.state.assignment.Owner))
		}
		// A report leaves out idle partitions.
		for _, p := range sp.state.assignment.PartitionsOf(targetName(r.Target)) {
			sp.load[p] = 0
		}
		for _, p := range r.Partitions {
			if p.Partition >= 0 && p.Partition < len(sp.load) {
				sp.load[p.Partition] = p.Load
			}
		}
	}
}
