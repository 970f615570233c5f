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
	w := &simulation{
		rng: rand.New(rand.NewSource(seed)), instances: map[string]*simInstance{}, servers: map[string]*fakeServer{},
		table: &table.Table{Version: 1}, listedInstances: map[string]store.Instance{}, cutLinks: map[[2]string]bool{}, lastDeliveries: map[[2]string]time.Duration{},
		jitter: 200 * time.Microsecond, omittedEvents: map[string]bool{}, highestTerms: map[string]uint64{}, highestVersions: map[string]uint64{},
		messageCounts: map[string]int{}, messageBytes: map[string]int{}, storeCalls: map[string]int{},
	}
	w.store = &fakeStore{sim: w, objects: map[string]store.Object{}}
	return w
}

func (w *simulation) schedule(d time.Duration, fn func()) {
	w.seq++
	heap.Push(&w.queue, callback{w.now + max(d, 0), w.seq, fn})
}

// networkDelay is the time of one way between two parties.
func (w *simulation) networkDelay() time.Duration {
	return 500*time.Microsecond + time.Duration(w.rng.Int63n(int64(w.jitter)+1))
}

// run lets the virtual time pass.
func (w *simulation) run(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		cb := heap.Pop(&w.queue).(callback)
		w.now = cb.at
		cb.fn()
	}
	w.now = end
}

func (w *simulation) logf(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf("%9.1f ms  ", float64(w.now)/float64(time.Millisecond))+fmt.Sprintf(format, args...))
}

func (w *simulation) recordViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

// startInstance starts an instance, or a new process of it.
func (w *simulation) startInstance(id, zone string) *simInstance {
	cfg := DefaultConfig()
	cfg.Cell, cfg.faults = "c1", w.faults
	cfg.Incarnation = fmt.Sprintf("%s.%d", id, w.seq)
	cfg.Self = Member{ID: id, Zone: zone, PeerAddress: id + ":1", ForwardAddress: id + ":2"}
	cfg.NewPolicy = func(string) placement.Policy { return evenPolicy{} }
	n := &simInstance{sim: w, id: id, core: New(cfg), started: w.now - time.Second}
	w.instances[id] = n
	w.listedInstances[id] = store.Instance{ID: id, Zone: zone, State: store.Live}
	n.step(TableObserved{Table: w.table})
	w.schedule(time.Duration(w.rng.Int63n(int64(20*time.Millisecond))), n.tick)
	w.schedule(5*time.Millisecond, n.listInstances)
	return n
}

func (n *simInstance) tick() {
	if n.dead {
		return
	}
	n.step(Tick{})
	n.sim.schedule(20*time.Millisecond, n.tick)
}

func (n *simInstance) listInstances() {
	if n.dead {
		return
	}
	var l []store.Instance
	for _, in := range n.sim.listedInstances {
		l = append(l, in)
	}
	n.step(InstancesListed{Instances: l})
	n.sim.schedule(time.Second, n.listInstances)
}

// step feeds an event, later if the instance is paused.
func (n *simInstance) step(ev Event) {
	switch {
	case n.dead:
	case n.sim.now < n.pausedUntil:
		n.queuedEvents = append(n.queuedEvents, ev)
	default:
		for _, a := range n.core.Step(n.sim.now-n.started, ev) {
			n.perform(a)
		}
		n.checkSingleForwarder()
	}
}

// forwards reports whether the instance would forward to a target now.
func (n *simInstance) forwards(target string) bool {
	if n.dead || n.sim.now < n.pausedUntil || n.view == nil || n.sim.now-n.started >= n.contactUntil {
		return false
	}
	h := n.view.Controlled[target]
	return h != nil && h.State == TargetHeld
}

// checkSingleForwarder checks that nobody else forwards to a target whose server does
// not check grants, or for a partition to another target.
func (n *simInstance) checkSingleForwarder() {
	for _, r := range n.sim.table.Rows {
		if r.Service != "depot" || !n.forwards(r.ID()) {
			continue
		}
		for _, o := range n.sim.instances {
			for _, q := range n.sim.table.Rows {
				switch {
				case q.Service != "depot" || o == n && q == r || !o.forwards(q.ID()):
				case q == r:
					n.sim.recordViolation("one forwarder: %s and %s forward to %s", n.id, o.id, r.ID())
				default:
					n.checkDisjointForwarding(o, r.ID(), q.ID())
				}
			}
		}
	}
}

func (n *simInstance) checkDisjointForwarding(o *simInstance, a, b string) {
	for p := range n.view.Controlled[a].Granted {
		if _, both := o.view.Controlled[b].Granted[p]; both {
			n.sim.recordViolation("one forwarder: %s forwards partition %d to %s, %s to %s", n.id, p, a, o.id, b)
		}
	}
}

// pause stops the process for a time; what arrives waits.
func (n *simInstance) pause(d time.Duration) {
	n.pausedUntil = n.sim.now + d
	n.sim.schedule(d, func() {
		if n.sim.now >= n.pausedUntil {
			n.resume()
		}
	})
}

func (n *simInstance) resume() {
	n.pausedUntil = n.sim.now
	waiting := n.queuedEvents
	n.queuedEvents = nil
	for _, ev := range waiting {
		n.step(ev)
	}
}

// instanceIDs returns the IDs of all instances in order.
func (w *simulation) instanceIDs() []string { return slices.Sorted(maps.Keys(w.instances)) }

// kill ends the process; what it sent stays on its way.
func (n *simInstance) kill() {
	n.dead = true
	n.sim.logf("%s killed", n.id)
}

func (w *simulation) cutBothWays(a, b string) {
	w.cutLinks[[2]string{a, b}], w.cutLinks[[2]string{b, a}] = true, true
}

func (n *simInstance) perform(a Action) {
	w := n.sim
	switch e := a.(type) {
	case ReadObject:
		w.store.startCall(n, e.ID, store.Object{Kind: e.Kind, Name: e.Name}, false)
	case WriteObject:
		w.detailf("%s writes %s/%s", n.id, e.Object.Kind, e.Object.Name)
		w.store.startCall(n, e.ID, e.Object, true)
	case SendMessage:
		w.sendMessage(n.id, e)
	case CallServer:
		if r := e.Request; r.Release {
			w.detailf("%s calls %s: term %d releases %s", n.id, e.Target, r.Term, formatPartitionRanges(r.Removals))
		} else if len(r.Grants)+len(r.Removals) > 0 {
			w.detailf("%s calls %s: term %d grants %s removes %s replace=%v", n.id, e.Target, r.Term, formatPartitionRanges(r.Grants), formatPartitionRanges(r.Removals), r.Replace)
		}
		if e.Request.Replace && len(e.Request.Grants) > 0 {
			w.fullGrants = append(w.fullGrants, e)
		}
		w.callServer(n, e)
	case StopAdmission:
		w.detailf("%s stops admission to %s for %v", n.id, e.Target, e.Partitions)
		w.schedule(time.Millisecond, func() { n.step(AdmissionStopped(e)) })
	case PublishRoutes:
		n.publishView(e.View)
	case ExtendContact:
		n.contactUntil = e.Until
	case Stopped:
		n.stopped, n.dead = true, true
		delete(w.listedInstances, n.id)
		w.logf("%s stopped", n.id)
	case LogEntry:
		if !w.omittedEvents[e.Event] {
			w.logf("%s %s%s", n.id, e.Event, formatFields(e.Fields))
		}
	}
}

// detailf logs a line that only golden runs have.
func (w *simulation) detailf(format string, args ...any) {
	if w.verbose {
		w.logf(format, args...)
	}
}

func formatPartitionRanges(rs []PartitionRange) string {
	var b []string
	for _, r := range rs {
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
func (w *simulation) sendMessage(from string, e SendMessage) {
	m, size := encodeAndDecode(e.Message)
	kind := strings.TrimPrefix(fmt.Sprintf("%T", m), "ownership.")
	w.messageCounts[kind]++
	w.messageBytes[kind] += size
	if w.cutLinks[[2]string{from, e.To.ID}] || w.rng.Float64() < w.dropRate {
		return
	}
	times := 1
	if w.rng.Float64() < w.duplicateRate {
		times = 2
	}
	for range times {
		at := w.now + w.networkDelay()
		if link := [2]string{from, e.To.ID}; w.duplicateRate == 0 { // a connection keeps the order
			at = max(at, w.lastDeliveries[link])
			w.lastDeliveries[link] = at
		}
		w.schedule(at-w.now, func() {
			if to := w.instances[e.To.ID]; to != nil {
				to.step(MessageReceived{From: from, Message: m})
			}
		})
	}
}

// publishView checks what an instance makes visible.
func (n *simInstance) publishView(v *View) {
	w := n.sim
	n.view = v
	for name, a := range v.Assignments {
		if !slices.Contains(v.ProvisionalServices, name) && w.store.recordVersion(kindAssignment, "c1."+name) < a.Version {
			w.recordViolation("durability: %s reports %s version %d in place, the store has less", n.id, name, a.Version)
		}
		key := n.id + n.core.cfg.Incarnation + name
		if a.Version < w.highestVersions[key] {
			w.recordViolation("epoch order: %s went back to version %d of %s", n.id, a.Version, name)
		}
		w.highestVersions[key] = a.Version
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
	least := func() string {
		return slices.MinFunc(usable, func(x, y string) int { return count[x] - count[y] })
	}
	for i := range a.Owner {
		owner := a.OwnerOf(i)
		if owner == "" || state[owner].Lost {
			to := least()
			count[to]++
			p.Urgent = append(p.Urgent, placement.Change{Partition: i, Target: to})
		}
	}
	for i := range a.Owner {
		owner, to := a.OwnerOf(i), least()
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
