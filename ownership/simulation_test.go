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

// simulation runs several cores with a fake store and fake servers in virtual time. It is a
// discrete-event simulation: callbacks run in the order of their times, and a run is
// determined by its seed.
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
	cutLinks        map[[2]string]bool          // links that lose messages and calls, by sender and receiver
	lastDeliveries  map[[2]string]time.Duration // time of the last delivery on each link
	jitter          time.Duration
	dropRate        float64 // fraction of messages that are lost
	duplicateRate   float64 // fraction of messages that are delivered twice
	faults          faults
	log             []string
	omittedEvents   map[string]bool   // events left out of the log
	violations      []string          // violated invariants
	verbose         bool              // also log calls and writes
	fullGrants      []CallServer      // calls that replace a grant set with a non-empty one
	unownedTime     time.Duration     // total time in which a partition had no owner or forwarder
	highestTerms    map[string]uint64 // term of the last write to the store, by target
	highestVersions map[string]uint64 // highest published assignment version, by process and service

	messageCounts, messageBytes map[string]int // sent messages, by type
	storeCalls                  map[string]int // by kind of object
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

// simInstance simulates a process of an instance: a core, and the runner that passes events
// to it and carries out its actions.
type simInstance struct {
	sim          *simulation
	id           string
	core         *Core
	started      time.Duration
	pausedUntil  time.Duration // events are queued before this time
	queuedEvents []Event       // events received during a pause
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

// networkDelay returns a random one-way delay of at least 500 µs.
func (sim *simulation) networkDelay() time.Duration {
	return 500*time.Microsecond + time.Duration(sim.rng.Int63n(int64(sim.jitter)+1))
}

// run advances the virtual time by d and runs the callbacks that become due.
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

// startInstance starts an instance, or a new process of an instance that has ended.
func (sim *simulation) startInstance(id, zone string) *simInstance {
	cfg := DefaultConfig()
	cfg.Cell, cfg.faults = "c1", sim.faults
	cfg.Incarnation = fmt.Sprintf("%s.%d", id, sim.seq)
	cfg.Self = Member{ID: id, Zone: zone, PeerAddress: id + ":1", ForwardAddress: id + ":2"}
	cfg.NewPolicy = func(string) placement.Policy { return evenPolicy{} }
	inst := &simInstance{sim: sim, id: id, core: New(cfg), started: sim.now - time.Second}
	sim.instances[id] = inst
	sim.listedInstances[id] = store.Instance{ID: id, Zone: zone, State: store.InstanceLive}
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

// step passes an event to the core and carries out its actions. If the instance is paused,
// it queues the event.
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

// forwards reports whether the instance forwards requests to a target at present.
func (inst *simInstance) forwards(target string) bool {
	if inst.dead || inst.sim.now < inst.pausedUntil || inst.view == nil || inst.sim.now-inst.started >= inst.contactUntil {
		return false
	}
	controlled := inst.view.Controlled[target]
	return controlled != nil && controlled.State == TargetHeld
}

// checkSingleForwarder checks, for the servers that do not check grants, that no other
// instance forwards to a target of this one, and that no partition is forwarded to two
// targets.
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

// pause suspends the process for d. Events received in that time are queued.
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

// instanceIDs returns the sorted IDs of all instances.
func (sim *simulation) instanceIDs() []string { return slices.Sorted(maps.Keys(sim.instances)) }

// kill ends the process. Messages and calls that it has sent are still delivered.
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

// detailf logs a line only if the log is verbose, as in the recorded scenarios.
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

// sendMessage delivers a message unless it is lost. It encodes and decodes every message like
// the peer transport does, so that cores never share memory.
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
		if link := [2]string{from, e.To.ID}; sim.duplicateRate == 0 { // a connection preserves the order of messages
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

// publishView replaces the routing view of the instance and checks the assignments in it:
// their versions never decrease, and the store has those that are not provisional.
func (inst *simInstance) publishView(v *View) {
	sim := inst.sim
	inst.view = v
	for name, a := range v.Assignments {
		if !slices.Contains(v.ProvisionalServices, name) && sim.store.recordVersion(kindAssignment, "c1."+name) < a.Version {
			sim.recordViolation("durability: %s publishes %s version %d as stored, the store has an older version", inst.id, name, a.Version)
		}
		versionKey := inst.id + inst.core.cfg.Incarnation + name
		if a.Version < sim.highestVersions[versionKey] {
			sim.recordViolation("epoch order: %s went back to version %d of %s", inst.id, a.Version, name)
		}
		sim.highestVersions[versionKey] = a.Version
	}
}

// evenPolicy distributes partitions evenly over the usable targets.
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
