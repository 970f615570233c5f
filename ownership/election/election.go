// Package election decides when an instance becomes the leader, which instances it asks for
// the current leader, and when it may call the store instead. It is deterministic and has
// no clock, no goroutines and no network; an Elector is used by one goroutine.
//
// A leader names its candidates to all instances: a few of the strongest instances, in an
// order that is the same everywhere. Only candidates watch the ownership record while the
// leader is suspected, so the number of calls to the store does not grow with the number
// of instances. All others send leader queries to the candidates. The record names the
// candidates too, so a single read tells an instance that starts which leader to follow
// and whether it has to take over itself. An instance that finds neither a leader nor a
// candidate for a long time makes itself a candidate (it nominates itself), at a rate that
// is bounded for all instances together.
//
// The strength of an instance, rangelease.InstanceInfo.Strength, tells how well it can lead;
// 1 stands for one core. A link is the connection of an instance to its leader. A leader is
// silent if no state update of it has arrived for Options.LeaderTimeout.
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

// MaxCandidates is the maximum number of candidates besides the leader. While the leader is
// suspected, each candidate watches three kinds of objects in the store; together they make
// fewer than 16 calls per second.
const MaxCandidates = 6

// MinRelativeStrength is the fraction of a leader's strength that another instance must have
// at least to be a suitable leader too.
const MinRelativeStrength = 0.7

// watchRankSteps times Options.RankDelay is the additional delay per rank after which a
// candidate starts to watch configuration and targets. Usually one of the first candidates
// takes over before the next one starts to watch.
const watchRankSteps = 3

// Options holds the durations, rates and fractions of an Elector.
type Options struct {
	// LeaderTimeout is the time since the last state update of the leader up to which it
	// counts as alive.
	LeaderTimeout time.Duration
	// LeaderStoreTimeout is the time since the store last answered the leader after which
	// another instance may take over.
	LeaderStoreTimeout time.Duration
	// RefusedTakeoverDelay is the takeover delay if View.LeaderRefused is true but the
	// leader's process is not presumed to have ended. Meanwhile its instance may learn that it
	// does lead, or may reach the store again.
	RefusedTakeoverDelay time.Duration
	// SilentTakeoverDelay is the time between the start of the suspicion of a silent leader
	// and the takeover by the first candidate.
	SilentTakeoverDelay time.Duration
	// RankDelay is the additional takeover delay of a candidate for each candidate that is
	// expected to take over before it. The others notice a takeover within a tenth of a
	// second, so the next candidate does not take over too.
	RankDelay time.Duration
	// WeakTakeoverDelay is the additional takeover delay of an instance with less than
	// MinRelativeStrength of the leader's strength, so that a stronger one can take over first.
	WeakTakeoverDelay time.Duration
	// WeakBootstrapDelay is the additional delay of an instance of strength 0 before it leads
	// a deployment that starts for the first time. It decreases linearly to 0 at strength 1.
	WeakBootstrapDelay time.Duration
	// RestoredRecordDelay is the additional takeover delay while the store has a record from an
	// older copy, unless the leader is known not to lead any more. A leader that reaches the store
	// replaces that record within one retry of its calls. Only the leader knows who holds the keys.
	RestoredRecordDelay time.Duration
	// ReplacedBackoff is the time for which an instance that lost the leadership does not
	// take it back, so that two instances that do not reach each other do not alternate. It
	// does not apply if the new leader's address refuses connections or the new leader says
	// that it does not lead.
	ReplacedBackoff time.Duration
	// IsolatedTakeoverDelay is the takeover delay of a candidate that reaches the store but
	// no other instance: it is more likely to be cut off than to be the only one left.
	IsolatedTakeoverDelay time.Duration
	// PeerReportTTL is the time for which a takeover is prevented after the leader was last
	// heard by another instance, according to the report of that instance.
	PeerReportTTL time.Duration
	// CandidateWatchDelay and WatchDelay are the times since a healthy leader last confirmed the
	// configuration after which candidates and other instances, respectively, watch
	// configuration and targets in the store themselves; WatchDelay also holds while the leader
	// is healthy. It leaves time for a new leader to take over, and for one poll before changes
	// must be active.
	CandidateWatchDelay, WatchDelay time.Duration
	// RecordReadInterval is the minimum time between two reads of the record by an instance
	// that starts. Such a read may return a state that is several seconds old.
	RecordReadInterval time.Duration
	// BootstrapFraction is the fraction of all instances that may immediately lead a
	// deployment that starts for the first time; it doubles after each BootstrapDoubling. So
	// only a few try to lead, whatever the number of instances, which is not known yet.
	BootstrapFraction float64
	BootstrapDoubling time.Duration
	// Jitter is the time over which instances that are not candidates randomly spread the
	// start of their watches and their nomination of themselves.
	Jitter time.Duration
	// StoreRecoveryGrace is the time for which a candidate that reaches the store again
	// waits for the leader to report that it does too.
	StoreRecoveryGrace time.Duration
	// QueryInterval is the mean time between two leader queries of a candidate. Other
	// instances add QueryIntervalPerInstance for each instance, up to MaxQueryInterval in
	// total.
	QueryInterval, QueryIntervalPerInstance, MaxQueryInterval time.Duration
	// LinkTimeout is the time within which an instance must get the first state update from
	// a leader that it has begun to follow.
	LinkTimeout time.Duration
	// LinkedQueryDelay is the delay of the first leader query while the instance still gets
	// state updates from a leader that cannot reach the store.
	LinkedQueryDelay time.Duration
	// SelfNominationDelay is the duration of the suspicion after which instances nominate
	// themselves as candidates. They do so at random times, so that the mean rate is
	// SelfNominationsPerSecond for all instances together.
	SelfNominationDelay      time.Duration
	SelfNominationsPerSecond float64
	// UnopposedNominationsPerSecond replaces SelfNominationsPerSecond if the leader and all
	// candidates refuse connections. Then SelfNominationDelay does not apply, because nobody
	// else will take over and all instances may have just started.
	UnopposedNominationsPerSecond float64
	// RefusalTTL is the time for which a refused connection counts as proof that nothing
	// listens at the address.
	RefusalTTL time.Duration
}

// DefaultOptions holds the defaults.
var DefaultOptions = Options{
	LeaderTimeout:                 1200 * time.Millisecond, // three heartbeats may be late
	LeaderStoreTimeout:            3 * time.Second,         // longer than a long poll of the leader takes
	RefusedTakeoverDelay:          250 * time.Millisecond,
	SilentTakeoverDelay:           400 * time.Millisecond,
	RankDelay:                     100 * time.Millisecond,
	WeakTakeoverDelay:             600 * time.Millisecond,
	WeakBootstrapDelay:            300 * time.Millisecond,
	RestoredRecordDelay:           700 * time.Millisecond, // two retries
	ReplacedBackoff:               3 * time.Second,
	IsolatedTakeoverDelay:         4 * time.Second,
	PeerReportTTL:                 time.Second,
	CandidateWatchDelay:           1400 * time.Millisecond,
	WatchDelay:                    1400 * time.Millisecond,
	Jitter:                        300 * time.Millisecond,
	QueryInterval:                 150 * time.Millisecond,
	QueryIntervalPerInstance:      250 * time.Microsecond,
	MaxQueryInterval:              300 * time.Millisecond,
	StoreRecoveryGrace:            400 * time.Millisecond,
	LinkTimeout:                   400 * time.Millisecond, // enough for one connection attempt
	LinkedQueryDelay:              time.Second,
	SelfNominationDelay:           3 * time.Second,
	SelfNominationsPerSecond:      8,
	UnopposedNominationsPerSecond: 256,
	RefusalTTL:                    3 * time.Second,
	RecordReadInterval:            1100 * time.Millisecond,
	BootstrapFraction:             1.0 / 64,
	BootstrapDoubling:             450 * time.Millisecond,
}

// View is what an instance knows about the leader and the store.
type View struct {
	// Leader is the leader named by the newest record or message. Its ID is empty if none
	// is known.
	Leader rangelease.InstanceInfo
	// LeaderHeardAt is the time at which the leader was last heard, or 0 if it never was.
	LeaderHeardAt lease.Instant
	// ConfigConfirmedAt is the latest time as of which this instance knows, through the leader,
	// that its configuration was the newest; 0 if it never did.
	ConfigConfirmedAt lease.Instant
	// LeaderStoreAnswerAt is the time of the store's last known answer to the leader.
	LeaderStoreAnswerAt lease.Instant
	// LeaderRefused is true if the leader's address refuses connections or its instance
	// says that it does not lead.
	LeaderRefused bool
	// LeaderPresumedEnded is true if the leader's process has probably ended: its address refuses
	// connections, or a later process answers there. A partition may refuse connections too; then
	// the leader goes on until it learns of its successor.
	LeaderPresumedEnded bool
	// LeaderStoreUnreachable is true if the store does not answer the leader.
	LeaderStoreUnreachable bool
	// RecordKnown is true if the record was read or is known not to exist.
	RecordKnown bool
	// RecordRestored is true if the record is from an older copy from which the store was restored.
	RecordRestored bool
	// StoreReachable is true if the store has recently answered this instance.
	StoreReachable bool
}

// Decision is what an instance has to do.
type Decision struct {
	// LeaderHealthy is true if the leader is alive and reaches the store. WatchConfig may be set
	// too, if it has not confirmed the configuration for too long.
	LeaderHealthy bool
	// SuspicionStarted is true if the suspicion of the leader starts with this decision.
	SuspicionStarted bool
	// WatchRecord and WatchConfig request that the ownership record, or configuration and
	// targets, are watched in the store.
	WatchRecord, WatchConfig bool
	// TakeOver requests that this instance takes over the leadership.
	TakeOver bool
	// QueryAddresses lists the addresses of instances to which a leader query has to be sent.
	QueryAddresses []string
	// ReadRecord requests a single read of the record, to learn the leader and the
	// candidates. The result may be several seconds old.
	ReadRecord bool
}

// Elector holds the election state of one instance. It is not safe for concurrent use.
type Elector struct {
	options Options
	self    rangelease.InstanceInfo
	// rand returns a number in [0, 1).
	rand func() float64

	instanceCount int
	candidates    []rangelease.InstanceInfo
	rank          int           // index among the candidates, -1 if this instance is not one
	bootstrapAt   lease.Instant // time from which this instance acts as a candidate if it knows none
	readRecordAt  lease.Instant // when this instance may read the record next
	// refusedAt holds the time of the last refused connection by address.
	refusedAt map[string]lease.Instant

	configConfirmedAt     lease.Instant // as of when a healthy leader last confirmed the configuration, or the start
	linkDeadline          lease.Instant // time by which a newly followed leader must have been heard
	suspectedAt           lease.Instant // start of the suspicion of the leader, 0 if there is none
	selfNominationAt      lease.Instant // when this instance nominates itself as a candidate
	unopposedNominationAt lease.Instant // the same if the leader and all candidates refuse connections
	selfNominated         bool          // whether this instance has nominated itself during the suspicion
	jitter                time.Duration // random time up to Options.Jitter, drawn for each suspicion
	queryAt               lease.Instant // when the next leader query is due
	nextCandidate         int           // index of the candidate to query next, modulo their number
	storeReachableSince   lease.Instant // since when the store has answered this instance, 0 if it does not
	peerSeenAt            lease.Instant // when another instance last answered or refused a connection
	leaderSeenByPeerAt    lease.Instant // when another instance last heard the leader, by its own report
	replacedAt            lease.Instant // when this instance last lost the leadership, 0 if never
}

// New returns the elector of an instance that starts at the time now. The function rand
// returns random numbers in [0, 1).
func New(options Options, now lease.Instant, self rangelease.InstanceInfo, rand func() float64) *Elector {
	e := &Elector{options: options, self: self, rand: rand, rank: -1, configConfirmedAt: now, readRecordAt: now, refusedAt: map[string]lease.Instant{}}
	// Until the first suspicion, the jitter follows from the ID.
	e.jitter = time.Duration(float64(xxhash.Sum64String(self.ID)) / math.MaxUint64 * float64(options.Jitter))
	// The fraction of the instances with bootstrapAt up to a time t after the start is
	// BootstrapFraction·2^(t/BootstrapDoubling). A random fraction is mapped to its time by
	// the inverse of that function.
	doublings := math.Log2(max(rand()/options.BootstrapFraction, 1))
	weakness := 1 - min(self.Strength, 1)
	e.bootstrapAt = now + time.Duration(doublings*float64(options.BootstrapDoubling)+weakness*float64(options.WeakBootstrapDelay))
	return e
}

// SetInstanceCount sets the number of instances in the deployment.
func (e *Elector) SetInstanceCount(n int) { e.instanceCount = n }

// SetCandidates sets the candidates in the order of their rank. An empty list is ignored.
func (e *Elector) SetCandidates(list []rangelease.InstanceInfo) {
	if len(list) == 0 {
		return
	}
	e.candidates = list
	e.rank = slices.IndexFunc(list, func(c rangelease.InstanceInfo) bool { return c.ID == e.self.ID })
}

// Candidates returns the candidates in the order of their rank.
func (e *Elector) Candidates() []rangelease.InstanceInfo { return e.candidates }

// ClearSuspicion ends the suspicion. It is called after a takeover has succeeded or failed.
func (e *Elector) ClearSuspicion() { e.suspectedAt = 0 }

// ReportLeaderChange reports that this instance follows another leader from now on.
func (e *Elector) ReportLeaderChange(now lease.Instant) {
	e.suspectedAt, e.linkDeadline = 0, now+e.options.LinkTimeout
}

// ReportReplaced reports that this instance has lost the leadership.
func (e *Elector) ReportReplaced(now lease.Instant) { e.suspectedAt, e.replacedAt = 0, now }

// ReportPeerSeen reports that another instance has answered or has refused a connection.
func (e *Elector) ReportPeerSeen(now lease.Instant) { e.peerSeenAt = now }

// ReportPeerRefused reports that an address refuses connections.
func (e *Elector) ReportPeerRefused(now lease.Instant, address string) {
	e.peerSeenAt, e.refusedAt[address] = now, now
}

// ReportLeaderSeenByPeer reports that another instance heard the leader known to this one,
// the given time ago.
func (e *Elector) ReportLeaderSeenByPeer(now lease.Instant, age time.Duration) {
	e.peerSeenAt, e.leaderSeenByPeerAt = now, max(e.leaderSeenByPeerAt, now-age)
}

// SuspectsLeader reports whether this instance suspects the leader.
func (e *Elector) SuspectsLeader() bool { return e.suspectedAt > 0 }

// Tick decides what this instance has to do now. It is called only while the instance does not
// lead.
func (e *Elector) Tick(now lease.Instant, v View) Decision {
	leaderAlive := v.LeaderHeardAt > 0 && now-v.LeaderHeardAt < e.options.LeaderTimeout
	if leaderAlive && now-v.LeaderStoreAnswerAt < e.options.LeaderStoreTimeout && !v.LeaderStoreUnreachable {
		e.suspectedAt, e.selfNominated = 0, false
		e.configConfirmedAt = max(e.configConfirmedAt, v.ConfigConfirmedAt)
		return Decision{LeaderHealthy: true, WatchConfig: e.isConfigOverdue(now)}
	}
	if now < e.linkDeadline && v.LeaderHeardAt == 0 && !v.LeaderRefused && e.suspectedAt == 0 && v.Leader.ID != e.self.ID {
		return Decision{WatchConfig: e.isConfigOverdue(now)} // wait for the first state update from a newly followed leader
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
	d.QueryAddresses = e.nextQueries(now, leaderAlive)
	if !e.updateCandidacy(now, leaderAlive, v) {
		// Instances that are not candidates watch the store only if the leader is silent. A
		// live leader that cannot reach the store is replaced by a candidate that does; if
		// no candidate does, the store is down for all instances.
		d.WatchConfig = !leaderAlive && e.isConfigOverdue(now)
		return d
	}
	d.WatchRecord = true
	rankDelay := time.Duration(max(e.rank, 0)) * watchRankSteps * e.options.RankDelay
	if v.LeaderStoreUnreachable {
		d.WatchConfig = e.storeReachableSince > 0 && now-e.storeReachableSince > e.options.StoreRecoveryGrace+rankDelay
	} else {
		d.WatchConfig = now-e.configConfirmedAt > e.options.CandidateWatchDelay+rankDelay || e.isConfigOverdue(now)
	}
	d.TakeOver = e.canTakeOver(now, v)
	return d
}

// isConfigOverdue reports whether the leader has not confirmed the configuration for so long that
// this instance has to watch it itself.
func (e *Elector) isConfigOverdue(now lease.Instant) bool {
	return now-e.configConfirmedAt > e.options.WatchDelay+e.jitter
}

// shouldReadRecord reports whether an instance that knows no candidates has to read the
// record now.
func (e *Elector) shouldReadRecord(now lease.Instant) bool {
	if len(e.candidates) > 0 || now < e.readRecordAt {
		return false
	}
	e.readRecordAt = now + time.Duration((1+e.rand()/4)*float64(e.options.RecordReadInterval))
	return true
}

func (e *Elector) startSuspicion(now lease.Instant) {
	e.suspectedAt, e.queryAt, e.storeReachableSince, e.selfNominated = now, now, 0, false
	e.jitter = time.Duration(e.rand() * float64(e.options.Jitter))
	randomDelay := func(perSecond float64) time.Duration {
		return time.Duration(e.rand() * float64(e.instanceCount) / perSecond * float64(time.Second))
	}
	e.selfNominationAt = now + e.options.SelfNominationDelay + e.jitter + randomDelay(e.options.SelfNominationsPerSecond)
	e.unopposedNominationAt = now + randomDelay(e.options.UnopposedNominationsPerSecond)
	if e.rank < 0 {
		e.nextCandidate = int(e.rand() * float64(len(e.candidates)))
	}
}

// updateCandidacy reports whether this instance acts as a candidate. An instance that knows
// no candidates acts as one from bootstrapAt on. One that is not in the list of candidates
// nominates itself at selfNominationAt, or at unopposedNominationAt if no candidate is expected
// to take over, and remains a candidate until the suspicion ends.
func (e *Elector) updateCandidacy(now lease.Instant, leaderAlive bool, v View) bool {
	switch {
	case e.rank >= 0, e.selfNominated, len(e.candidates) == 0 && now >= e.bootstrapAt:
		return true
	case leaderAlive:
		return false
	}
	e.selfNominated = now >= e.selfNominationAt || now >= e.unopposedNominationAt && len(e.candidates) > 0 && e.candidatesAhead(now, v) == 0
	return e.selfNominated
}

// candidatesAhead returns the number of candidates that are expected to take over before this
// instance: those before it in the list or, if it is not in the list, all. Those that refuse
// connections do not count, nor does a leader whose process has probably ended.
func (e *Elector) candidatesAhead(now lease.Instant, v View) int {
	n := 0
	for i, c := range e.candidates {
		if i == e.rank {
			break
		}
		lastRefusedAt, refused := e.refusedAt[c.Address]
		if c.ID == v.Leader.ID && !v.LeaderPresumedEnded || c.ID != v.Leader.ID && (!refused || now-lastRefusedAt > e.options.RefusalTTL) {
			n++
		}
	}
	return n
}

// canTakeOver reports whether a candidate may take over now. The takeover delay must have
// passed since the start of the suspicion and, while the leader cannot reach the store, also
// since the store has answered this instance again.
func (e *Elector) canTakeOver(now lease.Instant, v View) bool {
	switch {
	case !v.RecordKnown || !v.StoreReachable:
		return false
	case v.LeaderStoreUnreachable && now < e.storeReachableSince+e.takeoverDelay(now, v), now < e.suspectedAt+e.takeoverDelay(now, v):
		return false
	case e.replacedAt > 0 && now-e.replacedAt < e.options.ReplacedBackoff && !v.LeaderRefused:
		return false
	case e.leaderSeenByPeerAt > 0 && now-e.leaderSeenByPeerAt < e.options.PeerReportTTL && !v.LeaderStoreUnreachable:
		return false
	case e.isIsolated(v):
		return now >= e.suspectedAt+e.options.IsolatedTakeoverDelay
	}
	return true
}

// takeoverDelay returns the minimum time between the start of the suspicion and the takeover.
// It is 0 if no leader is known or this instance is named as the leader.
func (e *Elector) takeoverDelay(now lease.Instant, v View) time.Duration {
	if v.Leader.ID == "" || v.Leader.ID == e.self.ID {
		return 0
	}
	delay := e.options.SilentTakeoverDelay
	switch {
	case v.LeaderPresumedEnded:
		delay = 0
	case v.LeaderRefused:
		delay = e.options.RefusedTakeoverDelay
	case v.LeaderStoreUnreachable:
		delay = e.options.StoreRecoveryGrace
	}
	if v.RecordRestored && !v.LeaderPresumedEnded && !v.LeaderRefused {
		delay += e.options.RestoredRecordDelay
	}
	if e.rank >= 0 {
		delay += time.Duration(e.candidatesAhead(now, v)) * e.options.RankDelay
	}
	if e.self.Strength < MinRelativeStrength*v.Leader.Strength {
		delay += e.options.WeakTakeoverDelay
	}
	return delay
}

// isIsolated reports whether this instance is probably cut off from the others: it knows
// other candidates but has seen no other instance since the suspicion started, and it knows
// neither that the leader refuses connections nor that the leader cannot reach the store.
func (e *Elector) isIsolated(v View) bool {
	others := 0
	for _, c := range e.candidates {
		if c.ID != e.self.ID && c.ID != v.Leader.ID {
			others++
		}
	}
	return others > 0 && e.peerSeenAt < e.suspectedAt && !v.LeaderRefused && !v.LeaderStoreUnreachable
}

// nextQueries returns the addresses to which leader queries are due now: those of all
// candidates when the suspicion starts, then one at a time in turn.
func (e *Elector) nextQueries(now lease.Instant, leaderAlive bool) []string {
	if now < e.queryAt || leaderAlive && now-e.suspectedAt < e.options.LinkedQueryDelay {
		return nil
	}
	firstQuery := e.queryAt == e.suspectedAt
	interval := e.options.QueryInterval
	if e.rank < 0 {
		interval = min(interval+time.Duration(e.instanceCount)*e.options.QueryIntervalPerInstance, e.options.MaxQueryInterval)
	}
	e.queryAt = now + time.Duration((0.5+e.rand())*float64(interval))
	var addresses []string
	for range e.candidates {
		c := e.candidates[e.nextCandidate%len(e.candidates)]
		e.nextCandidate++
		if c.ID != e.self.ID {
			addresses = append(addresses, c.Address)
		}
		if len(addresses) == 1 && !firstQuery {
			break
		}
	}
	return addresses
}

// RankCandidates returns the leader followed by at most MaxCandidates of the given instances,
// in the order in which they take over: stronger instances first, and equally strong ones by a
// hash of their IDs, which mixes availability zones.
func RankCandidates(leader rangelease.InstanceInfo, instances []rangelease.InstanceInfo) []rangelease.InstanceInfo {
	instances = slices.DeleteFunc(slices.Clone(instances), func(c rangelease.InstanceInfo) bool { return c.ID == leader.ID })
	slices.SortFunc(instances, func(a, b rangelease.InstanceInfo) int {
		return cmp.Or(cmp.Compare(b.Strength, a.Strength), cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)))
	})
	return append([]rangelease.InstanceInfo{leader}, instances[:min(len(instances), MaxCandidates)]...)
}
