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
	stepTime          = 5 * time.Millisecond // a call to the store or to another instance
	tickInterval      = 50 * time.Millisecond
	heartbeatInterval = 300 * time.Millisecond
	// retryInterval is that time while the store does not answer, leaderRetryInterval that of the leader.
	retryInterval       = 600 * time.Millisecond
	leaderRetryInterval = 300 * time.Millisecond
	// leaderQueryTimeout is the time for which an instance keeps a question that it cannot answer yet.
	leaderQueryTimeout = time.Second
)

// pollIntervals is the time between two calls of an instance that follows the record,
// configuration or targets.
var pollIntervals = [3]time.Duration{800 * time.Millisecond, 2 * time.Second, 2 * time.Second}

// options are those of a deployment in which changes must be in force within 3 s.
func options() election.Options {
	o := election.DefaultOptions
	o.WatchDelay = 2400 * time.Millisecond
	return o
}

// simInstance is an instance of the model. It carries out what its elector decides.
type simInstance struct {
	rangelease.Leader
	elector          *election.Elector
	up, frozen       bool // what is not up refuses connections
	isolated         bool // reaches no other instance
	storeUnreachable bool
	leads            bool
	tickDue          bool // what it knows has changed, so that it decides before its next tick

	view            election.View
	version         int              // of the record that it has read; 0 if it may be an old one
	pollAt          [3]lease.Instant // by kind: record, configuration, targets
	heartbeatSentAt lease.Instant
	waiting         []waitingQuery
}

// waitingQuery waits to be told who leads.
type waitingQuery struct {
	*simInstance
	until lease.Instant
}

// storedRecord is what the store has since a time.
type storedRecord struct {
	since      lease.Instant
	leader     rangelease.Leader
	candidates []rangelease.Leader
}

// cluster is a number of instances with the record in the store. Time passes in steps.
type cluster struct {
	now            lease.Instant
	instances      []*simInstance
	record         storedRecord
	earlierRecords []storedRecord
	version        int
	storeDown      bool
	random         *rand.Rand

	calls, takeoverWrites int
	staleReads            int         // calls that may be answered from an old state, at a tenth of the price
	callsPerSecond        map[int]int // calls of instances that do not lead, by second
	takeoverWriters       map[string]bool
}

func newCluster(n int) *cluster {
	f := &cluster{now: time.Second, callsPerSecond: map[int]int{}, takeoverWriters: map[string]bool{}}
	f.random = rand.New(rand.NewPCG(uint64(n), 7))
	for i := range n {
		m := &simInstance{Leader: rangelease.Leader{ID: fmt.Sprintf("i%d", i), Incarnation: 1, Address: fmt.Sprintf("a%d", i), Strength: 0.16}, up: true}
		if i%16 == 5 {
			m.Strength = 0.8
		}
		f.instances = append(f.instances, m)
	}
	for _, m := range f.instances {
		m.elector = election.New(options(), f.now, m.Leader, f.random.Float64)
	}
	return f
}

// restart begins a new process that knows nothing.
func (f *cluster) restart(m *simInstance) {
	m.Incarnation++
	*m = simInstance{Leader: m.Leader, up: true, tickDue: true, storeUnreachable: m.storeUnreachable, isolated: m.isolated}
	m.elector = election.New(options(), f.now, m.Leader, f.random.Float64)
}

// stopAll ends all processes.
func (f *cluster) stopAll() {
	for _, m := range f.instances {
		m.up, m.leads = false, false
	}
}

// staleAge is the age of the state from which cheap reads are answered.
const staleAge = 500 * time.Millisecond

// readStaleRecord reads the record as it was a while ago.
func (f *cluster) readStaleRecord(m *simInstance) {
	f.staleReads++
	if f.storeDown || m.storeUnreachable {
		return
	}
	for _, r := range slices.Backward(append(slices.Clone(f.earlierRecords), f.record)) {
		if r.leader.ID != "" && r.since <= f.now-staleAge {
			m.elector.SetCandidates(r.candidates)
			m.elector.SetInstances(len(f.instances))
			f.follow(m, r.leader)
			return
		}
	}
}

// cost is the number of calls to the store by their price.
func (f *cluster) cost() int { return f.calls + f.staleReads/10 }

// replaceRecord replaces the record.
func (f *cluster) replaceRecord(r storedRecord) {
	f.earlierRecords = append(f.earlierRecords, f.record)
	f.record = r
	f.record.since = f.now
}

func (f *cluster) instanceAt(address string) *simInstance {
	for _, m := range f.instances {
		if m.Address == address {
			return m
		}
	}
	return nil
}

func (f *cluster) leader() *simInstance {
	for _, m := range f.instances {
		if m.leads {
			return m
		}
	}
	return nil
}

func reaches(a, b *simInstance) bool { return !a.isolated && !b.isolated && b.up && !b.frozen }

// call counts a call to the store and reports whether it is answered.
func (f *cluster) call(m *simInstance) bool {
	f.calls++
	if !m.leads {
		f.callsPerSecond[int(f.now/time.Second)]++
	}
	ok := !f.storeDown && !m.storeUnreachable
	m.view.StoreReachable = ok
	return ok
}

// follow adopts a leader.
func (f *cluster) follow(m *simInstance, l rangelease.Leader) {
	if m.view.Leader == l {
		return
	}
	m.view.Leader, m.view.LeaderHeardAt, m.view.LeaderRefused, m.view.LeaderEnded, m.view.LeaderLostStore = l, 0, false, false, false
	m.elector.ReportLeaderChange(f.now)
	m.tickDue = true
	if m.leads {
		m.leads = false
		m.elector.ReportDeposed(f.now)
		for _, other := range f.instances { // it tells its followers before it ends their links
			if other != m && other.view.Leader.ID == m.ID && reaches(m, other) {
				f.follow(other, l)
			}
		}
	}
	if to := f.instanceAt(l.Address); to != m && to.leads && reaches(m, to) && reaches(to, m) {
		f.deliverStateUpdate(to, m)
	}
}

// readRecord takes the record as the store has it.
func (f *cluster) readRecord(m *simInstance) {
	m.view.RecordKnown, m.version, m.tickDue = true, f.version, true
	if f.version > 0 && (!m.leads || f.record.leader.ID != m.ID) {
		if m.view.LeaderHeardAt == 0 {
			m.elector.SetCandidates(f.record.candidates)
		}
		f.follow(m, f.record.leader)
	}
}

// sendStateUpdate brings what the leader says to all that it reaches.
func (f *cluster) sendStateUpdate(l *simInstance) {
	known := []rangelease.Leader{}
	for _, m := range f.instances {
		if m != l && m.view.Leader.ID == l.ID && reaches(l, m) {
			known = append(known, m.Leader)
		}
	}
	list := election.RankCandidates(l.Leader, known)
	if len(known) > election.MaxCandidates && f.record.leader == l.Leader {
		f.record.candidates = list // with the next write of the leader
	}
	for _, m := range f.instances {
		if m == l || m.view.Leader.ID != l.ID || !reaches(l, m) {
			continue
		}
		f.deliverStateUpdate(l, m)
		if len(known) > election.MaxCandidates {
			m.elector.SetCandidates(list)
		}
	}
}

func (f *cluster) deliverStateUpdate(l, m *simInstance) {
	m.view.LeaderHeardAt, m.view.LeaderLostStore, m.view.LeaderRefused, m.view.LeaderEnded = f.now, !l.view.StoreReachable, false, false
	if l.view.StoreReachable {
		m.view.LeaderStoreAt = f.now
	}
	m.elector.SetInstances(len(f.instances))
}

func (f *cluster) query(m *simInstance, address string) {
	other := f.instanceAt(address)
	switch {
	case m.isolated || other.isolated || other.frozen:
		return
	case !other.up:
		m.elector.ReportPeerRefused(f.now, address)
		m.tickDue = true
		return
	case !f.answerQuery(other, m):
		other.waiting = append(other.waiting, waitingQuery{m, f.now + leaderQueryTimeout})
	}
	m.elector.ReportPeerSeen(f.now)
}

// answerQuery answers a question, if the other instance knows more.
func (f *cluster) answerQuery(other, m *simInstance) bool {
	switch {
	case other.leads:
		f.follow(m, other.Leader)
	case other.view.Leader.ID == "" || (other.elector.SuspectsLeader() || other.view.LeaderHeardAt == 0) && other.version <= m.version:
		return false
	case other.view.Leader.ID == m.view.Leader.ID:
		m.elector.ReportLeaderSeenByPeer(f.now, f.now-other.view.LeaderHeardAt)
	default:
		f.follow(m, other.view.Leader)
	}
	return true
}

func (f *cluster) answerWaiting(m *simInstance) {
	m.waiting = slices.DeleteFunc(m.waiting, func(a waitingQuery) bool { return f.now > a.until || f.answerQuery(m, a.simInstance) })
}

func (f *cluster) poll(m *simInstance, kind int, wanted bool) {
	changed := kind == 0 && m.version != f.version && m.view.StoreReachable // a waiting poll is answered
	waits := kind > 0 && m.pollAt[kind] > 0 && !m.view.StoreReachable       // for an answer to a poll of the record
	if !wanted || waits || f.now < m.pollAt[kind] && !changed {
		return
	}
	m.pollAt[kind] = f.now + retryInterval
	if m.leads {
		m.pollAt[kind] = f.now + leaderRetryInterval
	}
	back := !m.view.StoreReachable
	if f.call(m) {
		if back && m.leads {
			f.sendStateUpdate(m) // before others take over
		}
		m.pollAt[kind] = f.now + pollIntervals[kind]
		if kind == 0 {
			f.readRecord(m)
		}
	}
}

func (f *cluster) takeOver(m *simInstance) {
	f.takeoverWrites++
	f.takeoverWriters[m.ID] = true
	if !f.call(m) || m.version != f.version {
		m.elector.ClearSuspicion()
		if m.view.StoreReachable {
			f.readRecord(m)
		}
		return
	}
	f.version++
	f.replaceRecord(storedRecord{leader: m.Leader, candidates: f.record.candidates})
	m.version = f.version
	old := f.instanceAt(m.view.Leader.Address)
	m.leads, m.view.Leader = true, m.Leader
	if old != nil && old.leads && reaches(m, old) {
		f.follow(old, m.Leader)
	}
}

func (f *cluster) step() {
	for i, m := range f.instances {
		if !m.up || m.frozen {
			continue
		}
		f.answerWaiting(m)
		if m.leads {
			f.poll(m, 0, true)
			if f.now-m.heartbeatSentAt >= heartbeatInterval {
				m.heartbeatSentAt = f.now
				f.sendStateUpdate(m)
			}
			continue
		}
		if (f.now/stepTime)%(tickInterval/stepTime) != time.Duration(i)%(tickInterval/stepTime) && !m.tickDue {
			continue
		}
		m.tickDue = false
		if l := f.instanceAt(m.view.Leader.Address); l != nil && l != m && !m.isolated && !l.isolated && !l.frozen {
			ended := !l.up || l.Incarnation > m.view.Leader.Incarnation
			if m.view.LeaderEnded = ended; ended || !l.leads {
				m.view.LeaderRefused, m.view.LeaderHeardAt = true, 0
			}
		}
		d := m.elector.Tick(f.now, m.view)
		if d.ReadRecord {
			f.readStaleRecord(m)
		}
		if d.TakeOver {
			f.takeOver(m)
		}
		f.poll(m, 0, d.WatchRecord)
		f.poll(m, 1, d.WatchConfig)
		f.poll(m, 2, d.WatchConfig)
		for _, address := range d.Query {
			f.query(m, address)
		}
	}
	f.now += stepTime
}

func (f *cluster) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.step()
	}
}

// resetCounts starts the counts anew.
func (f *cluster) resetCounts() {
	f.calls, f.staleReads, f.takeoverWrites, f.callsPerSecond, f.takeoverWriters = 0, 0, 0, map[int]int{}, map[string]bool{}
}

func (f *cluster) maxCallsPerSecond() int {
	most := 0
	for _, n := range f.callsPerSecond {
		most = max(most, n)
	}
	return most
}

// followedFraction is the share of the members that hear the leader.
func (f *cluster) followedFraction() float64 {
	n, all := 0, 0
	for _, m := range f.instances {
		if m.up && !m.frozen && !m.isolated {
			all++
			if m.leads || !m.elector.SuspectsLeader() {
				n++
			}
		}
	}
	return float64(n) / float64(all)
}

// timeToNewLeader is the time until nearly all members follow a leader other than the one before.
func (f *cluster) timeToNewLeader(limit time.Duration, before *simInstance) time.Duration {
	began := f.now
	for f.now-began < limit {
		f.run(tickInterval)
		if l := f.leader(); f.followedFraction() > 0.99 && l != nil && l != before {
			break
		}
	}
	return f.now - began
}

var _ = Describe("a leader in doubt", func() {
	for _, n := range []int{8, 30, 100, 300, 1000} {
		steady := func() *cluster {
			f := newCluster(n)
			f.run(8 * time.Second)
			Expect(f.followedFraction()).To(BeNumerically("==", 1))
			f.resetCounts()
			return f
		}
		// 16 calls a second from all that do not lead, at any size, is the stated bound.
		const bound = 16

		It(fmt.Sprintf("at the start of %d instances costs few calls", n), func() {
			// Guards against hundreds of instances that read the record until one leads.
			f := newCluster(n)
			Expect(f.timeToNewLeader(10*time.Second, nil)).To(BeNumerically("<", 3*time.Second))
			GinkgoWriter.Printf("n=%d calls=%d stale=%d took=%s\n", n, f.calls, f.staleReads, f.now-time.Second)
			Expect(f.cost()).To(BeNumerically("<", 60+n/4))
		})
		DescribeTable(fmt.Sprintf("is replaced among %d instances, without a stampede to the store", n),
			// Guards against 294 followers that all question the store in the same instant:
			// 35,578 calls on a quiet day of 295 instances.
			func(fault func(f *cluster), within time.Duration) {
				f := steady()
				old := f.leader()
				fault(f)
				f.run(tickInterval)
				took := f.timeToNewLeader(10*time.Second, old)
				GinkgoWriter.Printf("n=%d took=%s calls=%d most=%d writers=%d followed=%.2f\n", n, took, f.calls, f.maxCallsPerSecond(), len(f.takeoverWriters), f.followedFraction())
				Expect(took).To(BeNumerically("<", within))
				Expect(f.leader()).NotTo(BeIdenticalTo(old))
				Expect(f.maxCallsPerSecond()).To(BeNumerically("<=", bound))
				Expect(len(f.takeoverWriters)).To(BeNumerically("<=", 3))
			},
			Entry("killed", func(f *cluster) { f.leader().up, f.leader().leads = false, false }, 2500*time.Millisecond),
			Entry("frozen", func(f *cluster) {
				l := f.leader()
				l.frozen, l.leads = true, false
			}, 4*time.Second),
			Entry("without the store", func(f *cluster) { f.leader().storeUnreachable = true }, 4500*time.Millisecond),
		)
		It(fmt.Sprintf("is not replaced by any of %d instances while the store is down", n), func() {
			f := steady()
			old := f.leader()
			f.storeDown = true
			f.run(8 * time.Second)
			f.storeDown = false
			f.run(2 * time.Second)
			Expect(f.maxCallsPerSecond()).To(BeNumerically("<=", bound))
			Expect(f.leader()).To(BeIdenticalTo(old))
			Expect(f.followedFraction()).To(BeNumerically("==", 1))
		})
		It(fmt.Sprintf("stays when a third of %d instances is cut off from the others", n), func() {
			// Guards against instances that reach only the store and take the lead from one
			// that all others hear.
			f := steady()
			old := f.leader()
			for i, m := range f.instances {
				m.isolated = i%3 == 0 && m != old
			}
			f.run(3500 * time.Millisecond)
			Expect(f.leader()).To(BeIdenticalTo(old))
			for _, m := range f.instances {
				m.isolated = false
			}
			Expect(f.timeToNewLeader(5*time.Second, nil)).To(BeNumerically("<", 2*time.Second))
		})
		It(fmt.Sprintf("is replaced when it and all candidates of %d instances are lost", n), func() {
			// Guards against a deployment that waits for instances which do not come back.
			f := steady()
			if n <= election.MaxCandidates+1 {
				Skip("all instances are candidates")
			}
			lost := map[string]bool{}
			for _, c := range f.instances[n-1].elector.Candidates() {
				lost[c.ID] = true
			}
			for _, m := range f.instances {
				if lost[m.ID] {
					m.up, m.leads = false, false
				}
			}
			f.run(tickInterval)
			Expect(f.timeToNewLeader(15*time.Second, nil)).To(BeNumerically("<", 8*time.Second))
		})
	}

	for _, n := range []int{10, 65, 295} {
		DescribeTable(fmt.Sprintf("is replaced at once when all %d instances have lost power and start again", n),
			// Guards against instances that are up and wait for a leader whose process has
			// ended, or for others to tell them of one (entoto-gate scale-2: a leader 0.98 s
			// after the first start).
			func(position float64) {
				f := newCluster(n)
				f.run(8 * time.Second)
				Expect(f.followedFraction()).To(BeNumerically("==", 1))
				old := f.leader()
				f.stopAll()
				f.run(time.Second)
				f.resetCounts()
				order := f.random.Perm(n)
				at := slices.Index(f.instances, old)
				order = slices.DeleteFunc(order, func(i int) bool { return i == at })
				if position >= 0 {
					order = slices.Insert(order, int(position*float64(n-1)), at)
				}
				began := f.now
				for f.leader() == nil && f.now-began < 5*time.Second {
					for len(order) > 0 && f.now-began >= 500*time.Millisecond*time.Duration(n-len(order))/time.Duration(n) {
						f.restart(f.instances[order[0]])
						order = order[1:]
					}
					f.run(stepTime)
				}
				took := f.now - began
				for _, i := range order {
					f.restart(f.instances[i])
				}
				f.run(time.Second)
				GinkgoWriter.Printf("n=%d position=%.1f took=%s calls=%d stale=%d writers=%d\n", n, position, took, f.calls, f.staleReads, f.takeoverWrites)
				Expect(took).To(BeNumerically("<=", 150*time.Millisecond))
				Expect(f.takeoverWrites).To(BeNumerically("<=", 3))
			},
			Entry("the leader first", 0.0),
			Entry("the leader in the middle", 0.5),
			Entry("the leader last", 1.0),
			Entry("and the leader does not come back", -1.0),
		)
	}
})
