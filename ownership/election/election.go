// Package election decides when an instance becomes the leader, which instances it asks
// for the current leader, and when it may call the store instead. It is deterministic and
// has no clock, no goroutines and no network; an Elector is used by one goroutine.
//
// A leader tells all instances its candidates: the few strongest instances, in an order
// that is the same everywhere. Only candidates poll the ownership record while the leader
// is suspected, so the number of calls to the store does not grow with the number of
// instances. All others ask the candidates. The record names the candidates too, so a
// single read tells an instance that starts which leader to follow and whether it has to
// take over itself. An instance that finds neither a leader nor a candidate for a long
// time nominates itself, at a rate that is bounded for all instances together.
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

// Candidates is the maximum number of candidates besides the leader. While the leader is
// suspected, each candidate polls three kinds of objects in the store; together they make
// fewer than 16 calls per second.
const Candidates = 6

// StrongEnough is the fraction of a leader's strength from which another instance is a
// suitable leader too.
const StrongEnough = 0.7

// followSteps times RankStep is the time by which each candidate starts to poll
// configuration and targets later than the one before it. Usually one of the first
// candidates takes over before the next one starts.
const followSteps = 3

// Options holds the durations, rates and fractions of an Elector.
type Options struct {
	// NewsFresh is the time since the last message of the leader up to which it counts as
	// alive.
	NewsFresh time.Duration
	// StoreStale is the age of the store's last answer to the leader from which another
	// instance may take over.
	StoreStale time.Duration
	// RefusedPatience is the take-over delay after the leader's address has refused a
	// connection or its instance has said that it does not lead. Meanwhile that instance
	// may learn that it does lead, or may reach the store again.
	RefusedPatience time.Duration
	// SilentPatience is the time between the start of the suspicion of a silent leader and
	// the take-over by the first candidate.
	SilentPatience time.Duration
	// RankStep is the time by which each candidate waits longer than the one before it.
	// The others notice a take-over within a tenth of a second.
	RankStep time.Duration
	// WeakPatience is the additional delay of an instance that is much weaker than the
	// leader was, so that a stronger one can take over first.
	WeakPatience time.Duration
	// FirstPatience is the time by which the weakest instance waits longer than one with a
	// whole core before it leads a deployment that starts for the first time.
	FirstPatience time.Duration
	// DeposedPatience is the time for which an instance that lost the leadership does not
	// take it back, so that two instances that do not hear each other do not alternate.
	DeposedPatience time.Duration
	// IsolatedPatience is the delay of a candidate that reaches the store but no other
	// candidate: it is more likely to be cut off than to be the only one left.
	IsolatedPatience time.Duration
	// VouchedFor is the time for which a report of another instance that it hears the
	// leader prevents a take-over.
	VouchedFor time.Duration
	// CandidateFollow and FollowAfter are the times since the leader was last heard after
	// which candidates and other instances poll configuration and targets in the store
	// themselves. FollowAfter leaves time for a new leader, and for one poll within the
	// limit by which changes must be in force.
	CandidateFollow, FollowAfter time.Duration
	// LookPause is the minimum time between two reads of the record by an instance that
	// starts. Such a read may return a state that is several seconds old.
	LookPause time.Duration
	// FirstShare is the fraction of all instances that may immediately lead a deployment
	// that starts for the first time; it doubles with each FirstDoubling. So only a few
	// try to lead, whatever the number of instances, which nobody knows yet.
	FirstShare    float64
	FirstDoubling time.Duration
	// Spread is the time over which instances without a rank spread their actions at
	// random.
	Spread time.Duration
	// ReturnTime is the time within which a leader that reaches the store again as well
	// has said so.
	ReturnTime time.Duration
	// AskPause is the mean time between two queries of a candidate. Other instances add
	// AskPausePerInstance for each instance, up to LongestAskPause in total.
	AskPause, AskPausePerInstance, LongestAskPause time.Duration
	// LinkTime is the time within which an instance hears from a leader that it has begun
	// to follow.
	LinkTime time.Duration
	// LinkedPatience is the time after which an instance asks for another leader while it
	// still hears one that has lost the store.
	LinkedPatience time.Duration
	// SelfAfter is the duration of the suspicion after which an instance nominates itself
	// as a candidate, spread at random so that SelfPerSecond instances per second do.
	SelfAfter     time.Duration
	SelfPerSecond float64
	// OnlyPerSecond is the same rate if the leader and all candidates refuse connections:
	// nobody else will take over, and all instances may have just started.
	OnlyPerSecond float64
	// RefusalLife is the time for which a refused connection counts as proof that nothing
	// listens at the address.
	RefusalLife time.Duration
}

// DefaultOptions holds the defaults.
var DefaultOptions = Options{
	NewsFresh:           1200 * time.Millisecond, // three heartbeats may be late
	StoreStale:          3 * time.Second,         // longer than a long poll of the leader takes
	RefusedPatience:     250 * time.Millisecond,
	SilentPatience:      400 * time.Millisecond,
	RankStep:            100 * time.Millisecond,
	WeakPatience:        600 * time.Millisecond,
	FirstPatience:       300 * time.Millisecond,
	DeposedPatience:     3 * time.Second,
	IsolatedPatience:    4 * time.Second,
	VouchedFor:          time.Second,
	CandidateFollow:     1400 * time.Millisecond,
	FollowAfter:         1400 * time.Millisecond,
	Spread:              300 * time.Millisecond,
	AskPause:            150 * time.Millisecond,
	AskPausePerInstance: 250 * time.Microsecond,
	LongestAskPause:     300 * time.Millisecond,
	ReturnTime:          400 * time.Millisecond,
	LinkTime:            400 * time.Millisecond, // one connection attempt
	LinkedPatience:      time.Second,
	SelfAfter:           3 * time.Second,
	SelfPerSecond:       8,
	OnlyPerSecond:       256,
	RefusalLife:         3 * time.Second,
	LookPause:           1100 * time.Millisecond,
	FirstShare:          1.0 / 64,
	FirstDoubling:       450 * time.Millisecond,
}

// View is what an instance knows about the leader and the store.
type View struct {
	// Leader is the leader named by the newest record or message. Its ID is empty if none
	// is known.
	Leader rangelease.Leader
	// NewsAt is the time at which the leader was last heard, or 0 if it never was.
	NewsAt lease.Instant
	// LeaderStoreAt is the time of the store's last known answer to the leader.
	LeaderStoreAt lease.Instant
	// Refused is true if the leader's address refuses connections or its instance says
	// that it does not lead.
	Refused bool
	// Ended is true if the leader's process has ended: its address refuses connections, or
	// a later process answers there.
	Ended bool
	// LeaderLost is true if the store does not answer the leader.
	LeaderLost bool
	// RecordKnown is true if the record was read or is known not to exist.
	RecordKnown bool
	// ReachesStore is true if the store has recently answered this instance.
	ReachesStore bool
}

// Decision is what an instance has to do.
type Decision struct {
	// Healthy is true if the leader is alive and reaches the store.
	Healthy bool
	// Doubted is true if the suspicion of the leader starts with this decision.
	Doubted bool
	// FollowRecord and FollowChanges request polls of the store: of the ownership record,
	// and of configuration and targets.
	FollowRecord, FollowChanges bool
	// TakeOver requests that this instance takes over the leadership.
	TakeOver bool
	// Ask lists the addresses of instances to be asked for the current leader.
	Ask []string
	// Look requests a single read of the record, to learn the leader and the candidates.
	// The result may be several seconds old.
	Look bool
}

// Elector holds the election state of one instance. It is not safe for concurrent use.
type Elector struct {
	o    Options
	self rangelease.Leader
	// rand returns a number in [0, 1).
	rand func() float64

	instances  int
	candidates []rangelease.Leader
	rank       int           // index among the candidates, -1 if this instance is not one
	firstAt    lease.Instant // when this instance may lead a deployment without a record
	lookAt     lease.Instant // when it may read the record next
	// refusedAt holds the time of the last refused connection by address.
	refusedAt map[string]lease.Instant

	heardAt   lease.Instant // when a healthy leader was last heard, or the start
	linkedBy  lease.Instant // when a newly followed leader must have been heard
	doubtAt   lease.Instant // start of the suspicion of the leader, 0 if there is none
	selfAt    lease.Instant // when this instance nominates itself as a candidate
	onlyAt    lease.Instant // the same if the leader and all candidates refuse connections
	nominated bool
	spread    time.Duration
	askAt     lease.Instant
	turn      int
	reachedAt lease.Instant // since when the store has answered this instance, 0 if it does not
	peerAt    lease.Instant // when another instance last answered or refused a connection
	vouchedAt lease.Instant // when another instance last heard the leader, by its own report
	deposedAt lease.Instant
}

// New returns the elector of an instance that starts at the time now. The function rand
// returns random numbers in [0, 1).
func New(o Options, now lease.Instant, self rangelease.Leader, rand func() float64) *Elector {
	e := &Elector{o: o, self: self, rand: rand, rank: -1, heardAt: now, lookAt: now, refusedAt: map[string]lease.Instant{}}
	// The inverse of a fraction that grows with FirstShare and FirstDoubling.
	doublings := math.Log2(max(rand()/o.FirstShare, 1))
	weakness := 1 - min(self.Strength, 1)
	e.firstAt = now + time.Duration(doublings*float64(o.FirstDoubling)+weakness*float64(o.FirstPatience))
	return e
}

// SetInstances sets the number of instances in the deployment.
func (e *Elector) SetInstances(n int) { e.instances = n }

// SetCandidates sets the candidates in the order of their rank. An empty list is ignored.
func (e *Elector) SetCandidates(list []rangelease.Leader) {
	if len(list) == 0 {
		return
	}
	e.candidates = list
	e.rank = slices.IndexFunc(list, func(c rangelease.Leader) bool { return c.ID == e.self.ID })
}

// Candidates returns the candidates in the order of their rank.
func (e *Elector) Candidates() []rangelease.Leader { return e.candidates }

// Restart ends the suspicion, because a take-over succeeded or failed.
func (e *Elector) Restart() { e.doubtAt = 0 }

// Followed reports that this instance follows another leader from now on.
func (e *Elector) Followed(now lease.Instant) { e.doubtAt, e.linkedBy = 0, now+e.o.LinkTime }

// Deposed reports that this instance has lost the leadership.
func (e *Elector) Deposed(now lease.Instant) { e.doubtAt, e.deposedAt = 0, now }

// PeerSeen reports that another instance has answered or has refused a connection.
func (e *Elector) PeerSeen(now lease.Instant) { e.peerAt = now }

// PeerRefused reports that an address refuses connections.
func (e *Elector) PeerRefused(now lease.Instant, address string) {
	e.peerAt, e.refusedAt[address] = now, now
}

// Vouched reports that another instance heard the leader known to this one, at the given
// age.
func (e *Elector) Vouched(now lease.Instant, age time.Duration) {
	e.peerAt, e.vouchedAt = now, max(e.vouchedAt, now-age)
}

// Doubts reports whether the leader is suspected.
func (e *Elector) Doubts() bool { return e.doubtAt > 0 }

// Tick decides what an instance that does not lead has to do.
func (e *Elector) Tick(now lease.Instant, v View) Decision {
	fresh := v.NewsAt > 0 && now-v.NewsAt < e.o.NewsFresh
	if fresh && now-v.LeaderStoreAt < e.o.StoreStale && !v.LeaderLost {
		e.doubtAt, e.heardAt, e.nominated = 0, v.NewsAt, false
		return Decision{Healthy: true}
	}
	if now < e.linkedBy && v.NewsAt == 0 && !v.Refused && e.doubtAt == 0 && v.Leader.ID != e.self.ID {
		return Decision{}
	}
	d := Decision{Look: e.look(now)}
	if e.doubtAt == 0 {
		e.begin(now)
		d.Doubted = true
	}
	switch {
	case !v.ReachesStore:
		e.reachedAt = 0
	case e.reachedAt == 0:
		e.reachedAt = now
	}
	d.Ask = e.next(now, fresh)
	if !e.mayLead(now, fresh, v) {
		// A leader that has lost the store is replaced by a candidate that reaches it. If
		// no candidate does, the store is down for all instances.
		d.FollowChanges = !fresh && now-e.heardAt > e.o.FollowAfter+e.spread
		return d
	}
	d.FollowRecord = true
	turn := time.Duration(max(e.rank, 0)) * followSteps * e.o.RankStep
	if v.LeaderLost {
		d.FollowChanges = e.reachedAt > 0 && now-e.reachedAt > e.o.ReturnTime+turn
	} else {
		d.FollowChanges = now-e.heardAt > e.o.CandidateFollow+turn
	}
	d.TakeOver = e.mayTakeOver(now, v)
	return d
}

// look reports whether an instance that knows no candidates has to read the record now.
func (e *Elector) look(now lease.Instant) bool {
	if len(e.candidates) > 0 || now < e.lookAt {
		return false
	}
	e.lookAt = now + time.Duration((1+e.rand()/4)*float64(e.o.LookPause))
	return true
}

func (e *Elector) begin(now lease.Instant) {
	e.doubtAt, e.askAt, e.reachedAt, e.nominated = now, now, 0, false
	e.spread = time.Duration(e.rand() * float64(e.o.Spread))
	draw := func(perSecond float64) time.Duration {
		return time.Duration(e.rand() * float64(e.instances) / perSecond * float64(time.Second))
	}
	e.selfAt = now + e.o.SelfAfter + e.spread + draw(e.o.SelfPerSecond)
	e.onlyAt = now + draw(e.o.OnlyPerSecond)
	if e.rank < 0 {
		e.turn = int(e.rand() * float64(len(e.candidates)))
	}
}

// mayLead reports whether this instance is a candidate, and nominates it when its time has
// come.
func (e *Elector) mayLead(now lease.Instant, linked bool, v View) bool {
	switch {
	case e.rank >= 0, e.nominated, len(e.candidates) == 0 && now >= e.firstAt:
		return true
	case linked:
		return false
	}
	e.nominated = now >= e.selfAt || now >= e.onlyAt && len(e.candidates) > 0 && e.before(now, v) == 0
	return e.nominated
}

// before returns the number of candidates that take over before this instance. For an
// instance that is not a candidate, these are all candidates that do not refuse
// connections.
func (e *Elector) before(now lease.Instant, v View) int {
	n := 0
	for i, c := range e.candidates {
		if i == e.rank {
			break
		}
		at, refused := e.refusedAt[c.Address]
		if c.ID == v.Leader.ID && !v.Ended || c.ID != v.Leader.ID && (!refused || now-at > e.o.RefusalLife) {
			n++
		}
	}
	return n
}

func (e *Elector) mayTakeOver(now lease.Instant, v View) bool {
	switch {
	case !v.RecordKnown || !v.ReachesStore:
		return false
	case v.LeaderLost && now < e.reachedAt+e.patience(now, v), now < e.doubtAt+e.patience(now, v):
		return false
	case e.deposedAt > 0 && now-e.deposedAt < e.o.DeposedPatience && !v.Refused:
		return false
	case e.vouchedAt > 0 && now-e.vouchedAt < e.o.VouchedFor && !v.LeaderLost:
		return false
	case e.isolated(v):
		return now >= e.doubtAt+e.o.IsolatedPatience
	}
	return true
}

// patience returns the time between the start of the suspicion and the take-over.
func (e *Elector) patience(now lease.Instant, v View) time.Duration {
	if v.Leader.ID == "" || v.Leader.ID == e.self.ID {
		return 0
	}
	patience := e.o.SilentPatience
	switch {
	case v.Ended:
		patience = 0
	case v.Refused:
		patience = e.o.RefusedPatience
	case v.LeaderLost:
		patience = e.o.ReturnTime
	}
	if e.rank >= 0 {
		patience += time.Duration(e.before(now, v)) * e.o.RankStep
	}
	if e.self.Strength < StrongEnough*v.Leader.Strength {
		patience += e.o.WeakPatience
	}
	return patience
}

// isolated reports whether no other candidate has been seen since the suspicion started.
func (e *Elector) isolated(v View) bool {
	others := 0
	for _, c := range e.candidates {
		if c.ID != e.self.ID && c.ID != v.Leader.ID {
			others++
		}
	}
	return others > 0 && e.peerAt < e.doubtAt && !v.Refused && !v.LeaderLost
}

// next returns the addresses to be asked now, if any: all candidates when the suspicion
// starts, then one after another.
func (e *Elector) next(now lease.Instant, linked bool) []string {
	if now < e.askAt || linked && now-e.doubtAt < e.o.LinkedPatience {
		return nil
	}
	first := e.askAt == e.doubtAt
	pause := e.o.AskPause
	if e.rank < 0 {
		pause = min(pause+time.Duration(e.instances)*e.o.AskPausePerInstance, e.o.LongestAskPause)
	}
	e.askAt = now + time.Duration((0.5+e.rand())*float64(pause))
	var ask []string
	for range e.candidates {
		c := e.candidates[e.turn%len(e.candidates)]
		e.turn++
		if c.ID != e.self.ID {
			ask = append(ask, c.Address)
		}
		if len(ask) == 1 && !first {
			break
		}
	}
	return ask
}

// Rank returns the leader followed by its candidates from the instances that it knows, in
// the order in which they take over: stronger instances first, and equally strong ones in
// an order that mixes availability zones.
func Rank(leader rangelease.Leader, known []rangelease.Leader) []rangelease.Leader {
	known = slices.DeleteFunc(slices.Clone(known), func(c rangelease.Leader) bool { return c.ID == leader.ID })
	slices.SortFunc(known, func(a, b rangelease.Leader) int {
		return cmp.Or(cmp.Compare(b.Strength, a.Strength), cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)))
	})
	return append([]rangelease.Leader{leader}, known[:min(len(known), Candidates)]...)
}
