package ownership

import (
	"slices"
	"strings"
	"time"

	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/membership"
	"github.com/boragegate/boragegate/store"
	"github.com/boragegate/boragegate/table"
)

// pauseThreshold is the time between two steps above which the process counts as having
// been paused. It spans several tick intervals, so that a busy loop does not count as a pause.
const pauseThreshold = 100 * time.Millisecond

// gracePeriodFactor is the grace period of a member whose heartbeats arrive again after a
// suspension, as a multiple of Config.SuspendFor. In this period the member is acknowledged
// even if it reports that it is out of contact. The period is longer than the time without
// acknowledgements before it (see membership.Config), so that at some time enough members
// acknowledge each other.
const gracePeriodFactor = 3

// Core is the control state machine of one instance. See the package comment.
type Core struct {
	cfg     Config
	now     lease.Instant
	actions []Action
	lastID  uint64

	table        *table.Table
	rowsByTarget map[string]table.Row           // by "service/target"; includes rows removed from the table
	instances    map[string]store.InstanceState // the platform's list, by instance ID

	contact         *membership.Tracker
	nextHeartbeatAt lease.Instant
	lastStamp       map[string]lease.Stamp // stamp of each member's newest heartbeat, to acknowledge it again
	sentAcks        map[string]sentAck     // by member
	rejoining       bool                   // no contact, or contact without the newest record; see inContact
	recordCurrentAt lease.Instant          // last time at which no newer record was known to exist
	contactUntil    lease.Instant          // time sent in the last ExtendContact

	cell            *Cell             // active cell record, nil if none is known
	cellProvisional bool              // cell is not known to be in the store
	cellProposal    *Cell             // highest proposed record acknowledged by this member, not known to be active
	cellObject      *storeObject      // the cell record in the store
	lineage         lineage           // versions from which cell was derived
	storeCell       *Cell             // record last read from the store
	highestTerms    map[string]uint64 // highest known term, by target
	services        map[string]*serviceState
	serviceOrder    []*serviceState         // sorted by name
	storeCalls      map[uint64]*storeObject // outstanding calls, by ID

	controlled      map[string]*controlledTarget
	controlledOrder []*controlledTarget // sorted by target

	planner  *planner // nil unless this instance is the planner
	takeover takeover // state of replacing a lost planner or creating a cell

	join      joinState // state of joining the cell
	stopping  bool
	stopped   bool
	viewDirty bool
}

// New returns a Core for an instance that has just started.
func New(cfg Config) *Core {
	cfg.Self.Incarnation = cfg.Incarnation
	c := &Core{
		cfg: cfg, rowsByTarget: map[string]table.Row{}, instances: map[string]store.InstanceState{},
		lastStamp: map[string]lease.Stamp{}, sentAcks: map[string]sentAck{}, highestTerms: map[string]uint64{}, services: map[string]*serviceState{},
		storeCalls: map[uint64]*storeObject{}, controlled: map[string]*controlledTarget{}, rejoining: true,
		contact: membership.New(membership.Config{
			Self: cfg.Self.ID, ContactWindow: cfg.ContactWindow, SilenceAfter: cfg.SilenceAfter,
			SuspendFor: cfg.SuspendFor, ReportValid: cfg.ReportValid, PauseThreshold: pauseThreshold,
			NoContactTolerance: cfg.HeartbeatInterval, GracePeriod: gracePeriodFactor * cfg.SuspendFor,
			DisableSuspension: cfg.faults.noSuspension,
		}),
		cellObject: &storeObject{kind: kindCell, name: cfg.Cell},
	}
	c.join.restartedInstances = map[string]bool{}
	return c
}

// Step processes one event at the time now and returns the actions to carry out, in order.
// If now is before the time of an earlier step, that time is used instead. The returned
// slice belongs to the caller.
func (c *Core) Step(now lease.Instant, ev Event) []Action {
	c.now, c.actions = max(c.now, now), nil
	c.updateContact()
	c.handle(ev)
	c.advance()
	c.publish()
	return c.actions
}

func (c *Core) handle(ev Event) {
	switch e := ev.(type) {
	case Tick:
	case TableObserved:
		c.onTableObserved(e.Table)
	case InstancesListed:
		c.onInstancesListed(e.Instances)
	case MessageReceived:
		c.onMessage(e.From, e.Message)
	case StoreReplied:
		c.onStoreReply(e)
	case ServerReplied:
		c.onServerReply(e)
	case AdmissionStopped:
		c.onAdmissionStopped(e)
	case LoadObserved:
		c.onLoadObserved(e.Reports)
	case HealthObserved:
		c.onHealthObserved(e)
	case StopRequested:
		c.stopping = true
	}
}

// advance performs the work that is due at the current time.
func (c *Core) advance() {
	c.updateContact()
	c.sendHeartbeats()
	c.advanceJoin()
	c.advanceTakeover()
	c.advanceTargets()
	c.advancePlanner()
	c.advanceStop()
}

func (c *Core) onMessage(from string, m Message) {
	switch e := m.(type) {
	case Heartbeat:
		c.onHeartbeat(from, e)
	case HeartbeatAck:
		c.onHeartbeatAck(from, e)
	case JoinRequest:
		c.onJoinRequest(from, e)
	case LeaveRequest:
		c.onLeaveRequest(from)
	case CellUpdate:
		c.adoptCell(e.Cell, e.Provisional)
	case AssignmentUpdate:
		c.onAssignmentUpdate(from, e)
	case AssignmentRequest:
		c.onAssignmentRequest(from, e)
	case AssignmentState:
		c.onAssignmentState(from, e)
	case Proposal:
		c.onProposal(from, e)
	case ProposalAck:
		c.onProposalAck(from, e)
	case ReleaseRequest:
		c.onReleaseRequest(from, e)
	case TargetReport:
		c.onTargetReport(from, e)
	case ControlEnded:
		c.onControlEnded(e)
	case LoadUpdate:
		c.onLoadUpdate(from, e)
	}
}

func (c *Core) onTableObserved(t *table.Table) {
	if c.table != nil && t.Version < c.table.Version {
		return
	}
	c.table = t
	for _, r := range t.Rows {
		c.rowsByTarget[r.ID()] = r
	}
	for _, s := range t.Services {
		if s.Leased() {
			c.service(s.Name)
		}
	}
	c.syncControlled()
	if c.planner != nil {
		c.planner.nextPlanAt = c.now
	}
}

func (c *Core) onInstancesListed(list []store.Instance) {
	clear(c.instances)
	for _, instance := range list {
		c.instances[instance.ID] = instance.State
	}
	c.join.instancesListed = true
}

// row returns the row of a target in the current table.
func (c *Core) row(target string) (table.Row, bool) {
	if c.table == nil {
		return table.Row{}, false
	}
	i := slices.IndexFunc(c.table.Rows, func(r table.Row) bool { return r.ID() == target })
	if i < 0 {
		return table.Row{}, false
	}
	return c.table.Rows[i], true
}

func serviceOf(target string) string {
	s, _, _ := strings.Cut(target, "/")
	return s
}

func targetName(target string) string {
	_, t, _ := strings.Cut(target, "/")
	return t
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Core) nextID() uint64 {
	c.lastID++
	return c.lastID
}

func (c *Core) log(audit bool, event string, fields ...any) {
	c.emit(LogEntry{Event: event, Fields: fields, Audit: audit})
}

// send sends a message to a member. A message to this instance is handled at once.
func (c *Core) send(id string, m Message) {
	if id == c.cfg.Self.ID {
		c.onMessage(id, m)
		return
	}
	if c.cell == nil {
		return
	}
	if to, ok := c.cell.Member(id); ok {
		c.emit(SendMessage{To: to, Message: m})
	}
}

// broadcast sends a message to all other members.
func (c *Core) broadcast(m Message) {
	if c.cell == nil {
		return
	}
	for _, to := range c.cell.Members {
		if to.ID != c.cfg.Self.ID {
			c.emit(SendMessage{To: to, Message: m})
		}
	}
}

// isMember reports whether this process is a member. A record that names an earlier
// process of this instance does not count.
func (c *Core) isMember() bool {
	if c.cell == nil {
		return false
	}
	m, ok := c.cell.Member(c.cfg.Self.ID)
	return ok && m.Incarnation == c.cfg.Incarnation
}

// inContact reports whether this instance may act: it is a member, and a majority has
// acknowledged it within the contact window. After a loss of contact it must also have the
// newest record.
func (c *Core) inContact() bool {
	return c.isMember() && !c.rejoining && (c.contact.InContact(c.now) || c.cfg.faults.noContactCheck)
}

// isPlanner reports whether the record names this process as planner.
func (c *Core) isPlanner() bool { return c.isMember() && c.cell.Planner == c.cfg.Self.ID }
