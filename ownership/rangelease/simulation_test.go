package rangelease_test

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/ownership/rangelease"
	"github.com/boragegate/boragegate/placement/keyrange"
	"github.com/boragegate/boragegate/routing"
	"github.com/boragegate/boragegate/store"
)

const (
	service  = "svc"
	stepTime = 10 * time.Millisecond
)

// simServer is a target that follows the rules in the package comment: it refuses lower
// fencing tokens than it has seen for a key, and counts lease durations from the arrival of
// a grant on its own clock. It tracks leases by eighth of the keys, and the simulation moves
// only whole eighths.
type simServer struct {
	routing.Target
	up bool
	// clockRate is the speed of the server's clock: 0.98 runs 2% slow.
	clockRate    float64
	highestToken [8]uint64        // highest token, by eighth of the keys
	leaseEnd     [8]lease.Instant // end of the lease in true time, by eighth of the keys
	leaseToken   [8]uint64        // token of the active lease, by eighth of the keys
}

const eighthKeys = routing.KeyCount / 8

func eighthRange(s routing.Span) (from, to int) { return s.From / eighthKeys, s.To / eighthKeys }

func (v *simServer) grant(arrived lease.Instant, a *rangelease.Grant) rangelease.Outcome {
	from, to := eighthRange(a.Span)
	for i := from; i <= to; i++ {
		if v.highestToken[i] > a.FencingToken {
			return rangelease.Fenced
		}
	}
	for i := from; i <= to; i++ {
		v.highestToken[i], v.leaseToken[i] = a.FencingToken, a.FencingToken
		v.leaseEnd[i] = arrived + time.Duration(float64(a.LeaseDuration)/v.clockRate)
	}
	return rangelease.Done
}

// lastGrantAt returns the time of the last grant of any key, assuming the lease duration of
// 3 s.
func (v *simServer) lastGrantAt() lease.Instant {
	return slices.Max(v.leaseEnd[:]) - time.Duration(float64(rangelease.DefaultOptions.Lease.Duration)/v.clockRate)
}

func (v *simServer) release(a *rangelease.Release) {
	from, to := eighthRange(a.Span)
	for i := from; i <= to; i++ {
		v.highestToken[i] = max(v.highestToken[i], a.FencingToken)
		v.leaseEnd[i] = 0
	}
}

// simInstance is one process that may be the grantor.
type simInstance struct {
	name             string
	grantor          *rangelease.Grantor
	version          int // version of the record that it last read or wrote
	era              store.Era
	frozen           bool
	storeUnreachable bool
	uninformed       bool // is not informed of its successor
	lastTickAt       lease.Instant
	unreachable      map[string]bool // IDs of the targets that it does not reach
}

type scheduledEvent struct {
	at lease.Instant
	do func()
}

// simulation simulates servers, instances, the record in the store and calls in transit.
type simulation struct {
	t         *rapid.T // nil in simulations without random faults
	now       lease.Instant
	record    *rangelease.Record
	version   int
	era       store.Era
	copy      storeCopy
	leader    *simInstance // that took over last
	instances []*simInstance
	servers   map[routing.Lifetime]*simServer
	listed    map[routing.Lifetime]bool
	// occupants are the servers that have taken the address of another one, by address.
	occupants map[string]*simServer
	events    []scheduledEvent
	// listDelay is the delay with which instances learn of a change of the list of targets.
	listDelay time.Duration
	// unansweredPercent is the percentage of calls that get no answer and are carried out
	// late.
	unansweredPercent int
	// maxCalls is the limit that each tick of a grantor gets.
	maxCalls      int
	withdrawn     bool      // the configuration does not name the service
	highestTokens [8]uint64 // highest token of a holder, by eighth of the keys
	lastHolders   [8]routing.Lifetime
}

func (sim *simulation) schedule(d time.Duration, do func()) {
	sim.events = append(sim.events, scheduledEvent{sim.now + d, do})
	slices.SortStableFunc(sim.events, func(a, b scheduledEvent) int { return cmp.Compare(a.at, b.at) })
}

func (sim *simulation) targets() []routing.Target {
	var list []routing.Target
	for id, v := range sim.servers {
		if sim.listed[id] {
			list = append(list, v.Target)
		}
	}
	slices.SortFunc(list, func(a, b routing.Target) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// takeOver makes an instance the grantor by a conditional update of the record.
func (sim *simulation) takeOver(in *simInstance) { sim.takeOverFrom(in, rangelease.Predecessor{}) }

// endAndReplaceGrantor ends the process of the grantor and makes the other instance the grantor,
// which learns after the given time that the process has ended.
func (sim *simulation) endAndReplaceGrantor(knownAfter time.Duration) {
	for n, in := range sim.instances {
		if in.grantor == nil || in != sim.leader {
			continue
		}
		leases, next := in.grantor.OutstandingLeases(sim.now, 0), sim.instances[1-n]
		in.grantor, in.frozen = nil, false
		if knownAfter == 0 {
			sim.takeOverFrom(next, rangelease.Predecessor{Ended: true, Leases: leases})
			return
		}
		sim.takeOver(next)
		if g := next.grantor; sim.leader == next {
			sim.schedule(knownAfter, func() { g.ReportPredecessorEnded(sim.now, leases) })
		}
		return
	}
}

func (sim *simulation) takeOverFrom(in *simInstance, predecessor rangelease.Predecessor) {
	if in.storeUnreachable || in.frozen {
		return
	}
	r := &rangelease.Record{Services: map[string][]rangelease.Entry{}}
	if sim.record != nil {
		b, _ := sim.record.Encode()
		r, _ = rangelease.DecodeRecord(b)
		r.Term++
	}
	if first := rangelease.FirstTerm(sim.era); r.Term <= first { // of an earlier era, or there is none
		r.Term = first
		if sim.era > 0 {
			r.MarkHoldersUnknown()
		}
	}
	r.Term = max(r.Term, 1)
	r.Leader = rangelease.InstanceInfo{ID: in.name}
	sim.record = r
	sim.version++
	in.version, in.era, sim.leader = sim.version, sim.era, in
	in.grantor, in.lastTickAt = rangelease.New(rangelease.DefaultOptions, sim.now, sim.now, r, predecessor), 0
	sim.schedule(5*time.Millisecond, func() { // the successor informs the other instances that it reaches
		for _, other := range sim.instances {
			if other != in && !other.frozen && !other.uninformed {
				other.grantor = nil
			}
		}
	})
	in.grantor.SetServices(sim.services())
}

func (sim *simulation) services() []string {
	if sim.withdrawn {
		return nil
	}
	return []string{service}
}

// setWithdrawn removes the service from the configuration or adds it again.
func (sim *simulation) setWithdrawn(withdrawn bool) {
	sim.withdrawn = withdrawn
	for _, in := range sim.instances {
		if in.grantor != nil {
			in.grantor.SetServices(sim.services())
		}
	}
}

func (sim *simulation) tick(in *simInstance) {
	g := in.grantor
	if g == nil || in.frozen {
		return
	}
	if in.lastTickAt > 0 && sim.now-in.lastTickAt > 10*stepTime {
		g.RequireConfirmation(sim.now)
	}
	in.lastTickAt = sim.now
	if !in.storeUnreachable && sim.now%(5*stepTime) == 0 {
		if in.era != sim.era {
			sim.reconfirm(in)
		}
		if g.Term() < rangelease.FirstTerm(in.era) {
			sim.tickActions(in)
			return // nothing is confirmed until the record is written again
		}
		if sim.version != in.version {
			in.grantor = nil
			return
		}
		g.ReportTermConfirmed(sim.now)
		g.SetTargets(sim.targets())
		for _, name := range sim.services() {
			var usable []keyrange.Target
			for _, t := range g.UsableTargets(sim.now, name) {
				usable = append(usable, keyrange.Target{Lifetime: t.Lifetime(), Capacity: 1})
			}
			g.PlanMoves(name, alignToEighths(keyrange.Plan(g.Ranges(sim.now, name), usable, noLoad).Moves))
		}
	}
	sim.tickActions(in)
}

// noLoad has the request rates of an idle service.
var noLoad = keyrange.NewKeyRates()

// alignToEighths rounds moves to whole eighths of the keys, the unit of the simulated
// servers.
func alignToEighths(moves []keyrange.Move) []keyrange.Move {
	var out []keyrange.Move
	for _, m := range moves {
		m.From = m.From / eighthKeys * eighthKeys
		m.To = (m.To+1)/eighthKeys*eighthKeys - 1
		if m.From <= m.To {
			out = append(out, m)
		}
	}
	return out
}

func (sim *simulation) perform(in *simInstance, g *rangelease.Grantor, a rangelease.Action) {
	switch a := a.(type) {
	case *rangelease.WriteRecord:
		b, _ := a.Record.Encode()
		version, era := in.version, in.era
		sim.schedule(5*time.Millisecond, func() {
			ok := !in.storeUnreachable && version == sim.version
			if era != sim.era { // a restored store assigns the versions again, so it may accept the write
				if ok {
					sim.record, _ = rangelease.DecodeRecord(b)
					sim.version++
				}
				return // the instance learns the era before the result
			}
			if ok {
				sim.record, _ = rangelease.DecodeRecord(b)
				sim.version++
				in.version = sim.version
			}
			g.ReportWriteResult(sim.now, ok)
		})
	case *rangelease.Grant:
		sim.call(in, g, a.Target.Lifetime(), a.Call, func(v *simServer, arrived lease.Instant) rangelease.Outcome { return v.grant(arrived, a) })
	case *rangelease.Release:
		sim.call(in, g, a.Target.Lifetime(), a.Call, func(v *simServer, _ lease.Instant) rangelease.Outcome {
			v.release(a)
			return rangelease.Done
		})
	}
}

// serverFor returns the server that a call to a lifetime reaches. A server that started
// again under its ID has the same address.
func (sim *simulation) serverFor(to routing.Lifetime) *simServer {
	for incarnation := to.Incarnation + 10; incarnation > to.Incarnation; incarnation-- {
		if v := sim.servers[routing.Lifetime{ID: to.ID, Incarnation: incarnation}]; v != nil && (sim.servers[to] == nil || v.Address == sim.servers[to].Address) {
			return v
		}
	}
	return sim.servers[to]
}

func (sim *simulation) call(in *simInstance, g *rangelease.Grantor, to routing.Lifetime, call uint64, do func(*simServer, lease.Instant) rangelease.Outcome) {
	lost := in.unreachable[to.ID]
	delayed := sim.unansweredPercent > 0 && rapid.IntRange(0, 99).Draw(sim.t, "delayed") < sim.unansweredPercent
	v := sim.serverFor(to)
	sim.schedule(2*time.Millisecond, func() {
		if v != nil && !v.up && sim.occupants[v.Address] != nil {
			v = sim.occupants[v.Address]
		}
		if lost || v == nil || !v.up || delayed {
			arrived := sim.now // a delayed call arrives now but is carried out later; its lease runs from now on
			if delayed && !lost && v != nil {
				sim.schedule(time.Duration(rapid.IntRange(2000, 12000).Draw(sim.t, "delay"))*time.Millisecond, func() {
					if v.up && v.ID == to.ID {
						do(v, arrived)
						sim.checkExclusive()
					}
				})
			}
			sim.schedule(rangelease.DefaultOptions.CallTimeout, func() { sim.deliverResult(in, g, to, call, rangelease.Unanswered, "") })
			return
		}
		outcome := rangelease.Ended
		if sim.occupants[v.Address] == nil || sim.occupants[v.Address].ID == to.ID {
			outcome = do(v, sim.now)
		}
		sim.checkExclusive()
		sim.schedule(2*time.Millisecond, func() { sim.deliverResult(in, g, to, call, outcome, "token") })
	})
}

// deliverResult passes the result of a call to an instance. A frozen instance gets it when it
// resumes. If it has not ticked for more than 10 steps, it calls RequireConfirmation first.
func (sim *simulation) deliverResult(in *simInstance, g *rangelease.Grantor, to routing.Lifetime, call uint64, outcome rangelease.Outcome, handover string) {
	if in.frozen {
		sim.schedule(stepTime, func() { sim.deliverResult(in, g, to, call, outcome, handover) })
		return
	}
	if in.lastTickAt > 0 && sim.now-in.lastTickAt > 10*stepTime {
		g.RequireConfirmation(sim.now)
	}
	actions := g.ReportCallResult(sim.now, to, call, outcome, handover)
	if in.grantor != g {
		return // replaced meanwhile
	}
	for _, a := range actions {
		sim.perform(in, g, a)
	}
}

func (sim *simulation) fail(format string, args ...any) {
	if sim.t == nil {
		panic(fmt.Sprintf(format, args...))
	}
	sim.t.Fatalf(format, args...)
}

// checkExclusive fails if two servers hold a key, or if a key gets another holder with a
// token that is not higher.
func (sim *simulation) checkExclusive() {
	for i := range sim.highestTokens {
		var holder *simServer
		for _, v := range sim.servers {
			if !v.up || v.leaseEnd[i] <= sim.now {
				continue
			}
			if holder != nil {
				sim.fail("at %s, both %s and %s hold eighth %d of the keys", sim.now, holder.ID, v.ID, i)
			}
			holder = v
		}
		if holder == nil {
			continue
		}
		id := holder.Lifetime()
		if id != sim.lastHolders[i] && holder.leaseToken[i] <= sim.highestTokens[i] {
			sim.fail("at %s, %s holds eighth %d of the keys with token %d, expected a token above %d", sim.now, id.ID, i, holder.leaseToken[i], sim.highestTokens[i])
		}
		sim.lastHolders[i], sim.highestTokens[i] = id, max(sim.highestTokens[i], holder.leaseToken[i])
	}
}

func (sim *simulation) run(d time.Duration) {
	for end := sim.now + d; sim.now < end; sim.now += stepTime {
		for len(sim.events) > 0 && sim.events[0].at <= sim.now {
			e := sim.events[0]
			sim.events = sim.events[1:]
			e.do()
		}
		for _, in := range sim.instances {
			sim.tick(in)
		}
		sim.checkExclusive()
	}
}

func newSimulation(t *rapid.T, servers int) *simulation {
	sim := &simulation{t: t, now: time.Second, maxCalls: math.MaxInt, servers: map[routing.Lifetime]*simServer{}, listed: map[routing.Lifetime]bool{}, occupants: map[string]*simServer{}}
	for i := range servers {
		sim.addServer(fmt.Sprintf("t%d", i), 1)
	}
	for i := range 2 {
		sim.instances = append(sim.instances, &simInstance{name: fmt.Sprintf("i%d", i), unreachable: map[string]bool{}})
	}
	return sim
}

func (sim *simulation) addServer(id string, incarnation int64) *simServer {
	return sim.addServerAt(id, incarnation, id)
}

// replaceAtAddress ends a server. Another one starts at its address and is listed in its place.
func (sim *simulation) replaceAtAddress(old *simServer, id string) *simServer {
	sim.endProcessesAt(old.Address)
	for _, v := range sim.servers {
		if v.Address == old.Address {
			sim.listed[v.Lifetime()] = false
		}
	}
	v := sim.addServerAt(id, old.Incarnation+1, old.Address)
	sim.occupants[v.Address] = v
	return v
}

// endProcessesAt ends the servers at an address, so that another one can start there.
func (sim *simulation) endProcessesAt(address string) {
	for _, v := range sim.servers {
		v.up = v.up && v.Address != address
	}
}

// addClaim lists a later lifetime at the address of a server, which goes on running, in its place.
func (sim *simulation) addClaim(of *simServer, id string) {
	sim.listed[of.Lifetime()] = false
	v := sim.addServerAt(id, of.Incarnation+1, of.Address)
	v.Service, v.up = "another service", false
}

// addMove lists a later lifetime of a server, which goes on running, at another address, where another process answers.
func (sim *simulation) addMove(of *simServer) {
	sim.listed[of.Lifetime()] = false
	v := sim.addServerAt(of.ID, of.Incarnation+1, of.Address+" elsewhere")
	v.up = false
	sim.occupants[v.Address] = &simServer{Target: routing.Target{ID: "other", Address: v.Address}, up: true}
}

func (sim *simulation) addServerAt(id string, incarnation int64, address string) *simServer {
	t := routing.Target{ID: id, Incarnation: incarnation, Service: service, Address: address, Slots: 1}
	if occupant := sim.occupants[address]; occupant != nil {
		occupant.up = false
		delete(sim.occupants, address)
	}
	v := &simServer{Target: t, up: true, clockRate: 0.98}
	sim.servers[t.Lifetime()] = v
	if sim.listDelay == 0 {
		sim.listed[t.Lifetime()] = true
		return v
	}
	sim.schedule(sim.listDelay, func() {
		for other := range sim.listed {
			if other.ID == id {
				sim.listed[other] = false
			}
		}
		sim.listed[t.Lifetime()] = true
	})
	return v
}

// servedEighths returns the number of eighths of the keys that a server holds.
func (sim *simulation) servedEighths() int {
	n := 0
	for i := range sim.highestTokens {
		for _, v := range sim.servers {
			if v.up && v.leaseEnd[i] > sim.now {
				n++
			}
		}
	}
	return n
}
