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

// fakeStore simulates the platform's store, with delays and failures set by tests.
type fakeStore struct {
	sim                 *simulation
	objects             map[string]store.Object
	version             store.Version
	down                bool
	extraDelay          time.Duration
	repliesToLose       int  // number of next write replies to lose
	unconditionalWrites bool // safeguard off: writes succeed whatever version is stored
}

func (s *fakeStore) startCall(inst *simInstance, id uint64, o store.Object, write bool) {
	sim := s.sim
	sim.storeCalls[o.Kind]++
	reply := func(o store.Object, err error) {
		sim.schedule(sim.networkDelay(), func() { inst.step(StoreReplied{ID: id, Object: o, Err: err}) })
	}
	if sim.cutLinks[[2]string{inst.id, "store"}] {
		sim.schedule(time.Second, func() { inst.step(StoreReplied{ID: id, Err: store.ErrUnavailable}) })
		return
	}
	sim.schedule(sim.networkDelay()+2*time.Millisecond+s.extraDelay, func() {
		switch {
		case s.down:
			reply(store.Object{}, store.ErrUnavailable)
		case !write:
			reply(s.get(o))
		default:
			stored, err := s.put(o)
			if s.repliesToLose > 0 {
				s.repliesToLose--
				sim.logf("store reply lost writer=%s", o.Writer)
				stored, err = store.Object{}, store.ErrOutcomeUnknown
			}
			reply(stored, err)
		}
	})
}

func objectKey(o store.Object) string { return o.Kind + "/" + o.Name }

func (s *fakeStore) get(o store.Object) (store.Object, error) {
	if stored, ok := s.objects[objectKey(o)]; ok {
		return stored, nil
	}
	return store.Object{}, store.ErrNotFound
}

func (s *fakeStore) put(o store.Object) (store.Object, error) {
	current, ok := s.objects[objectKey(o)]
	if ok && current.Version != o.Version && !s.unconditionalWrites {
		return current, store.ErrConflict
	}
	before := s.recordVersion(o.Kind, o.Name)
	s.checkTerms(o)
	s.version++
	o.Version = s.version
	s.objects[objectKey(o)] = o
	if after := s.recordVersion(o.Kind, o.Name); after < before {
		s.sim.recordViolation("durability: %s in the store went from version %d back to %d", objectKey(o), before, after)
	}
	return o, nil
}

// checkTerms checks that a write to the cell record decreases no controller's term.
func (s *fakeStore) checkTerms(o store.Object) {
	var cell Cell
	if o.Kind != kindCell || json.Unmarshal(o.Value, &cell) != nil {
		return
	}
	for _, r := range cell.Controllers {
		if r.Term < s.sim.highestTerms[r.Target] {
			s.sim.recordViolation("term order: the store was set back to term %d of %s", r.Term, r.Target)
		}
		s.sim.highestTerms[r.Target] = r.Term
	}
}

// recordVersion returns the version of the record in a stored object, or 0 if the object
// does not exist.
func (s *fakeStore) recordVersion(kind, name string) uint64 {
	var r struct {
		Version uint64 `json:"version"`
	}
	if o, ok := s.objects[kind+"/"+name]; ok {
		_ = json.Unmarshal(o.Value, &r)
	}
	return r.Version
}

// fakeServer simulates a backend server: it holds a lease and the set of partitions that
// it owns, as the contract with backend servers requires.
type fakeServer struct {
	sim               *simulation
	id                string
	bootID            string
	started           time.Duration
	holder            *lease.Holder
	term              uint64 // control term of the last accepted call
	setVersion        uint64
	ownedEpochs       map[int]uint64 // epoch of each owned partition
	highestEpochs     map[int]uint64 // highest epoch granted, by partition
	frozenUntil       time.Duration  // calls are handled only after this time
	dead              bool
	grantCount        int  // number of partition ranges granted
	noTermCheck       bool // safeguard off: calls with lower terms are accepted
	renewsFromReceipt bool // safeguard off: the lease runs from the receipt of a renewal, not from its stamp
}

// addServer adds a target to the table and starts its server.
func (sim *simulation) addServer(service, target, zone string) *fakeServer {
	row := table.Row{Service: service, Target: target, Address: target + ":80", Zone: zone, Weight: 1, Slots: 4}
	sim.table.Rows = append(sim.table.Rows, row)
	s := &fakeServer{sim: sim, id: row.ID()}
	sim.servers[s.id] = s
	s.restart()
	return s
}

func (s *fakeServer) restart() {
	s.bootID, s.started, s.dead = fmt.Sprintf("b%d", s.sim.seq), s.sim.now-time.Second, false
	s.holder, s.term, s.setVersion = lease.NewHolder(lease.DefaultConfig), 0, 0
	s.ownedEpochs, s.highestEpochs = map[int]uint64{}, map[int]uint64{}
	s.sim.seq++
}

// owns reports whether the server would run a request for the partition.
func (s *fakeServer) owns(p int) bool {
	_, ok := s.ownedEpochs[p]
	return ok && !s.dead && s.holder.Valid(s.sim.now-s.started)
}

// callServer delivers a call to a server and returns its reply to the instance, or an
// error after the request's timeout.
func (sim *simulation) callServer(inst *simInstance, e CallServer) {
	done := false
	reply := func(r ServerReply, err error) {
		if !done {
			done = true
			inst.step(ServerReplied{ID: e.ID, Target: e.Target, Reply: r, Err: err})
		}
	}
	sim.schedule(e.Request.Timeout, func() { reply(ServerReply{}, errTransport) })
	sim.schedule(sim.networkDelay(), func() { sim.deliverCall(inst, e, reply) })
}

func (sim *simulation) deliverCall(inst *simInstance, e CallServer, reply func(ServerReply, error)) {
	s := sim.servers[e.Target]
	switch {
	case s == nil || s.dead || sim.cutLinks[[2]string{inst.id, e.Target}]:
		return
	case sim.now < s.frozenUntil:
		sim.schedule(s.frozenUntil-sim.now, func() { sim.deliverCall(inst, e, reply) })
		return
	}
	bootID := s.bootID
	r, err := s.handle(e.Request)
	sendReply := func() {
		if s.dead || s.bootID != bootID || sim.cutLinks[[2]string{e.Target, inst.id}] {
			return
		}
		r.Stamp = s.holder.Stamp(sim.now - s.started)
		sim.schedule(sim.networkDelay(), func() { reply(r, err) })
	}
	var replyAfter func(time.Duration)
	replyAfter = func(d time.Duration) {
		sim.schedule(d, func() {
			if sim.now < s.frozenUntil {
				replyAfter(s.frozenUntil - sim.now)
				return
			}
			sendReply()
		})
	}
	replyAfter(time.Duration(e.Request.WaitMS) * time.Millisecond)
}

func (s *fakeServer) handle(r ServerRequest) (ServerReply, error) {
	now := s.sim.now - s.started
	if r.Term < s.term && !s.noTermCheck {
		return ServerReply{Term: s.term}, ErrStaleTerm
	}
	if r.Term != s.term {
		s.setVersion = 0
	}
	s.term = r.Term
	if r.AnsweredStamp > 0 && r.BootID == s.bootID {
		if s.renewsFromReceipt {
			r.AnsweredStamp = s.holder.Stamp(now)
		}
		s.holder.Renew(now, r.AnsweredStamp)
	}
	if r.SetVersion > s.setVersion && (r.Replace || len(r.Grants) > 0 || len(r.Removals) > 0) {
		s.applySetChange(r)
	}
	s.sim.checkSingleOwner(s)
	reply := ServerReply{BootID: s.bootID, Term: s.term, SetVersion: s.setVersion, Released: r.Release, State: "ok"}
	for _, e := range s.highestEpochs {
		reply.MaxEpoch = max(reply.MaxEpoch, e)
	}
	return reply, nil
}

func (s *fakeServer) applySetChange(r ServerRequest) {
	s.setVersion = r.SetVersion
	if r.Replace {
		clear(s.ownedEpochs)
	}
	for _, g := range r.Removals {
		for p := g.From; p <= g.To; p++ {
			delete(s.ownedEpochs, p)
		}
	}
	for _, g := range r.Grants {
		s.grantCount++
		for p := g.From; p <= g.To; p++ {
			if g.Epoch >= s.highestEpochs[p] {
				s.ownedEpochs[p], s.highestEpochs[p] = g.Epoch, g.Epoch
			}
		}
	}
}

// checkSingleOwner checks that no other server owns a partition that the given one owns.
// A server gains ownership only when it handles a call, so the check runs after each call.
func (sim *simulation) checkSingleOwner(s *fakeServer) {
	for p := range s.ownedEpochs {
		if !s.owns(p) {
			return
		}
		for _, o := range sim.servers {
			if o != s && serviceOf(o.id) == serviceOf(s.id) && o.owns(p) {
				sim.recordViolation("one owner: partition %d is owned by %s and %s", p, s.id, o.id)
			}
		}
	}
}

// unownedPartitions returns the number of partitions of a service that no server owns. A
// frozen server counts as owning none.
func (sim *simulation) unownedPartitions(service string) (n int) {
	svc, _ := sim.table.Service(service)
	for p := range svc.Partitions {
		owned := false
		for _, s := range sim.servers {
			owned = owned || serviceOf(s.id) == service && s.owns(p) && sim.now >= s.frozenUntil
		}
		if !owned {
			n++
		}
	}
	return n
}

// encodeAndDecode returns a decoded copy of a message and the size of its encoding.
func encodeAndDecode(m Message) (Message, int) {
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

// newSimulatedCell returns a simulation of a cell with instances i1, i2, ... and servers
// s1, s2, ..., both distributed over zones in turn.
func newSimulatedCell(seed int64, instances, servers, zones, partitions int) *simulation {
	return buildSimulatedCell(seed, instances, servers, zones, partitions, false)
}

// buildSimulatedCell is like newSimulatedCell. If unchecked is set, it adds the service
// depot, whose two servers do not check grants.
func buildSimulatedCell(seed int64, instances, servers, zones, partitions int, unchecked bool) *simulation {
	sim := newSimulation(seed)
	sim.table.Services = []table.Service{{Name: "route", Divided: true, ChecksGrants: true, Partitions: partitions}}
	for i := range servers {
		sim.addServer("route", fmt.Sprintf("s%d", i+1), fmt.Sprintf("z%d", i%zones+1))
	}
	if unchecked {
		sim.table.Services = append(sim.table.Services, table.Service{
			Name: "depot", Divided: true, Partitions: 4, MaxRequestTime: table.Duration(time.Second),
		})
		sim.addServer("depot", "d1", "z1")
		sim.addServer("depot", "d2", "z2")
	}
	for i := range instances {
		sim.startInstance(fmt.Sprintf("i%d", i+1), fmt.Sprintf("z%d", i%zones+1))
		sim.run(time.Duration(sim.rng.Int63n(int64(250 * time.Millisecond))))
	}
	return sim
}

// planner returns a live instance that is the planner, or nil.
func (sim *simulation) planner() *simInstance {
	for _, id := range sim.instanceIDs() {
		if inst := sim.instances[id]; !inst.dead && inst.core.planner != nil {
			return inst
		}
	}
	return nil
}
