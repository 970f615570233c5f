package ownership

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strings"
	"time"

	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/placement"
	"github.com/boragegate/boragegate/store"
	"github.com/boragegate/boragegate/table"
)

// simulation runs several cores against a fake store and fake servers on virtual
// time. It is a queue of callbacks, each at its time, and is deterministic.
type simulation struct {
	now             time.Duration
	seq             int
	queue           callbacks
	rng             *rand.Rand
	store           *fakeStore
	instances       map[string]*simInstance
	servers         map[string]*fakeServer
	table           *table.Table
	listedInstances map[string]store.Instance
	cutLinks        map[[2]string]bool          // from, to
	lastDeliveries  map[[2]string]time.Duration // delivery of the newest message of a link
	jitter          time.Duration
	dropRate        float64 // share of messages lost
	duplicateRate   float64 // share of messages delivered twice
	faults          faults
	log             []string
	omittedEvents   map[string]bool // records left out of the log
	violations      []string        // invariants that failed
	verbose         bool            // log calls and writes too
	fullGrants      []CallServer    // calls that granted something
	unownedTime     time.Duration   // time in which a partition had no owner
	highestTerms    map[string]uint64
	highestVersions map[string]uint64

	messageCounts, messageBytes map[string]int // by type of message
	storeCalls                  map[string]int // store calls by kind
}

type callback struct {
	at  time.Duration
	seq int
	fn  func()
}

type callbacks []callback

func (q callbacks) Len() int { return len(q) }
func (q callbacks) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q callbacks) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *callbacks) Push(x any)   { *q = append(*q, x.(callback)) }
func (q *callbacks) Pop() any {
	n := len(*q) - 1
	x := (*q)[n]
	*q = (*q)[:n]
	return x
}

// simInstance is one instance: a core and the runner that feeds it.
type simInstance struct {
	sim          *simulation
	id           string
	core         *Core
	started      time.Duration
	pausedUntil  time.Duration // end of the pause
	queuedEvents []Event       // what arrived in it
	dead         bool
	stopped      bool
	view         *View
	contactUntil lease.Instant
}

func newSimulation(seed int64) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewSource(seed)), instances: map[string]*simInstance{}, servers: map[string]*fakeServer{},
		table: &table.Table{Version: 1}, listedInstances: map[string]store.Instance{}, cutLinks: map[[2]string]bool{}, lastDeliveries: map[[2]string]time.Duration{},
		jitter: 200 * time.Microsecond, omittedEvents: map[string]bool{}, highestTerms: map[string]uint64{}, highestVersions: map[string]uint64{},
		messageCounts: map[string]int{}, messageBytes: map[string]int{}, storeCalls: map[string]int{},
	}
	sim.store = &fakeStore{sim: sim, objects: map[string]store.Object{}}
	return sim
}

func (sim *simulation) schedule(d time.Duration, fn func()) {
	sim.seq++
	heap.Push(&sim.queue, callback{sim.now + max(d, 0), sim.seq, fn})
}

// networkDelay is the time of one way between two parties.
func (sim *simulation) networkDelay() time.Duration {
	return 500*time.Microsecond + time.Duration(sim.rng.Int63n(int64(sim.jitter)+1))
}

// run lets the virtual time pass.
func (sim *simulation) run(d time.Duration) {
	end := sim.now + d
	for len(sim.queue) > 0 && sim.queue[0].at <= end {
		cb := heap.Pop(&sim.queue).(callback)
		sim.now = cb.at
		cb.fn()
	}
	sim.now = end
}

func (sim *simulation) logf(format string, args ...any) {
	sim.log = append(sim.log, fmt.Sprintf("%9.1f ms  ", float64(sim.now)/float64(time.Millisecond))+fmt.Sprintf(format, args...))
}

func (sim *simulation) recordViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%v: ", sim.now)+fmt.Sprintf(format, args...))
}

// startInstance starts an instance, or a new process of it.
func (sim *simulation) startInstance(id, zone string) *simInstance {
	cfg := DefaultConfig()
	cfg.Cell, cfg.faults = "c1", sim.faults
	cfg.Incarnation = fmt.Sprintf("%s.%d", id, sim.seq)
	cfg.Self = Member{ID: id, Zone: zone, PeerAddress: id + ":1", ForwardAddress: id + ":2"}
	cfg.NewPolicy = func(string) placement.Policy { return evenPolicy{} }
	inst := &simInstance{sim: sim, id: id, core: New(cfg), started: sim.now - time.Second}
	sim.instances[id] = inst
	sim.listedInstances[id] = store.Instance{ID: id, Zone: zone, State: store.Live}
	inst.step(TableObserved{Table: sim.table})
	sim.schedule(time.Duration(sim.rng.Int63n(int64(20*time.Millisecond))), inst.tick)
	sim.schedule(5*time.Millisecond, inst.listInstances)
	return inst
}

func (inst *simInstance) tick() {
	if inst.dead {
		return
	}
	inst.step(Tick{})
	inst.sim.schedule(20*time.Millisecond, inst.tick)
}

func (inst *simInstance) listInstances() {
	if inst.dead {
		return
	}
	var l []store.Instance
	for _, in := range inst.sim.listedInstances {
		l = append(l, in)
	}
	inst.step(InstancesListed{Instances: l})
	inst.sim.schedule(time.Second, inst.listInstances)
}

// step feeds an event, later if the instance is paused.
func (inst *simInstance) step(ev Event) {
	switch {
	case inst.dead:
	case inst.sim.now < inst.pausedUntil:
		inst.queuedEvents = append(inst.queuedEvents, ev)
	default:
		for _, a := range inst.core.Step(inst.sim.now-inst.started, ev) {
			inst.perform(a)
		}
		inst.checkSingleForwarder()
	}
}

// forwards reports whether the instance would forward to a target now.
func (inst *simInstance) forwards(target string) bool {
	if inst.dead || inst.sim.now < inst.pausedUntil || inst.view == nil || inst.sim.now-inst.started >= inst.contactUntil {
		return false
	}
	h := inst.view.Controlled[target]
	return h != nil && h.State == TargetHeld
}

// checkSingleForwarder checks that nobody else forwards to a target whose server does
// not check grants, or for a partition to another target.
func (inst *simInstance) checkSingleForwarder() {
	for _, r := range inst.sim.table.Rows {
		if r.Service != "depot" || !inst.forwards(r.ID()) {
			continue
		}
		for _, o := range inst.sim.instances {
			for _, q := range inst.sim.table.Rows {
				switch {
				case q.Service != "depot" || o == inst && q == r || !o.forwards(q.ID()):
				case q == r:
					inst.sim.recordViolation("one forwarder: %s and %s forward to %s", inst.id, o.id, r.ID())
				default:
					inst.checkDisjointForwarding(o, r.ID(), q.ID())
				}
			}
		}
	}
}

func (inst *simInstance) checkDisjointForwarding(o *simInstance, a, b string) {
	for p := range inst.view.Controlled[a].Granted {
		if _, shared := o.view.Controlled[b].Granted[p]; shared {
			inst.sim.recordViolation("one forwarder: %s forwards partition %d to %s, %s to %s", inst.id, p, a, o.id, b)
		}
	}
}

// pause stops the process for a time; what arrives waits.
func (inst *simInstance) pause(d time.Duration) {
	inst.pausedUntil = inst.sim.now + d
	inst.sim.schedule(d, func() {
		if inst.sim.now >= inst.pausedUntil {
			inst.resume()
		}
	})
}

func (inst *simInstance) resume() {
	inst.pausedUntil = inst.sim.now
	events := inst.queuedEvents
	inst.queuedEvents = nil
	for _, ev := range events {
		inst.step(ev)
	}
}

// instanceIDs returns the IDs of all instances in order.
func (sim *simulation) instanceIDs() []string { return slices.Sorted(maps.Keys(sim.instances)) }

// kill ends the process; what it sent stays on its way.
func (inst *simInstance) kill() {
	inst.dead = true
	inst.sim.logf("%s killed", inst.id)
}

func (sim *simulation) cutBothWays(a, b string) {
	sim.cutLinks[[2]string{a, b}], sim.cutLinks[[2]string{b, a}] = true, true
}

func (inst *simInstance) perform(a Action) {
	sim := inst.sim
	switch e := a.(type) {
	case ReadObject:
		sim.store.startCall(inst, e.ID, store.Object{Kind: e.Kind, Name: e.Name}, false)
	case WriteObject:
		sim.detailf("%s writes %s/%s", inst.id, e.Object.Kind, e.Object.Name)
		sim.store.startCall(inst, e.ID, e.Object, true)
	case SendMessage:
		sim.sendMessage(inst.id, e)
	case CallServer:
		if r := e.Request; r.Release {
			sim.detailf("%s calls %s: term %d releases %s", inst.id, e.Target, r.Term, formatPartitionRanges(r.Removals))
		} else if len(r.Grants)+len(r.Removals) > 0 {
			sim.detailf("%s calls %s: term %d grants %s removes %s replace=%v", inst.id, e.Target, r.Term, formatPartitionRanges(r.Grants), formatPartitionRanges(r.Removals), r.Replace)
		}
		if e.Request.Replace && len(e.Request.Grants) > 0 {
			sim.fullGrants = append(sim.fullGrants, e)
		}
		sim.callServer(inst, e)
	case StopAdmission:
		sim.detailf("%s stops admission to %s for %v", inst.id, e.Target, e.Partitions)
		sim.schedule(time.Millisecond, func() { inst.step(AdmissionStopped(e)) })
	case PublishRoutes:
		inst.publishView(e.View)
	case ExtendContact:
		inst.contactUntil = e.Until
	case Stopped:
		inst.stopped, inst.dead = true, true
		delete(sim.listedInstances, inst.id)
		sim.logf("%s stopped", inst.id)
	case LogEntry:
		if !sim.omittedEvents[e.Event] {
			sim.logf("%s %s%s", inst.id, e.Event, formatFields(e.Fields))
		}
	}
}

// detailf logs a line that only golden runs have.
func (sim *simulation) detailf(format string, args ...any) {
	if sim.verbose {
		sim.logf(format, args...)
	}
}

func formatPartitionRanges(ranges []PartitionRange) string {
	var b []string
	for _, r := range ranges {
		b = append(b, fmt.Sprintf("%d-%d", r.From, r.To))
	}
	return "[" + strings.Join(b, " ") + "]"
}

func formatFields(kv []any) string {
	var b strings.Builder
	for i := 0; i+1 < len(kv); i += 2 {
		fmt.Fprintf(&b, " %v=%v", kv[i], kv[i+1])
	}
	return b.String()
}

// sendMessage delivers a message unless it is lost; every message is encoded as the
// peer transport does it, so a core never shares memory with another one.
func (sim *simulation) sendMessage(from string, e SendMessage) {
	m, size := encodeAndDecode(e.Message)
	kind := strings.TrimPrefix(fmt.Sprintf("%T", m), "ownership.")
	sim.messageCounts[kind]++
	sim.messageBytes[kind] += size
	if sim.cutLinks[[2]string{from, e.To.ID}] || sim.rng.Float64() < sim.dropRate {
		return
	}
	copies := 1
	if sim.rng.Float64() < sim.duplicateRate {
		copies = 2
	}
	for range copies {
		at := sim.now + sim.networkDelay()
		if link := [2]string{from, e.To.ID}; sim.duplicateRate == 0 { // a connection keeps the order
			at = max(at, sim.lastDeliveries[link])
			sim.lastDeliveries[link] = at
		}
		sim.schedule(at-sim.now, func() {
			if to := sim.instances[e.To.ID]; to != nil {
				to.step(MessageReceived{From: from, Message: m})
			}
		})
	}
}

// publishView checks what an instance makes visible.
func (inst *simInstance) publishView(v *View) {
	sim := inst.sim
	inst.view = v
	for name, a := range v.Assignments {
		if !slices.Contains(v.ProvisionalServices, name) && sim.store.recordVersion(kindAssignment, "c1."+name) < a.Version {
			sim.recordViolation("durability: %s reports %s version %d in place, the store has less", inst.id, name, a.Version)
		}
		versionKey := inst.id + inst.core.cfg.Incarnation + name
		if a.Version < sim.highestVersions[versionKey] {
			sim.recordViolation("epoch order: %s went back to version %d of %s", inst.id, a.Version, name)
		}
		sim.highestVersions[versionKey] = a.Version
	}
}

// evenPolicy gives each usable target the same number of partitions.
type evenPolicy struct{}

func (evenPolicy) Plan(in placement.Input) (p placement.Plan) {
	a, count := in.Assignment, map[string]int{}
	state := map[string]placement.Target{}
	var usable []string
	for _, t := range in.Targets {
		state[t.Name] = t
		if t.Usable && !t.Leaving {
			usable = append(usable, t.Name)
			count[t.Name] = len(a.PartitionsOf(t.Name))
		}
	}
	if len(usable) == 0 {
		return p
	}
	leastLoaded := func() string {
		return slices.MinFunc(usable, func(x, y string) int { return count[x] - count[y] })
	}
	for i := range a.Owner {
		owner := a.OwnerOf(i)
		if owner == "" || state[owner].Lost {
			to := leastLoaded()
			count[to]++
			p.Urgent = append(p.Urgent, placement.Change{Partition: i, Target: to})
		}
	}
	for i := range a.Owner {
		owner, to := a.OwnerOf(i), leastLoaded()
		if owner == "" || state[owner].Lost {
			continue
		}
		if state[owner].Leaving || count[owner] > count[to]+1 {
			count[to]++
			count[owner]--
			p.Moves = append(p.Moves, placement.Move{Change: placement.Change{Partition: i, Target: to}, From: owner, Reason: placement.ReasonWeight})
		}
	}
	return p
}
