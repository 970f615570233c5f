package ownership

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/store"
	"github.com/boragegate/boragegate/table"
)

var errTransport = errors.New("transport failed")

// fakeStore is the platform's store with the failures that tests ask for.
type fakeStore struct {
	w          *world
	objects    map[string]store.Object
	version    store.Version
	down       bool
	slow       time.Duration
	loseReply  int  // number of write replies still to lose
	blindWrite bool // guard off: writes are not conditional
}

func (s *fakeStore) call(n *node, id uint64, o store.Object, write bool) {
	w := s.w
	w.calls[o.Kind]++
	answer := func(o store.Object, err error) {
		w.after(w.delay(), func() { n.step(StoreReplied{ID: id, Object: o, Err: err}) })
	}
	if w.cuts[[2]string{n.id, "store"}] {
		w.after(time.Second, func() { n.step(StoreReplied{ID: id, Err: store.ErrUnavailable}) })
		return
	}
	w.after(w.delay()+2*time.Millisecond+s.slow, func() {
		switch {
		case s.down:
			answer(store.Object{}, store.ErrUnavailable)
		case !write:
			answer(s.get(o))
		default:
			got, err := s.put(o)
			if s.loseReply > 0 {
				s.loseReply--
				w.logf("store reply lost writer=%s", o.Writer)
				got, err = store.Object{}, store.ErrOutcomeUnknown
			}
			answer(got, err)
		}
	})
}

func key(o store.Object) string { return o.Kind + "/" + o.Name }

func (s *fakeStore) get(o store.Object) (store.Object, error) {
	if got, ok := s.objects[key(o)]; ok {
		return got, nil
	}
	return store.Object{}, store.ErrNotFound
}

func (s *fakeStore) put(o store.Object) (store.Object, error) {
	have, ok := s.objects[key(o)]
	if ok && have.Version != o.Version && !s.blindWrite {
		return have, store.ErrConflict
	}
	before := s.recordVersion(o.Kind, o.Name)
	s.checkTerms(o)
	s.version++
	o.Version = s.version
	s.objects[key(o)] = o
	if after := s.recordVersion(o.Kind, o.Name); after < before {
		s.w.violate("durability: %s went from version %d to %d", key(o), before, after)
	}
	return o, nil
}

// checkTerms checks that the terms of a cell record only rise.
func (s *fakeStore) checkTerms(o store.Object) {
	var cell Cell
	if o.Kind != kindCell || json.Unmarshal(o.Value, &cell) != nil {
		return
	}
	for _, r := range cell.Controllers {
		if r.Term < s.w.terms[r.Target] {
			s.w.violate("term order: the store went back to term %d of %s", r.Term, r.Target)
		}
		s.w.terms[r.Target] = r.Term
	}
}

// recordVersion is the version of the record in an object.
func (s *fakeStore) recordVersion(kind, name string) uint64 {
	var r struct {
		Version uint64 `json:"version"`
	}
	if o, ok := s.objects[kind+"/"+name]; ok {
		_ = json.Unmarshal(o.Value, &r)
	}
	return r.Version
}

// fakeServer is the holder's side of the backend contract.
type fakeServer struct {
	w       *world
	id      string
	boot    string
	started time.Duration
	holder  *lease.Holder
	term    uint64
	set     uint64
	parts   map[int]uint64
	seen    map[int]uint64
	frozen  time.Duration // end of the freeze
	dead    bool
	grants  int // sets that arrived with something in them
	noTerm  bool
	noStamp bool // guard off: the lease runs from the receipt, not from the stamp
}

// addServer adds a target to the table and starts its server.
func (w *world) addServer(service, target, zone string) *fakeServer {
	row := table.Row{Service: service, Target: target, Address: target + ":80", Zone: zone, Weight: 1, Slots: 4}
	w.table.Rows = append(w.table.Rows, row)
	s := &fakeServer{w: w, id: row.ID()}
	w.servers[s.id] = s
	s.restart()
	return s
}

func (s *fakeServer) restart() {
	s.boot, s.started, s.dead = fmt.Sprintf("b%d", s.w.seq), s.w.now-time.Second, false
	s.holder, s.term, s.set = lease.NewHolder(lease.DefaultTerms), 0, 0
	s.parts, s.seen = map[int]uint64{}, map[int]uint64{}
	s.w.seq++
}

// owns reports whether the server would run a request for the partition.
func (s *fakeServer) owns(p int) bool {
	_, ok := s.parts[p]
	return ok && !s.dead && s.holder.Valid(s.w.now-s.started)
}

// server carries a call to a server and its reply back, or the time-out.
func (w *world) server(n *node, e CallServer) {
	done := false
	reply := func(r ServerReply, err error) {
		if !done {
			done = true
			n.step(ServerReplied{ID: e.ID, Target: e.Target, Reply: r, Err: err})
		}
	}
	w.after(e.Request.Timeout, func() { reply(ServerReply{}, errTransport) })
	w.after(w.delay(), func() { w.arrive(n, e, reply) })
}

func (w *world) arrive(n *node, e CallServer, reply func(ServerReply, error)) {
	s := w.servers[e.Target]
	switch {
	case s == nil || s.dead || w.cuts[[2]string{n.id, e.Target}]:
		return
	case w.now < s.frozen:
		w.after(s.frozen-w.now, func() { w.arrive(n, e, reply) })
		return
	}
	boot := s.boot
	r, err := s.handle(e.Request)
	back := func() {
		if s.dead || s.boot != boot || w.cuts[[2]string{e.Target, n.id}] {
			return
		}
		r.Stamp = s.holder.Stamp(w.now - s.started)
		w.after(w.delay(), func() { reply(r, err) })
	}
	var held func(time.Duration)
	held = func(d time.Duration) {
		w.after(d, func() {
			if w.now < s.frozen {
				held(s.frozen - w.now)
				return
			}
			back()
		})
	}
	held(time.Duration(e.Request.WaitMS) * time.Millisecond)
}

func (s *fakeServer) handle(r ServerRequest) (ServerReply, error) {
	now := s.w.now - s.started
	if r.Term < s.term && !s.noTerm {
		return ServerReply{Term: s.term}, ErrStaleTerm
	}
	if r.Term != s.term {
		s.set = 0
	}
	s.term = r.Term
	if r.AnsweredStamp > 0 && r.BootID == s.boot {
		if s.noStamp {
			r.AnsweredStamp = s.holder.Stamp(now)
		}
		s.holder.Renew(now, r.AnsweredStamp)
	}
	if r.SetVersion > s.set && (r.Replace || len(r.Grants) > 0 || len(r.Removals) > 0) {
		s.change(r)
	}
	s.w.checkOwners(s)
	reply := ServerReply{BootID: s.boot, Term: s.term, SetVersion: s.set, Released: r.Release, State: "ok"}
	for _, e := range s.seen {
		reply.MaxEpoch = max(reply.MaxEpoch, e)
	}
	return reply, nil
}

func (s *fakeServer) change(r ServerRequest) {
	s.set = r.SetVersion
	if r.Replace {
		clear(s.parts)
	}
	for _, g := range r.Removals {
		for p := g.From; p <= g.To; p++ {
			delete(s.parts, p)
		}
	}
	for _, g := range r.Grants {
		s.grants++
		for p := g.From; p <= g.To; p++ {
			if g.Epoch >= s.seen[p] {
				s.parts[p], s.seen[p] = g.Epoch, g.Epoch
			}
		}
	}
}

// checkOwners checks that nobody else owns what the server owns. A server gains
// ownership only when it handles a call, so this is the moment to check.
func (w *world) checkOwners(s *fakeServer) {
	for p := range s.parts {
		if !s.owns(p) {
			return
		}
		for _, o := range w.servers {
			if o != s && serviceOf(o.id) == serviceOf(s.id) && o.owns(p) {
				w.violate("one owner: partition %d at %s and %s", p, s.id, o.id)
			}
		}
	}
}

// unowned returns the number of partitions of a service that no server owns.
func (w *world) unowned(service string) (n int) {
	svc, _ := w.table.Service(service)
	for p := range svc.Partitions {
		owned := false
		for _, s := range w.servers {
			owned = owned || serviceOf(s.id) == service && s.owns(p) && w.now >= s.frozen
		}
		if !owned {
			n++
		}
	}
	return n
}

// recode passes a message through its encoding and returns the size.
func recode(m Message) (Message, int) {
	b, err := msgpack.Marshal(m)
	if err != nil {
		panic(err)
	}
	v := reflect.New(reflect.TypeOf(m))
	if err := msgpack.Unmarshal(b, v.Interface()); err != nil {
		panic(err)
	}
	return v.Elem().Interface().(Message), len(b)
}

// standard builds a cell with instances i1.. and servers s1.. spread over zones.
func standard(seed int64, instances, servers, zones, partitions int) *world {
	return build(seed, instances, servers, zones, partitions, false)
}

// build is standard with, if asked for, a service whose servers do not check grants.
func build(seed int64, instances, servers, zones, partitions int, unchecked bool) *world {
	w := newWorld(seed)
	w.table.Services = []table.Service{{Name: "route", Divided: true, ChecksGrants: true, Partitions: partitions}}
	for i := range servers {
		w.addServer("route", fmt.Sprintf("s%d", i+1), fmt.Sprintf("z%d", i%zones+1))
	}
	if unchecked {
		w.table.Services = append(w.table.Services, table.Service{
			Name: "depot", Divided: true, Partitions: 4, MaxRequestTime: table.Duration(time.Second),
		})
		w.addServer("depot", "d1", "z1")
		w.addServer("depot", "d2", "z2")
	}
	for i := range instances {
		w.start(fmt.Sprintf("i%d", i+1), fmt.Sprintf("z%d", i%zones+1))
		w.run(time.Duration(w.rng.Int63n(int64(250 * time.Millisecond))))
	}
	return w
}

// planner returns the live instance that plans, or nil.
func (w *world) planner() *node {
	for _, id := range w.ids() {
		if n := w.nodes[id]; !n.dead && n.core.planner != nil {
			return n
		}
	}
	return nil
}
