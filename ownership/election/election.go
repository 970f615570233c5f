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

// Candidates is the number of candidates besides the leader. Each follows three
// kinds of objects in the store while a leader is in doubt; together they make less
// than 16 calls a second.
const Candidates = 6

// StrongEnough is the part of a leader's strength from which another instance can
// lead as well.
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
	// RefusedPatience is the time for which an instance that says that it does not lead
	// may still learn that it does, or may reach the store again.
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
	// FirstPatience is the time by which the weakest instance waits longer than one with
	// a core before it leads a deployment that starts for the first time.
	FirstPatience time.Duration
	// DeposedPatience is the time for which an instance that lost the lead leaves it
	// to others, so that two that do not hear each other do not take turns.
	DeposedPatience time.Duration
	// IsolatedPatience is the time for which a candidate waits that reaches the store
	// but no other candidate: it is more likely cut off than alone.
	IsolatedPatience time.Duration
	// VouchedFor is the time for which a sign of life of the leader at another instance
	// counts.
	VouchedFor time.Duration
	// CandidateFollow and FollowAfter are the times since the last news after which
	// candidates and others follow configuration and targets in the store themselves.
	// FollowAfter leaves time for a new leader, and for a poll within the bound in
	// which changes must be in force.
	CandidateFollow, FollowAfter time.Duration
	// LookPause is the least time between two looks at the record of an instance that
	// starts: a look may show a state that is seconds old.
	LookPause time.Duration
	// FirstShare of all instances may lead a deployment that starts for the first time at
	// once; the share doubles with each FirstDoubling. So a few lead at any number of
	// instances, which nobody knows yet.
	FirstShare    float64
	FirstDoubling time.Duration
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
	// OnlyPerSecond is that number where the leader and all candidates refuse connections:
	// nobody else will take over, and all instances may have just started.
	OnlyPerSecond float64
	// RefusalLife is the time for which a refused connection says that nothing listens there.
	RefusalLife time.Duration
}

// DefaultOptions are the defaults.
var DefaultOptions = Options{
	NewsFresh:           1200 * time.Millisecond, // three heartbeats may be late
	StoreStale:          3 * time.Second,         // above the wait of a poll of the leader
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
	LinkTime:            400 * time.Millisecond, // one attempt to connect
	LinkedPatience:      time.Second,
	SelfAfter:           3 * time.Second,
	SelfPerSecond:       8,
	OnlyPerSecond:       256,
	RefusalLife:         3 * time.Second,
	LookPause:           1100 * time.Millisecond,
	FirstShare:          1.0 / 64,
	FirstDoubling:       450 * time.Millisecond,
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
	// Ended says that the leader's process has ended: its address refuses connections, or
	// a later process answers there.
	Ended bool
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
	// Ask are the addresses of instances to be asked who leads.
	Ask []string
	// Look says that the record is to be read once, to learn the leader and the
	// candidates. It may be seconds old.
	Look bool
}

// Elector is the state of one instance.
type Elector struct {
	o    Options
	self rangelease.Leader
	// rand returns a number from 0 to 1.
	rand func() float64

	instances  int
	candidates []rangelease.Leader
	rank       int           // among the candidates, -1 if this instance is none
	firstAt    lease.Instant // when it may lead a deployment without a record
	lookAt     lease.Instant // when it looks at the record
	// refusedAt has the times of the last refused connections, by address.
	refusedAt map[string]lease.Instant

	heardAt   lease.Instant // last news of a healthy leader, or the start
	linkedBy  lease.Instant // when a leader that is followed anew should have been heard
	doubtAt   lease.Instant // begin of the doubt, 0 if there is none
	selfAt    lease.Instant // when this instance makes itself a candidate
	onlyAt    lease.Instant // when it does so if all candidates refuse connections
	nominated bool
	spread    time.Duration
	askAt     lease.Instant
	turn      int
	reachedAt lease.Instant // since when the store answers this instance, 0 if it does not
	peerAt    lease.Instant // last sign of life of another instance
	vouchedAt lease.Instant // last sign of life of the leader at another instance
	deposedAt lease.Instant
}

// New returns the elector of an instance that starts now.
func New(o Options, now lease.Instant, self rangelease.Leader, rand func() float64) *Elector {
	e := &Elector{o: o, self: self, rand: rand, rank: -1, heardAt: now, lookAt: now, refusedAt: map[string]lease.Instant{}}
	// The inverse of a share that grows as FirstShare and FirstDoubling say.
	doublings := math.Log2(max(rand()/o.FirstShare, 1))
	weakness := 1 - min(self.Strength, 1)
	e.firstAt = now + time.Duration(doublings*float64(o.FirstDoubling)+weakness*float64(o.FirstPatience))
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

// PeerRefused notes that an address refuses connections.
func (e *Elector) PeerRefused(now lease.Instant, address string) {
	e.peerAt, e.refusedAt[address] = now, now
}

// Vouched notes that another instance has heard the leader that this one knows, the
// given time ago.
func (e *Elector) Vouched(now lease.Instant, age time.Duration) {
	e.peerAt, e.vouchedAt = now, max(e.vouchedAt, now-age)
}

// Doubts reports whether the leader is in doubt.
func (e *Elector) Doubts() bool { return e.doubtAt > 0 }

// Tick decides what an instance that does not lead is to do.
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

// look reports whether an instance that knows no candidates looks at the record now.
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

// mayLead reports whether this instance is a candidate.
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

// before is the number of candidates that take over before this instance: all that do
// not refuse connections, for one that is none.
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

// patience is the time between the first doubt and the take-over.
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

// next returns the addresses that are to be asked now, if it is time: all candidates
// when the doubt begins, then one after the other.
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
