package election_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/ownership/election"
	"github.com/boragegate/boragegate/ownership/rangelease"
)

func TestElection(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "election")
}

const (
	step      = 5 * time.Millisecond // a call to the store or to another instance
	tick      = 50 * time.Millisecond
	heartbeat = 300 * time.Millisecond
	// retryTime is that time while the store does not answer, leaderRetry that of the leader.
	retryTime   = 600 * time.Millisecond
	leaderRetry = 300 * time.Millisecond
	// askTime is the time for which an instance keeps a question that it cannot answer yet.
	askTime = time.Second
)

// pollTime is the time between two calls of an instance that follows the record,
// configuration or targets.
var pollTime = [3]time.Duration{800 * time.Millisecond, 2 * time.Second, 2 * time.Second}

// options are those of a deployment in which changes must be in force within 3 s.
func options() election.Options {
	o := election.DefaultOptions
	o.WatchDelay = 2400 * time.Millisecond
	return o
}

// member is an instance of the model. It carries out what its elector decides.
type member struct {
	rangelease.Leader
	e          *election.Elector
	up, frozen bool // what is not up refuses connections
	cut        bool // reaches no other instance
	noStore    bool
	leads      bool
	woken      bool // what it knows has changed, so that it decides before its next tick

	view      election.View
	version   int              // of the record that it has read; 0 if it may be an old one
	pollAt    [3]lease.Instant // by kind: record, configuration, targets
	heardBeat lease.Instant
	askers    []asker
}

// asker waits to be told who leads.
type asker struct {
	*member
	until lease.Instant
}

// record is what the store has since a time.
type record struct {
	since      lease.Instant
	leader     rangelease.Leader
	candidates []rangelease.Leader
}

// fleet is a number of instances with the record in the store. Time passes in steps.
type fleet struct {
	now       lease.Instant
	members   []*member
	record    record
	earlier   []record
	version   int
	storeDown bool
	source    *rand.Rand

	calls, writers int
	stale          int         // calls that may be answered from an old state, at a tenth of the price
	perSecond      map[int]int // calls of instances that do not lead, by second
	writing        map[string]bool
}

func newFleet(n int) *fleet {
	f := &fleet{now: time.Second, perSecond: map[int]int{}, writing: map[string]bool{}}
	f.source = rand.New(rand.NewPCG(uint64(n), 7))
	for i := range n {
		m := &member{Leader: rangelease.Leader{ID: fmt.Sprintf("i%d", i), Incarnation: 1, Address: fmt.Sprintf("a%d", i), Strength: 0.16}, up: true}
		if i%16 == 5 {
			m.Strength = 0.8
		}
		f.members = append(f.members, m)
	}
	for _, m := range f.members {
		m.e = election.New(options(), f.now, m.Leader, f.source.Float64)
	}
	return f
}

// restart begins a new process that knows nothing.
func (f *fleet) restart(m *member) {
	m.Incarnation++
	*m = member{Leader: m.Leader, up: true, woken: true, noStore: m.noStore, cut: m.cut}
	m.e = election.New(options(), f.now, m.Leader, f.source.Float64)
}

// losePower ends all processes.
func (f *fleet) losePower() {
	for _, m := range f.members {
		m.up, m.leads = false, false
	}
}

// staleAge is the age of the state from which cheap reads are answered.
const staleAge = 500 * time.Millisecond

// look reads the record as it was a while ago.
func (f *fleet) look(m *member) {
	f.stale++
	if f.storeDown || m.noStore {
		return
	}
	for _, r := range slices.Backward(append(slices.Clone(f.earlier), f.record)) {
		if r.leader.ID != "" && r.since <= f.now-staleAge {
			m.e.SetCandidates(r.candidates)
			m.e.SetInstances(len(f.members))
			f.follow(m, r.leader)
			return
		}
	}
}

// cost is the number of calls to the store by their price.
func (f *fleet) cost() int { return f.calls + f.stale/10 }

// changed replaces the record.
func (f *fleet) changed(r record) {
	f.earlier = append(f.earlier, f.record)
	f.record = r
	f.record.since = f.now
}

func (f *fleet) at(address string) *member {
	for _, m := range f.members {
		if m.Address == address {
			return m
		}
	}
	return nil
}

func (f *fleet) leading() *member {
	for _, m := range f.members {
		if m.leads {
			return m
		}
	}
	return nil
}

func reaches(a, b *member) bool { return !a.cut && !b.cut && b.up && !b.frozen }

// call counts a call to the store and reports whether it is answered.
func (f *fleet) call(m *member) bool {
	f.calls++
	if !m.leads {
		f.perSecond[int(f.now/time.Second)]++
	}
	ok := !f.storeDown && !m.noStore
	m.view.StoreReachable = ok
	return ok
}

// follow adopts a leader.
func (f *fleet) follow(m *member, l rangelease.Leader) {
	if m.view.Leader == l {
		return
	}
	m.view.Leader, m.view.LeaderHeardAt, m.view.LeaderRefused, m.view.LeaderEnded, m.view.LeaderLostStore = l, 0, false, false, false
	m.e.ReportLeaderChange(f.now)
	m.woken = true
	if m.leads {
		m.leads = false
		m.e.ReportDeposed(f.now)
		for _, other := range f.members { // it tells its followers before it ends their links
			if other != m && other.view.Leader.ID == m.ID && reaches(m, other) {
				f.follow(other, l)
			}
		}
	}
	if to := f.at(l.Address); to != m && to.leads && reaches(m, to) && reaches(to, m) {
		f.hear(to, m)
	}
}

// read takes the record as the store has it.
func (f *fleet) read(m *member) {
	m.view.RecordKnown, m.version, m.woken = true, f.version, true
	if f.version > 0 && (!m.leads || f.record.leader.ID != m.ID) {
		if m.view.LeaderHeardAt == 0 {
			m.e.SetCandidates(f.record.candidates)
		}
		f.follow(m, f.record.leader)
	}
}

// news brings what the leader says to all that it reaches.
func (f *fleet) news(l *member) {
	known := []rangelease.Leader{}
	for _, m := range f.members {
		if m != l && m.view.Leader.ID == l.ID && reaches(l, m) {
			known = append(known, m.Leader)
		}
	}
	list := election.RankCandidates(l.Leader, known)
	if len(known) > election.MaxCandidates && f.record.leader == l.Leader {
		f.record.candidates = list // with the next write of the leader
	}
	for _, m := range f.members {
		if m == l || m.view.Leader.ID != l.ID || !reaches(l, m) {
			continue
		}
		f.hear(l, m)
		if len(known) > election.MaxCandidates {
			m.e.SetCandidates(list)
		}
	}
}

func (f *fleet) hear(l, m *member) {
	m.view.LeaderHeardAt, m.view.LeaderLostStore, m.view.LeaderRefused, m.view.LeaderEnded = f.now, !l.view.StoreReachable, false, false
	if l.view.StoreReachable {
		m.view.LeaderStoreAt = f.now
	}
	m.e.SetInstances(len(f.members))
}

func (f *fleet) ask(m *member, address string) {
	other := f.at(address)
	switch {
	case m.cut || other.cut || other.frozen:
		return
	case !other.up:
		m.e.ReportPeerRefused(f.now, address)
		m.woken = true
		return
	case !f.tell(other, m):
		other.askers = append(other.askers, asker{m, f.now + askTime})
	}
	m.e.ReportPeerSeen(f.now)
}

// tell answers a question, if the other instance knows more.
func (f *fleet) tell(other, m *member) bool {
	switch {
	case other.leads:
		f.follow(m, other.Leader)
	case other.view.Leader.ID == "" || (other.e.SuspectsLeader() || other.view.LeaderHeardAt == 0) && other.version <= m.version:
		return false
	case other.view.Leader.ID == m.view.Leader.ID:
		m.e.ReportLeaderSeenByPeer(f.now, f.now-other.view.LeaderHeardAt)
	default:
		f.follow(m, other.view.Leader)
	}
	return true
}

func (f *fleet) tellAskers(m *member) {
	m.askers = slices.DeleteFunc(m.askers, func(a asker) bool { return f.now > a.until || f.tell(m, a.member) })
}

func (f *fleet) poll(m *member, kind int, wanted bool) {
	changed := kind == 0 && m.version != f.version && m.view.StoreReachable // a waiting poll is answered
	waits := kind > 0 && m.pollAt[kind] > 0 && !m.view.StoreReachable       // for an answer to a poll of the record
	if !wanted || waits || f.now < m.pollAt[kind] && !changed {
		return
	}
	m.pollAt[kind] = f.now + retryTime
	if m.leads {
		m.pollAt[kind] = f.now + leaderRetry
	}
	back := !m.view.StoreReachable
	if f.call(m) {
		if back && m.leads {
			f.news(m) // before others take over
		}
		m.pollAt[kind] = f.now + pollTime[kind]
		if kind == 0 {
			f.read(m)
		}
	}
}

func (f *fleet) takeOver(m *member) {
	f.writers++
	f.writing[m.ID] = true
	if !f.call(m) || m.version != f.version {
		m.e.ClearSuspicion()
		if m.view.StoreReachable {
			f.read(m)
		}
		return
	}
	f.version++
	f.changed(record{leader: m.Leader, candidates: f.record.candidates})
	m.version = f.version
	old := f.at(m.view.Leader.Address)
	m.leads, m.view.Leader = true, m.Leader
	if old != nil && old.leads && reaches(m, old) {
		f.follow(old, m.Leader)
	}
}

func (f *fleet) step() {
	for i, m := range f.members {
		if !m.up || m.frozen {
			continue
		}
		f.tellAskers(m)
		if m.leads {
			f.poll(m, 0, true)
			if f.now-m.heardBeat >= heartbeat {
				m.heardBeat = f.now
				f.news(m)
			}
			continue
		}
		if (f.now/step)%(tick/step) != time.Duration(i)%(tick/step) && !m.woken {
			continue
		}
		m.woken = false
		if l := f.at(m.view.Leader.Address); l != nil && l != m && !m.cut && !l.cut && !l.frozen {
			ended := !l.up || l.Incarnation > m.view.Leader.Incarnation
			if m.view.LeaderEnded = ended; ended || !l.leads {
				m.view.LeaderRefused, m.view.LeaderHeardAt = true, 0
			}
		}
		d := m.e.Tick(f.now, m.view)
		if d.ReadRecord {
			f.look(m)
		}
		if d.TakeOver {
			f.takeOver(m)
		}
		f.poll(m, 0, d.WatchRecord)
		f.poll(m, 1, d.WatchConfig)
		f.poll(m, 2, d.WatchConfig)
		for _, address := range d.Query {
			f.ask(m, address)
		}
	}
	f.now += step
}

func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.step()
	}
}

// forget starts the counts anew.
func (f *fleet) forget() {
	f.calls, f.stale, f.writers, f.perSecond, f.writing = 0, 0, 0, map[int]int{}, map[string]bool{}
}

func (f *fleet) mostPerSecond() int {
	most := 0
	for _, n := range f.perSecond {
		most = max(most, n)
	}
	return most
}

// followed is the share of the members that hear the leader.
func (f *fleet) followed() float64 {
	n, all := 0, 0
	for _, m := range f.members {
		if m.up && !m.frozen && !m.cut {
			all++
			if m.leads || !m.e.SuspectsLeader() {
				n++
			}
		}
	}
	return float64(n) / float64(all)
}

// until is the time until nearly all members follow a leader other than the one before.
func (f *fleet) until(limit time.Duration, before *member) time.Duration {
	began := f.now
	for f.now-began < limit {
		f.run(tick)
		if l := f.leading(); f.followed() > 0.99 && l != nil && l != before {
			break
		}
	}
	return f.now - began
}

var _ = Describe("a leader in doubt", func() {
	for _, n := range []int{8, 30, 100, 300, 1000} {
		steady := func() *fleet {
			f := newFleet(n)
			f.run(8 * time.Second)
			Expect(f.followed()).To(BeNumerically("==", 1))
			f.forget()
			return f
		}
		// 16 calls a second from all that do not lead, at any size, is the stated bound.
		const bound = 16

		It(fmt.Sprintf("at the start of %d instances costs few calls", n), func() {
			// Guards against hundreds of instances that read the record until one leads.
			f := newFleet(n)
			Expect(f.until(10*time.Second, nil)).To(BeNumerically("<", 3*time.Second))
			GinkgoWriter.Printf("n=%d calls=%d stale=%d took=%s\n", n, f.calls, f.stale, f.now-time.Second)
			Expect(f.cost()).To(BeNumerically("<", 60+n/4))
		})
		DescribeTable(fmt.Sprintf("is replaced among %d instances, without a stampede to the store", n),
			// Guards against 294 followers that all question the store in the same instant:
			// 35,578 calls on a quiet day of 295 instances.
			func(fault func(f *fleet), within time.Duration) {
				f := steady()
				old := f.leading()
				fault(f)
				f.run(tick)
				took := f.until(10*time.Second, old)
				GinkgoWriter.Printf("n=%d took=%s calls=%d most=%d writers=%d followed=%.2f\n", n, took, f.calls, f.mostPerSecond(), len(f.writing), f.followed())
				Expect(took).To(BeNumerically("<", within))
				Expect(f.leading()).NotTo(BeIdenticalTo(old))
				Expect(f.mostPerSecond()).To(BeNumerically("<=", bound))
				Expect(len(f.writing)).To(BeNumerically("<=", 3))
			},
			Entry("killed", func(f *fleet) { f.leading().up, f.leading().leads = false, false }, 2500*time.Millisecond),
			Entry("frozen", func(f *fleet) {
				l := f.leading()
				l.frozen, l.leads = true, false
			}, 4*time.Second),
			Entry("without the store", func(f *fleet) { f.leading().noStore = true }, 4500*time.Millisecond),
		)
		It(fmt.Sprintf("is not replaced by any of %d instances while the store is down", n), func() {
			f := steady()
			old := f.leading()
			f.storeDown = true
			f.run(8 * time.Second)
			f.storeDown = false
			f.run(2 * time.Second)
			Expect(f.mostPerSecond()).To(BeNumerically("<=", bound))
			Expect(f.leading()).To(BeIdenticalTo(old))
			Expect(f.followed()).To(BeNumerically("==", 1))
		})
		It(fmt.Sprintf("stays when a third of %d instances is cut off from the others", n), func() {
			// Guards against instances that reach only the store and take the lead from one
			// that all others hear.
			f := steady()
			old := f.leading()
			for i, m := range f.members {
				m.cut = i%3 == 0 && m != old
			}
			f.run(3500 * time.Millisecond)
			Expect(f.leading()).To(BeIdenticalTo(old))
			for _, m := range f.members {
				m.cut = false
			}
			Expect(f.until(5*time.Second, nil)).To(BeNumerically("<", 2*time.Second))
		})
		It(fmt.Sprintf("is replaced when it and all candidates of %d instances are lost", n), func() {
			// Guards against a deployment that waits for instances which do not come back.
			f := steady()
			if n <= election.MaxCandidates+1 {
				Skip("all instances are candidates")
			}
			lost := map[string]bool{}
			for _, c := range f.members[n-1].e.Candidates() {
				lost[c.ID] = true
			}
			for _, m := range f.members {
				if lost[m.ID] {
					m.up, m.leads = false, false
				}
			}
			f.run(tick)
			Expect(f.until(15*time.Second, nil)).To(BeNumerically("<", 8*time.Second))
		})
	}

	for _, n := range []int{10, 65, 295} {
		DescribeTable(fmt.Sprintf("is replaced at once when all %d instances have lost power and start again", n),
			// Guards against instances that are up and wait for a leader whose process has
			// ended, or for others to tell them of one (entoto-gate scale-2: a leader 0.98 s
			// after the first start).
			func(position float64) {
				f := newFleet(n)
				f.run(8 * time.Second)
				Expect(f.followed()).To(BeNumerically("==", 1))
				old := f.leading()
				f.losePower()
				f.run(time.Second)
				f.forget()
				order := f.source.Perm(n)
				at := slices.Index(f.members, old)
				order = slices.DeleteFunc(order, func(i int) bool { return i == at })
				if position >= 0 {
					order = slices.Insert(order, int(position*float64(n-1)), at)
				}
				began := f.now
				for f.leading() == nil && f.now-began < 5*time.Second {
					for len(order) > 0 && f.now-began >= 500*time.Millisecond*time.Duration(n-len(order))/time.Duration(n) {
						f.restart(f.members[order[0]])
						order = order[1:]
					}
					f.run(step)
				}
				took := f.now - began
				for _, i := range order {
					f.restart(f.members[i])
				}
				f.run(time.Second)
				GinkgoWriter.Printf("n=%d position=%.1f took=%s calls=%d stale=%d writers=%d\n", n, position, took, f.calls, f.stale, f.writers)
				Expect(took).To(BeNumerically("<=", 150*time.Millisecond))
				Expect(f.writers).To(BeNumerically("<=", 3))
			},
			Entry("the leader first", 0.0),
			Entry("the leader in the middle", 0.5),
			Entry("the leader last", 1.0),
			Entry("and the leader does not come back", -1.0),
		)
	}
})
