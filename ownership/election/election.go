// Package election decides when an instance takes the lead, whom it asks who leads,
// and when it may question the store instead. It is deterministic: no clock, no
// goroutines, no network; one goroutine uses an Elector.
//
// A leader tells all instances who its candidates are: the strongest few, in an
// order that all know. Only candidates follow the record of ownership while a
// leader is in doubt, so the calls to the store do not grow with the number of
// instances. All others ask candidates. An instance that finds neither a leader nor
// a candidate for long makes itself a candidate, at a rate that all instances keep
// together.
package election

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/ownership/rangelease"
)

// Candidates is the number of candidates besides the leader. Each follows three
// kinds of objects in the store while a leader is in doubt; together they make less
// than 16 calls a second.
const Candidates = 6

// StrongEnough is the part of a leader's strength from which another instance can
// lead as well, and the strength in cores from which an instance starts a deployment.
const StrongEnough = 0.7

// followSteps times RankStep is the time by which each candidate follows configuration
// and targets later than the one before it: mostly one of the first takes over meanwhile.
const followSteps = 3

// Options are the times of an Elector.
type Options struct {
	// NewsFresh is the age of the last news up to which the leader counts as alive.
	NewsFresh time.Duration
	// StoreStale is the age of the leader's last answer from the store from which
	// another instance may take over.
	StoreStale time.Duration
	// RefusedPatience is the time for which a leader whose address refuses connections
	// may start to listen, or may reach the store again.
	RefusedPatience time.Duration
	// SilentPatience is the time between the first doubt about a silent leader and
	// the take-over by the first candidate.
	SilentPatience time.Duration
	// RankStep is the time by which each candidate waits longer than the one before
	// it: a take-over is seen within a tenth of a second.
	RankStep time.Duration
	// WeakPatience is the time for which an instance leaves a lost lead to those that
	// are as strong as the leader was.
	WeakPatience time.Duration
	// FirstPatience is the time for which the weakest instance waits before it leads a
	// deployment that starts for the first time.
	FirstPatience time.Duration
	// DeposedPatience is the time for which an instance that lost the lead leaves it
	// to others, so that two that do not hear each other do not take turns.
	DeposedPatience time.Duration
	// IsolatedPatience is the time for which a candidate waits that reaches the store
	// but no other candidate: it is more likely cut off than alone.
	IsolatedPatience time.Duration
	// VouchedFor is the time for which the word of another instance counts that the
	// leader is alive.
	VouchedFor time.Duration
	// CandidateFollow and FollowAfter are the times since the last news after which
	// candidates and others follow configuration and targets in the store themselves.
	// FollowAfter leaves time for a new leader, and for a poll within the bound in
	// which changes must be in force.
	CandidateFollow, FollowAfter time.Duration
	// Spread is the time over which instances without an order spread what they do.
	Spread time.Duration
	// ReturnTime is the time after which a leader that also reaches the store again has
	// said so.
	ReturnTime time.Duration
	// AskPause is the mean time between two questions of a candidate. Others add
	// AskPausePerInstance for each instance, up to LongestAskPause in all.
	AskPause, AskPausePerInstance, LongestAskPause time.Duration
	// LinkTime is the time within which a leader that is followed anew is heard.
	LinkTime time.Duration
	// LinkedPatience is the time after which an instance asks for another leader while
	// it still hears the one that has lost the store.
	LinkedPatience time.Duration
	// SelfAfter is the time of doubt after which an instance makes itself a candidate,
	// spread so that SelfPerSecond instances a second do.
	SelfAfter     time.Duration
	SelfPerSecond float64
	// StartSpread is that spread while the number of instances is not known.
	StartSpread time.Duration
}

// DefaultOptions are the defaults.
var DefaultOptions = Options{
	NewsFresh:           1200 * time.Millisecond, // three heartbeats may be late
	StoreStale:          3 * time.Second,         // above the wait of a poll of the leader
	RefusedPatience:     250 * time.Millisecond,
	SilentPatience:      400 * time.Millisecond,
	RankStep:            100 * time.Millisecond,
	WeakPatience:        600 * time.Millisecond,
	FirstPatience:       800 * time.Millisecond,
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
	LinkTime:            400 * time.Millisecond, // one attempt to connect
	LinkedPatience:      time.Second,
	SelfAfter:           3 * time.Second,
	SelfPerSecond:       8,
	StartSpread:         4 * time.Second,
}

// View is what an instance sees of the leader and the store.
type View struct {
	// Leader is the one of the newest record or message; its ID is empty if there is none.
	Leader rangelease.Leader
	// NewsAt is the time of its last news, 0 if there was none.
	NewsAt lease.Instant
	// LeaderStoreAt is the time of the store's last answer to the leader, as far as known.
	LeaderStoreAt lease.Instant
	// Refused says that the leader's address refuses connections or does not lead.
	Refused bool
	// LeaderLost says that the store does not answer the leader.
	LeaderLost bool
	// RecordKnown says that the record was read, or that there is none.
	RecordKnown bool
	// ReachesStore says that the store has answered this instance lately.
	ReachesStore bool
}

// Decision is what an instance is to do.
type Decision struct {
	// Healthy says that the leader is alive and reaches the store.
	Healthy bool
	// Doubted says that the doubt begins now.
	Doubted bool
	// FollowRecord and FollowChanges say what is to be followed in the store: the
	// record of ownership; configuration and targets.
	FollowRecord, FollowChanges bool
	// TakeOver says that the lead is to be taken.
	TakeOver bool
	// Ask is the address of an instance to be asked who leads; it may be empty.
	Ask string
}

// Elector is the state of one instance.
type Elector struct {
	o    Options
	self rangelease.Leader
	// seeds are addresses of instances that a starting one can ask.
	seeds []string
	// rand returns a number from 0 to 1.
	rand func() float64

	instances  int
	candidates []rangelease.Leader
	rank       int  // among the candidates, -1 if this instance is none
	seed       bool // other instances can ask this one when they start
	starter    bool

	heardAt   lease.Instant // last news of a healthy leader, or the start
	linkedBy  lease.Instant // when a leader that is followed anew should have been heard
	doubtAt   lease.Instant // begin of the doubt, 0 if there is none
	selfAt    lease.Instant // when this instance makes itself a candidate
	nominated bool
	spread    time.Duration
	askAt     lease.Instant
	turn      int
	reachedAt lease.Instant // since when the store answers this instance, 0 if it does not
	peerAt    lease.Instant // last sign of life of another instance
	vouchedAt lease.Instant
	deposedAt lease.Instant
}

// New returns the elector of an instance that starts now.
func New(o Options, now lease.Instant, self rangelease.Leader, seeds []string, rand func() float64) *Elector {
	e := &Elector{o: o, self: self, rand: rand, rank: -1, heardAt: now}
	for _, s := range seeds {
		if s != self.Address {
			e.seeds = append(e.seeds, s)
		}
	}
	e.seed = len(e.seeds) < len(seeds)
	e.starter = e.seed || self.Strength >= StrongEnough || len(seeds) == 0
	return e
}

// SetInstances sets the number of instances.
func (e *Elector) SetInstances(n int) { e.instances = n }

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

// Restart ends the doubt, because a take-over succeeded or failed.
func (e *Elector) Restart() { e.doubtAt = 0 }

// Followed notes that another leader is followed from now on.
func (e *Elector) Followed(now lease.Instant) { e.doubtAt, e.linkedBy = 0, now+e.o.LinkTime }

// Deposed notes that this instance has lost the lead.
func (e *Elector) Deposed(now lease.Instant) { e.doubtAt, e.deposedAt = 0, now }

// PeerSeen notes a sign of life of another instance: an answer, or a refused connection.
func (e *Elector) PeerSeen(now lease.Instant) { e.peerAt = now }

// Vouched notes that another instance hears the leader that this one knows.
func (e *Elector) Vouched(now lease.Instant) { e.peerAt, e.vouchedAt = now, now }

// Doubts reports whether the leader is in doubt.
func (e *Elector) Doubts() bool { return e.doubtAt > 0 }

// Tick decides what an instance that does not lead is to do.
func (e *Elector) Tick(now lease.Instant, v View) Decision {
	fresh := v.NewsAt > 0 && now-v.NewsAt < e.o.NewsFresh
	if fresh && now-v.LeaderStoreAt < e.o.StoreStale && !v.LeaderLost {
		e.doubtAt, e.heardAt, e.nominated = 0, v.NewsAt, false
		return Decision{Healthy: true}
	}
	if now < e.linkedBy && v.NewsAt == 0 && !v.Refused && e.doubtAt == 0 {
		return Decision{}
	}
	var d Decision
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
	if !e.mayLead(now, fresh) {
		// A leader that has lost the store is replaced by a candidate that reaches it. If
		// there is none, the store is down for all.
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

func (e *Elector) begin(now lease.Instant) {
	e.doubtAt, e.askAt, e.reachedAt, e.nominated = now, now, 0, false
	e.spread = time.Duration(e.rand() * float64(e.o.Spread))
	window := e.o.StartSpread
	switch {
	case e.seed:
		window = e.o.Spread // the others can ask a seed
	case e.instances > 0:
		window = time.Duration(float64(e.instances) / e.o.SelfPerSecond * float64(time.Second))
	}
	e.selfAt = now + e.o.SelfAfter + time.Duration(e.rand()*float64(window))
	if e.rank < 0 {
		e.turn = int(e.rand() * float64(len(e.candidates)+len(e.seeds)))
	}
}

// mayLead reports whether this instance is a candidate.
func (e *Elector) mayLead(now lease.Instant, linked bool) bool {
	switch {
	case e.rank >= 0, e.nominated, len(e.candidates) == 0 && e.starter:
		return true
	case linked:
		return false
	}
	e.nominated = now >= e.selfAt
	return e.nominated
}

func (e *Elector) mayTakeOver(now lease.Instant, v View) bool {
	switch {
	case !v.RecordKnown || !v.ReachesStore:
		return false
	case v.LeaderLost && now < e.reachedAt+e.patience(v), now < e.doubtAt+e.patience(v):
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

// patience is the time between the first doubt and the take-over.
func (e *Elector) patience(v View) time.Duration {
	if v.Leader.ID == "" {
		return e.spread + time.Duration((1-min(e.self.Strength, 1))*float64(e.o.FirstPatience))
	}
	if v.Leader.ID == e.self.ID {
		return 0
	}
	patience := e.o.SilentPatience
	switch {
	case v.Refused:
		patience = e.o.RefusedPatience
	case v.LeaderLost:
		patience = e.o.ReturnTime
	}
	if e.rank >= 0 {
		patience += time.Duration(e.rank) * e.o.RankStep
	} else {
		patience += e.spread
	}
	if e.self.Strength < StrongEnough*v.Leader.Strength {
		patience += e.o.WeakPatience
	}
	return patience
}

// isolated reports whether no other candidate has given a sign of life in this doubt.
func (e *Elector) isolated(v View) bool {
	others := 0
	for _, c := range e.candidates {
		if c.ID != e.self.ID && c.ID != v.Leader.ID {
			others++
		}
	}
	return others > 0 && e.peerAt < e.doubtAt && !v.Refused && !v.LeaderLost
}

// next returns the address that is to be asked now, if it is time.
func (e *Elector) next(now lease.Instant, linked bool) string {
	if now < e.askAt || linked && now-e.doubtAt < e.o.LinkedPatience {
		return ""
	}
	pause := e.o.AskPause
	if e.rank < 0 {
		pause = min(pause+time.Duration(e.instances)*e.o.AskPausePerInstance, e.o.LongestAskPause)
	}
	e.askAt = now + time.Duration((0.5+e.rand())*float64(pause))
	for range len(e.candidates) + len(e.seeds) {
		i := e.turn % (len(e.candidates) + len(e.seeds))
		e.turn++
		if i >= len(e.candidates) {
			return e.seeds[i-len(e.candidates)]
		}
		if c := e.candidates[i]; c.ID != e.self.ID {
			return c.Address
		}
	}
	return ""
}

// Rank returns the leader and the candidates for the instances that it knows, in
// the order in which they take over: stronger ones first, and equals in an order
// that mixes availability zones.
func Rank(leader rangelease.Leader, known []rangelease.Leader) []rangelease.Leader {
	known = slices.DeleteFunc(slices.Clone(known), func(c rangelease.Leader) bool { return c.ID == leader.ID })
	slices.SortFunc(known, func(a, b rangelease.Leader) int {
		return cmp.Or(cmp.Compare(b.Strength, a.Strength), cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)))
	})
	return append([]rangelease.Leader{leader}, known[:min(len(known), Candidates)]...)
}
