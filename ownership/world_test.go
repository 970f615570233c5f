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

// world runs several cores against a fake store and fake servers on virtual
// time. It is a queue of callbacks, each at its time, and is deterministic.
type world struct {
	now     time.Duration
	seq     int
	queue   callbacks
	rng     *rand.Rand
	store   *fakeStore
	nodes   map[string]*node
	servers map[string]*fakeServer
	table   *table.Table
	listed  map[string]store.Instance
	cuts    map[[2]string]bool          // from, to
	last    map[[2]string]time.Duration // delivery of the newest message of a link
	jitter  time.Duration
	drop    float64 // share of messages lost
	double  float64 // share of messages delivered twice
	faults  faults
	log     []string
	quiet   map[string]bool // records left out of the log
	broken  []string        // invariants that failed
	verbose bool            // log calls and writes too
	granted []CallServer    // calls that granted something
	gap     time.Duration   // time in which a partition had no owner
	terms   map[string]uint64
	epochs  map[string]uint64

	messages, bytes map[string]int // by type of message
	calls           map[string]int // store calls by kind
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

// node is one instance: a core and the runner that feeds it.
type node struct {
	w       *world
	id      string
	core    *Core
	started time.Duration
	paused  time.Duration // end of the pause
	inbox   []Event       // what arrived in it
	dead    bool
	stopped bool
	view    *View
	contact lease.Instant
}

func newWorld(seed int64) *world {
	w := &world{
		rng: rand.New(rand.NewSource(seed)), nodes: map[string]*node{}, servers: map[string]*fakeServer{},
		table: &table.Table{Version: 1}, listed: map[string]store.Instance{}, cuts: map[[2]string]bool{}, last: map[[2]string]time.Duration{},
		jitter: 200 * time.Microsecond, quiet: map[string]bool{}, terms: map[string]uint64{}, epochs: map[string]uint64{},
		messages: map[string]int{}, bytes: map[string]int{}, calls: map[string]int{},
	}
	w.store = &fakeStore{w: w, objects: map[string]store.Object{}}
	return w
}

func (w *world) after(d time.Duration, fn func()) {
	w.seq++
	heap.Push(&w.queue, callback{w.now + max(d, 0), w.seq, fn})
}

// delay is the time of one way between two parties.
func (w *world) delay() time.Duration {
	return 500*time.Microsecond + time.Duration(w.rng.Int63n(int64(w.jitter)+1))
}

// run lets the virtual time pass.
func (w *world) run(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		cb := heap.Pop(&w.queue).(callback)
		w.now = cb.at
		cb.fn()
	}
	w.now = end
}

func (w *world) logf(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf("%9.1f ms  ", float64(w.now)/float64(time.Millisecond))+fmt.Sprintf(format, args...))
}

func (w *world) violate(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

// start starts an instance, or a new process of it.
func (w *world) start(id, zone string) *node {
	cfg := DefaultConfig()
	cfg.Cell, cfg.faults = "c1", w.faults
	cfg.Incarnation = fmt.Sprintf("%s.%d", id, w.seq)
	cfg.Self = Member{ID: id, Zone: zone, PeerAddress: id + ":1", ForwardAddress: id + ":2"}
	cfg.NewPolicy = func(string) placement.Policy { return evenPolicy{} }
	n := &node{w: w, id: id, core: New(cfg), started: w.now - time.Second}
	w.nodes[id] = n
	w.listed[id] = store.Instance{ID: id, Zone: zone, State: store.Live}
	n.step(TableObserved{Table: w.table})
	w.after(time.Duration(w.rng.Int63n(int64(20*time.Millisecond))), n.tick)
	w.after(5*time.Millisecond, n.list)
	return n
}

func (n *node) tick() {
	if n.dead {
		return
	}
	n.step(Tick{})
	n.w.after(20*time.Millisecond, n.tick)
}

func (n *node) list() {
	if n.dead {
		return
	}
	var l []store.Instance
	for _, in := range n.w.listed {
		l = append(l, in)
	}
	n.step(InstancesListed{Instances: l})
	n.w.after(time.Second, n.list)
}

// step feeds an event, later if the instance is paused.
func (n *node) step(ev Event) {
	switch {
	case n.dead:
	case n.w.now < n.paused:
		n.inbox = append(n.inbox, ev)
	default:
		for _, a := range n.core.Step(n.w.now-n.started, ev) {
			n.do(a)
		}
		n.checkForwarder()
	}
}

// forwards reports whether the instance would forward to a target now.
func (n *node) forwards(target string) bool {
	if n.dead || n.w.now < n.paused || n.view == nil || n.w.now-n.started >= n.contact {
		return false
	}
	h := n.view.Controlled[target]
	return h != nil && h.State == TargetHeld
}

// checkForwarder checks that nobody else forwards to a target whose server does
// not check grants, or for a partition to another target.
func (n *node) checkForwarder() {
	for _, r := range n.w.table.Rows {
		if r.Service != "depot" || !n.forwards(r.ID()) {
			continue
		}
		for _, o := range n.w.nodes {
			for _, q := range n.w.table.Rows {
				switch {
				case q.Service != "depot" || o == n && q == r || !o.forwards(q.ID()):
				case q == r:
					n.w.violate("one forwarder: %s and %s forward to %s", n.id, o.id, r.ID())
				default:
					n.checkDisjoint(o, r.ID(), q.ID())
				}
			}
		}
	}
}

func (n *node) checkDisjoint(o *node, a, b string) {
	for p := range n.view.Controlled[a].Granted {
		if _, both := o.view.Controlled[b].Granted[p]; both {
			n.w.violate("one forwarder: %s forwards partition %d to %s, %s to %s", n.id, p, a, o.id, b)
		}
	}
}

// pause stops the process for a time; what arrives waits.
func (n *node) pause(d time.Duration) {
	n.paused = n.w.now + d
	n.w.after(d, func() {
		if n.w.now >= n.paused {
			n.resume()
		}
	})
}

func (n *node) resume() {
	n.paused = n.w.now
	waiting := n.inbox
	n.inbox = nil
	for _, ev := range waiting {
		n.step(ev)
	}
}

// ids returns the IDs of all instances in order.
func (w *world) ids() []string { return slices.Sorted(maps.Keys(w.nodes)) }

// kill ends the process; what it sent stays on its way.
func (n *node) kill() {
	n.dead = true
	n.w.logf("%s killed", n.id)
}

func (w *world) cut(a, b string) { w.cuts[[2]string{a, b}], w.cuts[[2]string{b, a}] = true, true }

func (n *node) do(a Action) {
	w := n.w
	switch e := a.(type) {
	case ReadObject:
		w.store.call(n, e.ID, store.Object{Kind: e.Kind, Name: e.Name}, false)
	case WriteObject:
		w.detail("%s writes %s/%s", n.id, e.Object.Kind, e.Object.Name)
		w.store.call(n, e.ID, e.Object, true)
	case SendMessage:
		w.message(n.id, e)
	case CallServer:
		if r := e.Request; r.Release {
			w.detail("%s calls %s: term %d releases %s", n.id, e.Target, r.Term, spans(r.Removals))
		} else if len(r.Grants)+len(r.Removals) > 0 {
			w.detail("%s calls %s: term %d grants %s removes %s replace=%v", n.id, e.Target, r.Term, spans(r.Grants), spans(r.Removals), r.Replace)
		}
		if e.Request.Replace && len(e.Request.Grants) > 0 {
			w.granted = append(w.granted, e)
		}
		w.server(n, e)
	case StopAdmission:
		w.detail("%s stops admission to %s for %v", n.id, e.Target, e.Partitions)
		w.after(time.Millisecond, func() { n.step(AdmissionStopped(e)) })
	case PublishRoutes:
		n.published(e.View)
	case ExtendContact:
		n.contact = e.Until
	case Stopped:
		n.stopped, n.dead = true, true
		delete(w.listed, n.id)
		w.logf("%s stopped", n.id)
	case LogEntry:
		if !w.quiet[e.Event] {
			w.logf("%s %s%s", n.id, e.Event, fields(e.Fields))
		}
	}
}

// detail logs a line that only golden runs have.
func (w *world) detail(format string, args ...any) {
	if w.verbose {
		w.logf(format, args...)
	}
}

func spans(rs []PartitionRange) string {
	var b []string
	for _, r := range rs {
		b = append(b, fmt.Sprintf("%d-%d", r.From, r.To))
	}
	return "[" + strings.Join(b, " ") + "]"
}

func fields(kv []any) string {
	var b strings.Builder
	for i := 0; i+1 < len(kv); i += 2 {
		fmt.Fprintf(&b, " %v=%v", kv[i], kv[i+1])
	}
	return b.String()
}

// message delivers a message unless it is lost; every message is encoded as the
// peer transport does it, so a core never shares memory with another one.
func (w *world) message(from string, e SendMessage) {
	m, size := recode(e.Message)
	kind := strings.TrimPrefix(fmt.Sprintf("%T", m), "ownership.")
	w.messages[kind]++
	w.bytes[kind] += size
	if w.cuts[[2]string{from, e.To.ID}] || w.rng.Float64() < w.drop {
		return
	}
	times := 1
	if w.rng.Float64() < w.double {
		times = 2
	}
	for range times {
		at := w.now + w.delay()
		if link := [2]string{from, e.To.ID}; w.double == 0 { // a connection keeps the order
			at = max(at, w.last[link])
			w.last[link] = at
		}
		w.after(at-w.now, func() {
			if to := w.nodes[e.To.ID]; to != nil {
				to.step(MessageReceived{From: from, Message: m})
			}
		})
	}
}

// published checks what an instance makes visible.
func (n *node) published(v *View) {
	w := n.w
	n.view = v
	for name, a := range v.Assignments {
		if !slices.Contains(v.ProvisionalServices, name) && w.store.recordVersion(kindAssignment, "c1."+name) < a.Version {
			w.violate("durability: %s reports %s version %d in place, the store has less", n.id, name, a.Version)
		}
		key := n.id + n.core.cfg.Incarnation + name
		if a.Version < w.epochs[key] {
			w.violate("epoch order: %s went back to version %d of %s", n.id, a.Version, name)
		}
		w.epochs[key] = a.Version
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
