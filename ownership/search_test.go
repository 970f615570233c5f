package ownership

import (
	"flag"
	"fmt"
	"hash/maphash"
	"reflect"
	"slices"
	"testing"
	"time"
	"unsafe"

	. "github.com/onsi/gomega"

	"github.com/boragegate/boragegate/placement"
	"github.com/boragegate/boragegate/store"
	"github.com/boragegate/boragegate/table"
)

const (
	searchStep     = 90 * time.Millisecond
	searchSteps    = 10
	isolationSteps = 7 // heartbeats between instance a and the others are lost in these first steps
)

// searchState is the complete state of a small cell, which can be copied and compared.
// Instance a is the planner, b can replace it, and c completes the majorities. Heartbeats,
// and all messages and calls to or from c, are delivered immediately. A renewal reaches its
// server immediately and is answered in the next time step. All else may be delivered in any
// order, within the limit on deviations.
type searchState struct {
	sim           *simulation // store and servers
	cores         []*Core
	pending       []delivery
	deferred      []delivery // replies to renewals, due with the next time step
	steps         int
	repliesToLose int // remaining number of write replies that may be lost
	deviations    int // remaining deviations from the order of sending
	isolated      bool
	immediate     bool // deliver everything immediately, to reach the initial state
	frozenTarget  string
}

// delivery is an event in transit to a core, or a call in transit from it.
type delivery struct {
	core   int    // index of the core
	event  Event  // to the core
	action Action // WriteObject or CallServer, from the core
}

func (s *searchState) step(i int, ev Event) {
	for _, a := range s.cores[i].Step(s.sim.now, ev) {
		s.perform(i, a)
	}
}

func (s *searchState) perform(i int, a Action) {
	switch e := a.(type) {
	case ReadObject:
		o, err := s.sim.store.get(store.Object{Kind: e.Kind, Name: e.Name})
		s.enqueue(delivery{core: i, event: StoreReplied{ID: e.ID, Object: o, Err: err}})
	case WriteObject:
		s.enqueue(delivery{core: i, action: e})
	case CallServer:
		switch {
		case e.Target == s.frozenTarget:
			s.deferred = append(s.deferred, delivery{core: i, event: ServerReplied{ID: e.ID, Target: e.Target, Err: errTransport}})
		case e.Request.WaitMS > 0:
			s.deferred = append(s.deferred, delivery{core: i, event: s.callServer(e)})
		default:
			s.enqueue(delivery{core: i, action: e})
		}
	case StopAdmission:
		s.enqueue(delivery{core: i, event: AdmissionStopped(e)})
	case SendMessage:
		to := int(e.To.ID[0] - 'a')
		d := delivery{core: to, event: MessageReceived{From: string(rune('a' + i)), Message: e.Message}}
		switch e.Message.(type) {
		case Heartbeat, HeartbeatAck:
			if !s.isolated || i != 0 && to != 0 {
				s.step(to, d.event)
			}
		default:
			if i == 2 || to == 2 {
				s.step(to, d.event)
				return
			}
			s.enqueue(d)
		}
	}
}

func (s *searchState) callServer(e CallServer) Event {
	srv := s.sim.servers[e.Target]
	r, err := srv.handle(e.Request)
	r.Stamp = srv.holder.Stamp(s.sim.now - srv.started)
	return ServerReplied{ID: e.ID, Target: e.Target, Reply: r, Err: err}
}

func (s *searchState) enqueue(d delivery) {
	if s.immediate || d.core == 2 {
		s.deliver(d, false)
		return
	}
	s.pending = append(s.pending, d)
}

func (s *searchState) deliver(d delivery, loseReply bool) {
	switch e := d.action.(type) {
	case WriteObject:
		o, err := s.sim.store.put(e.Object)
		if loseReply {
			o, err = store.Object{}, store.ErrOutcomeUnknown
		}
		s.step(d.core, StoreReplied{ID: e.ID, Object: o, Err: err})
	case CallServer:
		s.step(d.core, s.callServer(e))
	default:
		s.step(d.core, d.event)
	}
}

// advanceTime advances the time by one step, delivers the deferred replies and ticks all
// cores.
func (s *searchState) advanceTime() {
	s.steps++
	s.isolated = s.steps <= isolationSteps && !s.immediate
	s.sim.now += searchStep
	due := s.deferred
	s.deferred = nil
	for _, d := range due {
		s.deliver(d, false)
	}
	for i := range s.cores {
		s.step(i, Tick{})
	}
}

// successors returns every state that can follow this one: after any delivery that the
// remaining deviations allow, with and without its reply, or after a time step.
func (s *searchState) successors() (out []*searchState) {
	for i, d := range s.pending {
		if i > 0 && s.deviations == 0 {
			break
		}
		loseOptions := []bool{false}
		if _, write := d.action.(WriteObject); write && s.repliesToLose > 0 {
			loseOptions = append(loseOptions, true)
		}
		for _, loseReply := range loseOptions {
			n := deepCopy(s)
			n.pending = slices.Delete(n.pending, i, i+1)
			if loseReply {
				n.repliesToLose--
			}
			if i > 0 {
				n.deviations--
			}
			n.deliver(d, loseReply)
			out = append(out, n)
		}
	}
	if s.steps < searchSteps && (len(s.pending) == 0 || s.deviations > 0) {
		n := deepCopy(s)
		if len(s.pending) > 0 {
			n.deviations--
		}
		n.advanceTime()
		out = append(out, n)
	}
	return out
}

// initialSearchState returns the state in which the search begins: the only partition is
// owned by a server that does not answer any more, and a is isolated.
func initialSearchState() *searchState {
	sim := newSimulation(1)
	sim.rng = nil
	sim.table.Services = []table.Service{{Name: "route", Divided: true, ChecksGrants: true, Partitions: 1}}
	sim.addServer("route", "s1", "z1")
	sim.addServer("route", "s2", "z2")
	s := &searchState{sim: sim, immediate: true, repliesToLose: 1}
	for i, id := range []string{"a", "b", "c"} {
		cfg := DefaultConfig()
		cfg.Cell, cfg.Incarnation, cfg.Self = "c1", id+"1", Member{ID: id, Zone: fmt.Sprintf("z%d", i+1)}
		cfg.NewPolicy = func(string) placement.Policy { return evenPolicy{} }
		s.cores = append(s.cores, New(cfg))
		sim.now += searchStep
		s.step(i, TableObserved{Table: sim.table})
	}
	for range 60 {
		s.advanceTime()
	}
	s.immediate, s.steps, s.isolated = false, 0, true
	s.frozenTarget = "route/" + s.cores[0].services["route"].assignment.OwnerOf(0)
	return s
}

// maxDeviations is the number of times that a schedule may deviate from the order of
// sending, by delivering something else first or by advancing the time.
var maxDeviations = flag.Int("search.order", 2, "deviations from the order of sending in TestSearch")

// search visits every state that a schedule with the given number of deviations can reach,
// and stops at the first one in which an invariant is violated. It returns the numbers of
// states, of final states, and of final states in which b has taken over as planner.
func search(initial *searchState, deviations int) (states, terminal, takeovers int, violations []string) {
	initial.deviations = deviations
	seed, visited := maphash.MakeSeed(), map[uint64]bool{}
	for stack := []*searchState{initial}; len(stack) > 0; {
		s := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		f := fingerprint(seed, s)
		if visited[f] {
			continue
		}
		visited[f] = true
		if len(s.sim.violations) > 0 {
			return len(visited), terminal, takeovers, s.sim.violations
		}
		successors := s.successors()
		if len(successors) == 0 {
			terminal++
			if s.cores[1].planner != nil {
				takeovers++
			}
		}
		stack = append(stack, successors...)
	}
	return len(visited), terminal, takeovers, nil
}

// TestSearch guards against an order of events in which a partition has two owners or a
// record in the store is reverted, while a planner is isolated and a server does not answer.
// It covers the orders with at most maxDeviations deviations, and with at most one if -short is
// set. A second search without conditional writes must find a violation, which shows that the
// search detects one.
func TestSearch(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	deviations := *maxDeviations
	if testing.Short() {
		deviations = min(deviations, 1) // the race detector slows the search down ten times
	}
	states, terminal, takeovers, violations := search(initialSearchState(), deviations)
	t.Logf("%d deviations: %d states, %d final states, b is the planner in %d of them", deviations, states, terminal, takeovers)
	g.Expect(violations).To(BeEmpty())
	g.Expect(takeovers).To(BeNumerically(">", 0))

	if testing.Short() {
		return
	}
	unconditional := initialSearchState()
	unconditional.sim.store.unconditionalWrites = true
	states, _, _, violations = search(unconditional, 3)
	t.Logf("without conditional writes: violations %v after %d states", violations, states)
	g.Expect(violations).NotTo(BeEmpty())
}

// deepCopy copies all mutable values reachable from p, including unexported fields.
func deepCopy[T any](p *T) *T {
	return copyValue(reflect.ValueOf(p), map[unsafe.Pointer]reflect.Value{}).Interface().(*T)
}

// accessible returns v without the restriction on unexported fields. v must be addressable.
func accessible(v reflect.Value) reflect.Value {
	return reflect.NewAt(v.Type(), unsafe.Pointer(v.UnsafeAddr())).Elem()
}

func copyValue(v reflect.Value, memo map[unsafe.Pointer]reflect.Value) reflect.Value {
	out := reflect.New(v.Type()).Elem()
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() || isImmutable(v.Type()) {
			return v
		}
		if c, ok := memo[v.UnsafePointer()]; ok {
			return c
		}
		c := reflect.New(v.Type().Elem())
		memo[v.UnsafePointer()] = c
		c.Elem().Set(copyValue(v.Elem(), memo))
		return c
	case reflect.Interface:
		if !v.IsNil() {
			out.Set(copyValue(v.Elem(), memo))
		}
	case reflect.Struct:
		out.Set(v)
		for i := range v.NumField() {
			accessible(out.Field(i)).Set(copyValue(accessible(out.Field(i)), memo))
		}
	case reflect.Slice:
		if v.IsNil() {
			return v
		}
		out.Set(reflect.MakeSlice(v.Type(), v.Len(), v.Len()))
		for i := range v.Len() {
			out.Index(i).Set(copyValue(v.Index(i), memo))
		}
	case reflect.Map:
		if v.IsNil() || v.Type() == reflect.TypeFor[map[string]table.Row]() {
			return v
		}
		out.Set(reflect.MakeMapWithSize(v.Type(), v.Len()))
		for it := v.MapRange(); it.Next(); {
			out.SetMapIndex(it.Key(), copyValue(it.Value(), memo))
		}
	default:
		return v
	}
	return out
}

var immutableTypes = []reflect.Type{
	reflect.TypeFor[*Cell](), reflect.TypeFor[*placement.Assignment](), reflect.TypeFor[*table.Table](), reflect.TypeFor[*View](),
}

// isImmutable reports whether values behind the pointer type never change after creation.
// They are shared between copies.
func isImmutable(t reflect.Type) bool {
	return slices.Contains(immutableTypes, t) || t.Implements(reflect.TypeFor[error]())
}

// fingerprint returns a hash of the content of a state. Outputs, buffers and fields that
// never change are left out.
func fingerprint(seed maphash.Seed, s *searchState) uint64 {
	var h maphash.Hash
	h.SetSeed(seed)
	hashValue(&h, reflect.ValueOf(s).Elem(), map[unsafe.Pointer]bool{})
	return h.Sum64()
}

func hashValue(h *maphash.Hash, v reflect.Value, visited map[unsafe.Pointer]bool) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() && isImmutable(v.Type()) {
			hashImmutable(h, v)
			return
		}
		if v.IsNil() || visited[v.UnsafePointer()] {
			h.WriteByte(0)
			return
		}
		visited[v.UnsafePointer()] = true
		hashValue(h, v.Elem(), visited)
	case reflect.Interface:
		if !v.IsNil() {
			h.WriteString(v.Elem().Type().Name())
			hashValue(h, v.Elem(), visited)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			switch v.Type().Field(i).Name {
			case "actions", "log", "cfg", "table", "rowsByTarget", "scratch": // outputs, constants and buffers
			default:
				hashValue(h, v.Field(i), visited)
			}
		}
	case reflect.Slice:
		maphash.WriteComparable(h, v.Len())
		for i := range v.Len() {
			hashValue(h, v.Index(i), visited)
		}
	case reflect.Map:
		var sum uint64
		for it := v.MapRange(); it.Next(); {
			var e maphash.Hash
			e.SetSeed(h.Seed())
			hashValue(&e, it.Key(), visited)
			hashValue(&e, it.Value(), visited)
			sum += e.Sum64()
		}
		maphash.WriteComparable(h, sum)
	case reflect.String:
		h.WriteString(v.String())
	case reflect.Int, reflect.Int64:
		maphash.WriteComparable(h, v.Int())
	case reflect.Uint8, reflect.Uint16, reflect.Uint64:
		maphash.WriteComparable(h, v.Uint())
	case reflect.Bool:
		maphash.WriteComparable(h, v.Bool())
	case reflect.Float64:
		maphash.WriteComparable(h, v.Float())
	}
}

// immutableHashes caches the hashes of immutable values. The keys keep the values alive, so
// that no address is reused.
var immutableHashes = map[any]uint64{}

func hashImmutable(h *maphash.Hash, v reflect.Value) {
	key := reflect.NewAt(v.Type().Elem(), v.UnsafePointer()).Interface()
	sum, ok := immutableHashes[key]
	if !ok {
		var e maphash.Hash
		e.SetSeed(h.Seed())
		hashValue(&e, v.Elem(), map[unsafe.Pointer]bool{})
		sum = e.Sum64()
		immutableHashes[key] = sum
	}
	maphash.WriteComparable(h, sum)
}
