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
	leaving      map[string]bool // members that have asked to leave, by ID
	removedAt    lease.Instant   // time of the last removal of a lost member, or start of the planner
	cellPlanDue  bool            // a server has seen a higher term than that of its controller
}

// pendingJoin is a process that has asked to join the cell.
type pendingJoin struct {
	Member
	requestedAt lease.Instant
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
	startedAt lease.Instant // start of planning for the service
	state     *serviceState
	policy    placement.Policy
	change    *recordChange
	// Replies of the members to the recovery request.
	recoveredStates       map[string]*placement.Assignment
	nextRecoveryRequestAt lease.Instant
	fenced                bool                   // older planners can no longer write
	activeMoves           map[int]placement.Move // by partition
	nextReleaseRequestAt  lease.Instant
	deferredMoves         []placement.Move // moves of the last plan that have to wait
	load                  []float64        // average number of slots in use, by partition
	nextPlanAt            lease.Instant
}

// startPlanner starts planning in a new term. A service is planned once its newest
// assignment has been recovered and older planners are fenced off.
func (c *Core) startPlanner() {
	c.planner = &planner{
		term: c.cell.PlannerTerm, startedAt: c.now, nextPlanAt: c.now, removedAt: c.now,
		services: map[string]*servicePlan{}, targets: map[string]*targetInfo{}, leaving: map[string]bool{},
	}
	c.takeover = takeover{}
	for _, state := range c.serviceOrder {
		state.object.wasRead = false
	}
	c.log(true, "planner.started", "term", c.planner.term)
}

// advancePlanner performs the planning that is due, if this instance is the planner and in
// contact.
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
	for _, state := range c.serviceOrder {
		sp := c.planner.services[state.name]
		if sp == nil {
			sp = &servicePlan{
				state: state, startedAt: c.now, policy: c.cfg.NewPolicy(state.name), recoveredStates: map[string]*placement.Assignment{},
				activeMoves: map[int]placement.Move{},
			}
			c.planner.services[state.name] = sp
		}
		c.advanceService(sp, due)
	}
}

// blocked reports whether provisional changes other than except must be written to the store
// first. except may be nil; a change that is already active is never blocked.
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

// unknownTarget represents a target without a report.
var unknownTarget = &targetInfo{state: TargetUnknown}

// targetInfo returns the last report on a target under its current controller. While a
// change of the controller is pending, the target is unknown: the new controller may grant
// again what the current one has released.
func (p *planner) targetInfo(target string) *targetInfo {
	info := p.targets[target]
	if info == nil {
		return unknownTarget
	}
	if p.cellChange.pending() {
		if r, ok := p.cellChange.cell.Controller(target); !ok || r.Term != info.term {
			return unknownTarget
		}
	}
	return info
}

// onControllersChanged discards the reports of controllers that were replaced, and makes the
// plans of all services due.
func (p *planner) onControllersChanged(cell *Cell) {
	for id, info := range p.targets {
		if r, ok := cell.Controller(id); !ok || r.Term != info.term {
			delete(p.targets, id)
		}
	}
	p.schedulePlansAt(0)
}

// schedulePlansAt makes the plans of all services due at the given time.
func (p *planner) schedulePlansAt(at lease.Instant) {
	for _, sp := range p.services {
		sp.nextPlanAt = at
	}
}

// onTargetReport stores a report on a target and makes a plan due if the report requires
// one.
func (c *Core) onTargetReport(from string, m TargetReport) {
	if c.planner == nil || !c.isPlanner() {
		return
	}
	r, ok := c.cell.Controller(m.Target)
	if !ok || r.Instance != from || r.Term != m.Term {
		return
	}
	info := &targetInfo{term: m.Term, state: m.State, version: m.Version, draining: m.Draining, seenTerm: m.SeenTerm}
	if len(m.ReleasedPartitions) > 0 {
		info.released = make(map[int]bool, len(m.ReleasedPartitions))
		for _, p := range m.ReleasedPartitions {
			info.released[p] = true
		}
	}
	old := c.planner.targets[m.Target]
	if old == nil {
		old = unknownTarget
	}
	c.planner.targets[m.Target] = info
	c.planner.cellPlanDue = c.planner.cellPlanDue || m.SeenTerm > m.Term
	if old.state != info.state || old.draining != info.draining || len(info.released) > 0 || info.state == TargetExpired || old.version != info.version {
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

// onLoadUpdate stores the load of partitions. Partitions that a target no longer owns are
// not reset, since the report of their present owner covers them.
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
		// Reports omit idle partitions.
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
