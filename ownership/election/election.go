// Package election decides when an instance takes the lead, whom it asks who leads,
// and when it may question the store instead. It is deterministic: no clock, no
// goroutines, no network; one goroutine uses an Elector.
//
// A leader tells all instances who its candidates are: the strongest few, in an
// order that all know. Only candidates follow the record of ownership while a
// leader is in doubt, so the calls to the store do not grow with the number of
// instances. All others ask candidates. The record names them too, so that one look
// at it tells an instance that starts whom to follow and whether it has to take over
// itself. An instance that finds neither a leader nor a candidate for long makes
// itself a candidate, at a rate that all instances keep together.
package election

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/ownership/rangelease"
)

// MaxCandidates is the number of candidates besides the leader. Each follows three
// kinds of objects in the store while a leader is in doubt; together they make less
// than 16 calls a second.
const MaxCandidates = 6

// MinRelativeStrength is the part of a leader's strength from which another instance can
// lead as well.
const MinRelativeStrength = 0.7

// watchRankSteps times RankDelay is the time by which each candidate follows configuration
// and targets later than the one before it: mostly one of the first takes over meanwhile.
const watchRankSteps = 3

// Options are the times of an Elector.
type Options struct {
	// LeaderTimeout is the age of the last news up to which the leader counts as alive.
	LeaderTimeout time.Duration
	// LeaderStoreTimeout is the age of the leader's last answer from the store from which
	// another instance may take over.
	LeaderStoreTimeout time.Duration
	// RefusedTakeoverDelay is the time for which an instance that says that it does not lead
	// may still learn that it does, or may reach the store again.
	RefusedTakeoverDelay time.Duration
	// SilentTakeoverDelay is the time between the first doubt about a silent leader and
	// the take-over by the first candidate.
	SilentTakeoverDelay time.Duration
	// RankDelay is the time by which each candidate waits longer than the one before
	// it: a take-over is seen within a tenth of a second.
	RankDelay time.Duration
	// WeakTakeoverDelay is the time for which an instance leaves a lost lead to those that
	// are as strong as the leader was.
	WeakTakeoverDelay time.Duration
	// WeakBootstrapDelay is the time by which the weakest instance waits longer than one with
	// a core before it leads a deployment that starts for the first time.
	WeakBootstrapDelay time.Duration
	// DeposedBackoff is the time for which an instance that lost the lead leaves it
	// to others, so that two that do not hear each other do not take turns.
	DeposedBackoff time.Duration
	// IsolatedTakeoverDelay is the time for which a candidate waits that reaches the store
	// but no other candidate: it is more likely cut off than alone.
	IsolatedTakeoverDelay time.Duration
	// PeerReportTTL is the time for which a sign of life of the leader at another instance
	// counts.
	PeerReportTTL time.Duration
	// CandidateWatchDelay and WatchDelay are the times since the last news after which
	// candidates and others follow configuration and targets in the store themselves.
	// WatchDelay leaves time for a new leader, and for a poll within the bound in
	// which changes must be in force.
	CandidateWatchDelay, WatchDelay time.Duration
	// RecordReadInterval is the least time between two looks at the record of an instance that
	// starts: a look may show a state that is seconds old.
	RecordReadInterval time.Duration
	// BootstrapFraction of all instances may lead a deployment that starts for the first time at
	// once; the share doubles with each BootstrapDoubling. So a few lead at any number of
	// instances, which nobody knows yet.
	BootstrapFraction float64
	BootstrapDoubling time.Duration
	// Jitter is the time over which instances without an order spread what they do.
	Jitter time.Duration
	// StoreRecoveryGrace is the time after which a leader that also reaches the store again has
	// said so.
	StoreRecoveryGrace time.Duration
	// QueryInterval is the mean time between two questions of a candidate. Others add
	// QueryIntervalPerInstance for each instance, up to MaxQueryInterval in all.
	QueryInterval, QueryIntervalPerInstance, MaxQueryInterval time.Duration
	// LinkTimeout is the time within which a leader that is followed anew is heard.
	LinkTimeout time.Duration
	// LinkedQueryDelay is the time after which an instance asks for another leader while
	// it still hears the one that has lost the store.
	LinkedQueryDelay time.Duration
	// SelfNominationDelay is the time of doubt after which an instance makes itself a candidate,
	// spread so that SelfNominationsPerSecond instances a second do.
	SelfNominationDelay      time.Duration
	SelfNominationsPerSecond float64
	// UnopposedNominationsPerSecond is that number where the leader and all candidates refuse connections:
	// nobody else will take over, and all instances may have just started.
	UnopposedNominationsPerSecond float64
	// RefusalTTL is the time for which a refused connection says that nothing listens there.
	RefusalTTL time.Duration
}

// DefaultOptions are the defaults.
var DefaultOptions = Options{
	LeaderTimeout:                 1200 * time.Millisecond, // three heartbeats may be late
	LeaderStoreTimeout:            3 * time.Second,         // above the wait of a poll of the leader
	RefusedTakeoverDelay:          250 * time.Millisecond,
	SilentTakeoverDelay:           400 * time.Millisecond,
	RankDelay:                     100 * time.Millisecond,
	WeakTakeoverDelay:             600 * time.Millisecond,
	WeakBootstrapDelay:            300 * time.Millisecond,
	DeposedBackoff:                3 * time.Second,
	IsolatedTakeoverDelay:         4 * time.Second,
	PeerReportTTL:                 time.Second,
	CandidateWatchDelay:           1400 * time.Millisecond,
	WatchDelay:                    1400 * time.Millisecond,
	Jitter:                        300 * time.Millisecond,
	QueryInterval:                 150 * time.Millisecond,
	QueryIntervalPerInstance:      250 * time.Microsecond,
	MaxQueryInterval:              300 * time.Millisecond,
	StoreRecoveryGrace:            400 * time.Millisecond,
	LinkTimeout:                   400 * time.Millisecond, // one attempt to connect
	LinkedQueryDelay:              time.Second,
	SelfNominationDelay:           3 * time.Second,
	SelfNominationsPerSecond:      8,
	UnopposedNominationsPerSecond: 256,
	RefusalTTL:                    3 * time.Second,
	RecordReadInterval:            1100 * time.Millisecond,
	BootstrapFraction:             1.0 / 64,
	BootstrapDoubling:             450 * time.Millisecond,
}

// View is what an instance sees of the leader and the store.
type View struct {
	// Leader is the one of the newest record or message; its ID is empty if there is none.
	Leader rangelease.Leader
	// LeaderHeardAt is the time of its last news, 0 if there was none.
	LeaderHeardAt lease.Instant
	// LeaderStoreAt is the time of the store's last answer to the leader, as far as known.
	LeaderStoreAt lease.Instant
	// LeaderRefused says that the leader's address refuses connections or does not lead.
	LeaderRefused bool
	// LeaderEnded says that the leader's process has ended: its address refuses connections, or
	// a later process answers there.
	LeaderEnded bool
	// LeaderLostStore says that the store does not answer the leader.
	LeaderLostStore bool
	// RecordKnown says that the record was read, or that there is none.
	RecordKnown bool
	// StoreReachable says that the store has answered this instance lately.
	StoreReachable bool
}

// Decision is what an instance is to do.
type Decision struct {
	// LeaderHealthy says that the leader is alive and reaches the store.
	LeaderHealthy bool
	// SuspicionStarted says that the doubt begins now.
	SuspicionStarted bool
	// WatchRecord and WatchConfig say what is to be followed in the store: the
	// record of ownership; configuration and targets.
	WatchRecord, WatchConfig bool
	// TakeOver says that the lead is to be taken.
	TakeOver bool
	// Query are the addresses of instances to be asked who leads.
	Query []string
	// ReadRecord says that the record is to be read once, to learn the leader and the
	// candidates. It may be seconds old.
	ReadRecord bool
}

// Elector is the state of one instance.
type Elector struct {
	options Options
	self    rangelease.Leader
	// rand returns a number from 0 to 1.
	rand func() float64

	instanceCount int
	candidates    []rangelease.Leader
	rank          int           // among the candidates, -1 if this instance is none
	bootstrapAt   lease.Instant // when it may lead a deployment without a record
	readRecordAt  lease.Instant // when it looks at the record
	// refusedAt has the times of the last refused connections, by address.
	refusedAt map[string]lease.Instant

	healthyAt             lease.Instant // last news of a healthy leader, or the start
	linkDeadline          lease.Instant // when a leader that is followed anew should have been heard
	suspectedAt           lease.Instant // begin of the doubt, 0 if there is none
	selfNominationAt      lease.Instant // when this instance makes itself a candidate
	unopposedNominationAt lease.Instant // when it does so if all candidates refuse connections
	nominated             bool
	jitter                time.Duration
	queryAt               lease.Instant
	nextCandidate         int
	storeReachableSince   lease.Instant // since when the store answers this instance, 0 if it does not
	peerSeenAt            lease.Instant // last sign of life of another instance
	leaderSeenByPeerAt    lease.Instant // last sign of life of the leader at another instance
	deposedAt             lease.Instant
}

// New returns the elector of an instance that starts now.
func New(o Options, now lease.Instant, self rangelease.Leader, rand func() float64) *Elector {
	e := &Elector{options: o, self: self, rand: rand, rank: -1, healthyAt: now, readRecordAt: now, refusedAt: map[string]lease.Instant{}}
	// The inverse of a share that grows as BootstrapFraction and BootstrapDoubling say.
	doublings := math.Log2(max(rand()/o.BootstrapFraction, 1))
	weakness := 1 - min(self.Strength, 1)
	e.bootstrapAt = now + time.Duration(doublings*float64(o.BootstrapDoubling)+weakness*float64(o.WeakBootstrapDelay))
	return e
}

// SetInstances sets the number of instances.
func (e *Elector) SetInstances(n int) { e.instanceCount = n }

// SetCandidates sets the candidates in their order.
func (e *Elector) SetCandidates(list []rangelease.Leader) {
	if len(list) == 0 {
		return
	}
	e.candidates = list
	e.rank = slices.IndexFunc(list, func(c rangelease.Leader) bool { return c.ID == e.self.ID })
}

// Candidates returns the candidates in their order.
func (e *Elector) Candidates() []rangelease.Leader { return e.candidates }

// ClearSuspicion ends the doubt, because a take-over succeeded or failed.
func (e *Elector) ClearSuspicion() { e.suspectedAt = 0 }

// ReportLeaderChange notes that another leader is followed from now on.
func (e *Elector) ReportLeaderChange(now lease.Instant) {
	e.suspectedAt, e.linkDeadline = 0, now+e.options.LinkTimeout
}

// ReportDeposed notes that this instance has lost the lead.
func (e *Elector) ReportDeposed(now lease.Instant) { e.suspectedAt, e.deposedAt = 0, now }

// ReportPeerSeen notes a sign of life of another instance: an answer, or a refused connection.
func (e *Elector) ReportPeerSeen(now lease.Instant) { e.peerSeenAt = now }

// ReportPeerRefused notes that an address refuses connections.
func (e *Elector) ReportPeerRefused(now lease.Instant, address string) {
	e.peerSeenAt, e.refusedAt[address] = now, now
}

// ReportLeaderSeenByPeer notes that another instance has heard the leader that this one knows, the
// given time ago.
func (e *Elector) ReportLeaderSeenByPeer(now lease.Instant, age time.Duration) {
	e.peerSeenAt, e.leaderSeenByPeerAt = now, max(e.leaderSeenByPeerAt, now-age)
}

// SuspectsLeader reports whether the leader is in doubt.
func (e *Elector) SuspectsLeader() bool { return e.suspectedAt > 0 }

// Tick decides what an instance that does not lead is to do.
func (e *Elector) Tick(now lease.Instant, v View) Decision {
	fresh := v.LeaderHeardAt > 0 && now-v.LeaderHeardAt < e.options.LeaderTimeout
	if fresh && now-v.LeaderStoreAt < e.options.LeaderStoreTimeout && !v.LeaderLostStore {
		e.suspectedAt, e.healthyAt, e.nominated = 0, v.LeaderHeardAt, false
		return Decision{LeaderHealthy: true}
	}
	if now < e.linkDeadline && v.LeaderHeardAt == 0 && !v.LeaderRefused && e.suspectedAt == 0 && v.Leader.ID != e.self.ID {
		return Decision{}
	}
	d := Decision{ReadRecord: e.shouldReadRecord(now)}
	if e.suspectedAt == 0 {
		e.startSuspicion(now)
		d.SuspicionStarted = true
	}
	switch {
	case !v.StoreReachable:
		e.storeReachableSince = 0
	case e.storeReachableSince == 0:
		e.storeReachableSince = now
	}
	d.Query = e.nextQueries(now, fresh)
	if !e.isCandidate(now, fresh, v) {
		// A leader that has lost the store is replaced by a candidate that reaches it. If
		// there is none, the store is down for all.
		d.WatchConfig = !fresh && now-e.healthyAt > e.options.WatchDelay+e.jitter
		return d
	}
	d.WatchRecord = true
	turn := time.Duration(max(e.rank, 0)) * watchRankSteps * e.options.RankDelay
	if v.LeaderLostStore {
		d.WatchConfig = e.storeReachableSince > 0 && now-e.storeReachableSince > e.options.StoreRecoveryGrace+turn
	} else {
		d.WatchConfig = now-e.healthyAt > e.options.CandidateWatchDelay+turn
	}
	d.TakeOver = e.canTakeOver(now, v)
	return d
}

// shouldReadRecord reports whether an instance that knows no candidates looks at the record now.
func (e *Elector) shouldReadRecord(now lease.Instant) bool {
	if len(e.candidates) > 0 || now < e.readRecordAt {
		return false
	}
	e.readRecordAt = now + time.Duration((1+e.rand()/4)*float64(e.options.RecordReadInterval))
	return true
}

func (e *Elector) startSuspicion(now lease.Instant) {
	e.suspectedAt, e.queryAt, e.storeReachableSince, e.nominated = now, now, 0, false
	e.jitter = time.Duration(e.rand() * float64(e.options.Jitter))
	draw := func(perSecond float64) time.Duration {
		return time.Duration(e.rand() * float64(e.instanceCount) / perSecond * float64(time.Second))
	}
	e.selfNominationAt = now + e.options.SelfNominationDelay + e.jitter + draw(e.options.SelfNominationsPerSecond)
	e.unopposedNominationAt = now + draw(e.options.UnopposedNominationsPerSecond)
	if e.rank < 0 {
		e.nextCandidate = int(e.rand() * float64(len(e.candidates)))
	}
}

// isCandidate reports whether this instance is a candidate.
func (e *Elector) isCandidate(now lease.Instant, linked bool, v View) bool {
	switch {
	case e.rank >= 0, e.nominated, len(e.candidates) == 0 && now >= e.bootstrapAt:
		return true
	case linked:
		return false
	}
	e.nominated = now >= e.selfNominationAt || now >= e.unopposedNominationAt && len(e.candidates) > 0 && e.candidatesAhead(now, v) == 0
	return e.nominated
}

// candidatesAhead is the number of candidates that take over before this instance: all that do
// not refuse connections, for one that is none.
func (e *Elector) candidatesAhead(now lease.Instant, v View) int {
	n := 0
	for i, c := range e.candidates {
		if i == e.rank {
			break
		}
		at, refused := e.refusedAt[c.Address]
		if c.ID == v.Leader.ID && !v.LeaderEnded || c.ID != v.Leader.ID && (!refused || now-at > e.options.RefusalTTL) {
			n++
		}
	}
	return n
}

func (e *Elector) canTakeOver(now lease.Instant, v View) bool {
	switch {
	case !v.RecordKnown || !v.StoreReachable:
		return false
	case v.LeaderLostStore && now < e.storeReachableSince+e.takeoverDelay(now, v), now < e.suspectedAt+e.takeoverDelay(now, v):
		return false
	case e.deposedAt > 0 && now-e.deposedAt < e.options.DeposedBackoff && !v.LeaderRefused:
		return false
	case e.leaderSeenByPeerAt > 0 && now-e.leaderSeenByPeerAt < e.options.PeerReportTTL && !v.LeaderLostStore:
		return false
	case e.isIsolated(v):
		return now >= e.suspectedAt+e.options.IsolatedTakeoverDelay
	}
	return true
}

// takeoverDelay is the time between the first doubt and the take-over.
func (e *Elector) takeoverDelay(now lease.Instant, v View) time.Duration {
	if v.Leader.ID == "" || v.Leader.ID == e.self.ID {
		return 0
	}
	patience := e.options.SilentTakeoverDelay
	switch {
	case v.LeaderEnded:
		patience = 0
	case v.LeaderRefused:
		patience = e.options.RefusedTakeoverDelay
	case v.LeaderLostStore:
		patience = e.options.StoreRecoveryGrace
	}
	if e.rank >= 0 {
		patience += time.Duration(e.candidatesAhead(now, v)) * e.options.RankDelay
	}
	if e.self.Strength < MinRelativeStrength*v.Leader.Strength {
		patience += e.options.WeakTakeoverDelay
	}
	return patience
}

// isIsolated reports whether no other candidate has given a sign of life in this doubt.
func (e *Elector) isIsolated(v View) bool {
	others := 0
	for _, c := range e.candidates {
		if c.ID != e.self.ID && c.ID != v.Leader.ID {
			others++
		}
	}
	return others > 0 && e.peerSeenAt < e.suspectedAt && !v.LeaderRefused && !v.LeaderLostStore
}

// nextQueries returns the addresses that are to be asked now, if it is time: all candidates
// when the doubt begins, then one after the other.
func (e *Elector) nextQueries(now lease.Instant, linked bool) []string {
	if now < e.queryAt || linked && now-e.suspectedAt < e.options.LinkedQueryDelay {
		return nil
	}
	first := e.queryAt == e.suspectedAt
	pause := e.options.QueryInterval
	if e.rank < 0 {
		pause = min(pause+time.Duration(e.instanceCount)*e.options.QueryIntervalPerInstance, e.options.MaxQueryInterval)
	}
	e.queryAt = now + time.Duration((0.5+e.rand())*float64(pause))
	var ask []string
	for range e.candidates {
		c := e.candidates[e.nextCandidate%len(e.candidates)]
		e.nextCandidate++
		if c.ID != e.self.ID {
			ask = append(ask, c.Address)
		}
		if len(ask) == 1 && !first {
			break
		}
	}
	return ask
}

// RankCandidates returns the leader and the candidates for the instances that it knows, in
// the order in which they take over: stronger ones first, and equals in an order
// that mixes availability zones.
func RankCandidates(leader rangelease.Leader, known []rangelease.Leader) []rangelease.Leader {
	known = slices.DeleteFunc(slices.Clone(known), func(c rangelease.Leader) bool { return c.ID == leader.ID })
	slices.SortFunc(known, func(a, b rangelease.Leader) int {
		return cmp.Or(cmp.Compare(b.Strength, a.Strength), cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)))
	})
	return append([]rangelease.Leader{leader}, known[:min(len(known), MaxCandidates)]...)
}
