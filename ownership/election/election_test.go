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
	stepTime          = 5 * time.Millisecond // the duration of a call to the store or to another instance
	tickInterval      = 50 * time.Millisecond
	heartbeatInterval = 300 * time.Millisecond
	// retryInterval is the time between polls while the store does not answer, leaderRetryInterval the
	// same for the leader.
	retryInterval       = 600 * time.Millisecond
	leaderRetryInterval = 300 * time.Millisecond
	// leaderQueryTimeout is the time for which an instance keeps a query that it cannot answer yet.
	leaderQueryTimeout = time.Second
)

// pollIntervals is the time between two polls of an instance, by kind: record, configuration,
// targets.
var pollIntervals = [3]time.Duration{800 * time.Millisecond, 2 * time.Second, 2 * time.Second}

// options returns the options of a deployment in which changes must be in force within 3
// s.
func options() election.Options {
	o := election.DefaultOptions
	o.WatchDelay = 2400 * time.Millisecond
	return o
}

// simInstance is a simulated instance. It carries out the decisions of its elector.
type simInstance struct {
	rangelease.Leader
	elector          *election.Elector
	up, frozen       bool // an instance that is not up refuses connections
	isolated         bool // reaches no other instance, and none reaches it
	storeUnreachable bool
	leads            bool
	tickDue          bool // its knowledge has changed, so it decides before its next tick

	view            election.View
	version         int              // of the record that it last read; 0 if it has read none or only a stale one
	pollAt          [3]lease.Instant // by kind: record, configuration, targets
	heartbeatSentAt lease.Instant
	waiting         []waitingQuery
}

// waitingQuery is an instance that waits for an answer to its query for the leader.
type waitingQuery struct {
	*simInstance
	until lease.Instant
}

// storedRecord is the ownership record in the store since a given time.
type storedRecord struct {
	since      lease.Instant
	leader     rangelease.Leader
	candidates []rangelease.Leader
}

// cluster is a set of simulated instances with the record in the store. Time advances in
// steps.
type cluster struct {
	now            lease.Instant
	instances      []*simInstance
	record         storedRecord
	earlierRecords []storedRecord
	version        int
	storeDown      bool
	random         *rand.Rand

	calls, takeoverWrites int
	staleReads            int         // reads that may return an old state, at a tenth of the cost of a call
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

// restart replaces the process of an instance by a new one that knows nothing.
func (f *cluster) restart(m *simInstance) {
	m.Incarnation++
	*m = simInstance{Leader: m.Leader, up: true, tickDue: true, storeUnreachable: m.storeUnreachable, isolated: m.isolated}
	m.elector = election.New(options(), f.now, m.Leader, f.random.Float64)
}

// stopAll ends the processes of all instances.
func (f *cluster) stopAll() {
	for _, m := range f.instances {
		m.up, m.leads = false, false
	}
}

// staleAge is the age of the state that a stale read returns.
const staleAge = 500 * time.Millisecond

// readStaleRecord reads the record as it was staleAge ago.
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

// cost returns the number of calls to the store, weighted by their cost.
func (f *cluster) cost() int { return f.calls + f.staleReads/10 }

// replaceRecord replaces the record in the store.
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

// call counts a call to the store and reports whether the store answers.
func (f *cluster) call(m *simInstance) bool {
	f.calls++
	if !m.leads {
		f.callsPerSecond[int(f.now/time.Second)]++
	}
	ok := !f.storeDown && !m.storeUnreachable
	m.view.StoreReachable = ok
	return ok
}

// follow makes an instance follow another leader.
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
		for _, other := range f.instances { // a deposed leader informs its followers before it closes their links
			if other != m && other.view.Leader.ID == m.ID && reaches(m, other) {
				f.follow(other, l)
			}
		}
	}
	if to := f.instanceAt(l.Address); to != m && to.leads && reaches(m, to) && reaches(to, m) {
		f.deliverStateUpdate(to, m)
	}
}

// readRecord makes an instance read the current record.
func (f *cluster) readRecord(m *simInstance) {
	m.view.RecordKnown, m.version, m.tickDue = true, f.version, true
	if f.version > 0 && (!m.leads || f.record.leader.ID != m.ID) {
		if m.view.LeaderHeardAt == 0 {
			m.elector.SetCandidates(f.record.candidates)
		}
		f.follow(m, f.record.leader)
	}
}

// sendStateUpdate sends the message of the leader to all followers that it reaches.
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

// answerQuery answers a query if the other instance knows more than the one that asks, and
// reports whether it did.
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
	changed := kind == 0 && m.version != f.version && m.view.StoreReachable    // a change answers the long poll
	waitsForRecord := kind > 0 && m.pollAt[kind] > 0 && !m.view.StoreReachable // until a poll of the record is answered
	if !wanted || waitsForRecord || f.now < m.pollAt[kind] && !changed {
		return
	}
	m.pollAt[kind] = f.now + retryInterval
	if m.leads {
		m.pollAt[kind] = f.now + leaderRetryInterval
	}
	storeWasLost := !m.view.StoreReachable
	if f.call(m) {
		if storeWasLost && m.leads {
			f.sendStateUpdate(m) // before other instances take over
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

// resetCounts resets the counts.
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

// followedFraction returns the fraction of the reachable instances that lead or do not suspect
// their leader.
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

// timeToNewLeader returns the time until nearly all instances follow a leader other than the given
// one, or the limit.
func (f *cluster) timeToNewLeader(limit time.Duration, previous *simInstance) time.Duration {
	began := f.now
	for f.now-began < limit {
		f.run(tickInterval)
		if l := f.leader(); f.followedFraction() > 0.99 && l != nil && l != previous {
			break
		}
	}
	return f.now - began
}

var _ = Describe("the leader", func() {
	for _, n := range []int{8, 30, 100, 300, 1000} {
		newSteadyCluster := func() *cluster {
			f := newCluster(n)
			f.run(8 * time.Second)
			Expect(f.followedFraction()).To(BeNumerically("==", 1))
			f.resetCounts()
			return f
		}
		// The specified limit is 16 calls per second from all instances that do not lead,
		// at any deployment size.
		const bound = 16

		It(fmt.Sprintf("is elected at the start of %d instances with few calls to the store", n), func() {
			// Guards against hundreds of instances that read the record until one of them
			// leads.
			f := newCluster(n)
			Expect(f.timeToNewLeader(10*time.Second, nil)).To(BeNumerically("<", 3*time.Second))
			GinkgoWriter.Printf("n=%d calls=%d stale=%d took=%s\n", n, f.calls, f.staleReads, f.now-time.Second)
			Expect(f.cost()).To(BeNumerically("<", 60+n/4))
		})
		DescribeTable(fmt.Sprintf("is replaced among %d instances without a burst of calls to the store", n),
			// Guards against 294 followers that all call the store at the same moment:
			// 35,578 calls on a quiet day of 295 instances.
			func(injectFault func(f *cluster), within time.Duration) {
				f := newSteadyCluster()
				old := f.leader()
				injectFault(f)
				f.run(tickInterval)
				took := f.timeToNewLeader(10*time.Second, old)
				GinkgoWriter.Printf("n=%d took=%s calls=%d most=%d writers=%d followed=%.2f\n", n, took, f.calls, f.maxCallsPerSecond(), len(f.takeoverWriters), f.followedFraction())
				Expect(took).To(BeNumerically("<", within))
				Expect(f.leader()).NotTo(BeIdenticalTo(old))
				Expect(f.maxCallsPerSecond()).To(BeNumerically("<=", bound))
				Expect(len(f.takeoverWriters)).To(BeNumerically("<=", 3))
			},
			Entry("when it is killed", func(f *cluster) { f.leader().up, f.leader().leads = false, false }, 2500*time.Millisecond),
			Entry("when it is frozen", func(f *cluster) {
				l := f.leader()
				l.frozen, l.leads = true, false
			}, 4*time.Second),
			Entry("when it cannot reach the store", func(f *cluster) { f.leader().storeUnreachable = true }, 4500*time.Millisecond),
		)
		It(fmt.Sprintf("is not replaced among %d instances while the store is down", n), func() {
			f := newSteadyCluster()
			old := f.leader()
			f.storeDown = true
			f.run(8 * time.Second)
			f.storeDown = false
			f.run(2 * time.Second)
			Expect(f.maxCallsPerSecond()).To(BeNumerically("<=", bound))
			Expect(f.leader()).To(BeIdenticalTo(old))
			Expect(f.followedFraction()).To(BeNumerically("==", 1))
		})
		It(fmt.Sprintf("is not replaced when a third of %d instances is cut off from the others", n), func() {
			// Guards against instances that reach only the store and take over from a
			// leader that all others still hear.
			f := newSteadyCluster()
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
		It(fmt.Sprintf("is replaced among %d instances when it and all candidates are lost", n), func() {
			// Guards against a deployment that waits for instances that do not come back.
			f := newSteadyCluster()
			if n <= election.MaxCandidates+1 {
				Skip("all instances are candidates")
			}
			lostIDs := map[string]bool{}
			for _, c := range f.instances[n-1].elector.Candidates() {
				lostIDs[c.ID] = true
			}
			for _, m := range f.instances {
				if lostIDs[m.ID] {
					m.up, m.leads = false, false
				}
			}
			f.run(tickInterval)
			Expect(f.timeToNewLeader(15*time.Second, nil)).To(BeNumerically("<", 8*time.Second))
		})
	}

	for _, n := range []int{10, 65, 295} {
		DescribeTable(fmt.Sprintf("is replaced at once when all %d instances start again after a power loss", n),
			// Guards against instances that are up but wait for a leader whose process has
			// ended, or for others to name one. In the entoto-gate scale-2 run, a leader
			// was found only 0.98 s after the first start.
			func(leaderPosition float64) {
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
				if leaderPosition >= 0 {
					order = slices.Insert(order, int(leaderPosition*float64(n-1)), at)
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
				GinkgoWriter.Printf("n=%d position=%.1f took=%s calls=%d stale=%d writers=%d\n", n, leaderPosition, took, f.calls, f.staleReads, f.takeoverWrites)
				Expect(took).To(BeNumerically("<=", 150*time.Millisecond))
				Expect(f.takeoverWrites).To(BeNumerically("<=", 3))
			},
			Entry("with the leader first", 0.0),
			Entry("with the leader in the middle", 0.5),
			Entry("with the leader last", 1.0),
			Entry("without the leader", -1.0),
		)
	}
})
