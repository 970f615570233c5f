package rangelease

import (
	"cmp"
	"slices"
	"time"

	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/placement/keyrange"
	"github.com/boragegate/boragegate/routing"
)

// Options are the times of a Granter.
type Options struct {
	// Terms are those of the leases: hold time, drift of clocks, margin.
	Terms lease.Terms
	// OutageHold is the hold time while the store is unreachable. Nothing can move
	// then, and a longer lease outlasts the loss of the granter.
	OutageHold time.Duration
	// Renew is the time between an answered grant and its renewal.
	Renew time.Duration
	// Retry is the time between an unanswered call and its repetition.
	Retry time.Duration
	// CallTimeout is the time after which the caller reports a grant as Unanswered.
	CallTimeout time.Duration
	// Lost is the time without any answer after which a target counts as unreachable.
	Lost time.Duration
	// Blind is the time since the store last confirmed the term after which nothing is sent any more.
	Blind time.Duration
}

// DefaultOptions are the defaults.
var DefaultOptions = Options{
	// A drift of 10,500 ppm on both sides covers a target's clock that is 2% slow.
	Terms:       lease.Terms{Duration: 3 * time.Second, DriftPPM: 10_500, Margin: 50 * time.Millisecond},
	OutageHold:  8 * time.Second,
	Renew:       time.Second,
	Retry:       250 * time.Millisecond,
	CallTimeout: 400 * time.Millisecond,
	Lost:        1500 * time.Millisecond,
	Blind:       12 * time.Second,
}

const (
	// outageAfter is the age of the store's last confirmation from which it counts as unreachable.
	outageAfter = 2500 * time.Millisecond
	// handoverTime is the usual time of a release, a grant and their news.
	handoverTime = 150 * time.Millisecond
	// clearAfter is the time for which finished moves wait for other changes
	// before they are written on their own account.
	clearAfter = time.Second
	// writePerSpan times the number of spans is the shortest time between two records:
	// to encode one takes about a tenth of it.
	writePerSpan = 30 * time.Microsecond
	// renewPerSpan times the number of spans is the time between an answered grant and
	// its renewal where it is above Options.Renew; it is bounded by longestRenew, after
	// which one renewal may still be lost and repeated before the lease ends.
	renewPerSpan = 700 * time.Microsecond
	longestRenew = 1400 * time.Millisecond
	// doubtAfter is the number of calls without an answer in a row after which a
	// target gets no grants until it answers a probe.
	doubtAfter = 2
)

// peer is what is known about the reachability of one target.
type peer struct {
	routing.Target
	// listed says that the target is in the list of targets now.
	listed bool
	// ended says that another lifetime has taken its ID or address.
	ended bool
	// called says that the target was called at least once.
	called bool
	// answered is the time of the last answer, or of the first call without one.
	answered lease.Instant
	// unanswered counts the calls without an answer since then.
	unanswered int
	probe      uint64
	probeDue   lease.Instant
}

// Granter holds the leases of all partitioned services.
type Granter struct {
	o      Options
	term   uint64
	leader Leader
	// candidates and instances are told to those that read the record.
	candidates []Leader
	instances  int

	orders uint64 // fencing tokens used in this term
	calls  uint64 // calls issued

	spans map[string][]*span
	peers map[routing.Lifetime]*peer
	// byID and byAddress have the lifetimes of peers that share an ID or an address.
	byID, byAddress map[string][]*peer
	// doubted has the peers with doubtAfter unanswered calls or more.
	doubted map[routing.Lifetime]*peer
	// callable counts the listed peers that were called.
	callable int
	// byCall has the spans with an outstanding call.
	byCall map[uint64]*span

	storeAt    lease.Instant // last confirmation of the term by the store
	writing    bool
	pending    *Record
	clearSince lease.Instant // 0 if no finished move and no other candidate waits to be written
	fenced     bool
	// fencedAt is the last time at which a target had seen a token of a later term, or
	// at which the caller was suspended. Nothing is sent then until the store has
	// confirmed the term again.
	fencedAt  lease.Instant
	longUntil lease.Instant // end of all leases of OutageHold
	// earlierUntil is the end of all leases of granters before this one.
	earlierUntil lease.Instant
	out          []Action
	writeDue     lease.Instant
	onMove       func(service string, s routing.Span, from, to routing.Lifetime, why string)
}

// Predecessor is what is known of the granter before. The zero value stands for
// one that may be alive and without the store.
type Predecessor struct {
	// Ended says that its process has ended.
	Ended bool
	// Left is what it may have left behind; it counts only if Ended.
	Left Left
}

// Left is what a granter leaves behind when it ends.
type Left struct {
	// Hold is the longest hold time of its leases.
	Hold time.Duration
	// Earlier is the time for which leases of granters before it may be in force.
	Earlier time.Duration
}

// New returns the granter of a record that was just stored with its term and
// leader, by a call that was sent at one time and answered at now. Leases of the
// holders in it may be in force and may be renewed by an earlier granter, whose
// own time since the store's last confirmation began before now.
func New(o Options, sent, now lease.Instant, r *Record, before Predecessor) *Granter {
	g := &Granter{
		o: o, term: r.Term, leader: r.Leader, candidates: r.Candidates, instances: r.Instances,
		spans: map[string][]*span{}, peers: map[routing.Lifetime]*peer{}, storeAt: sent,
		byID: map[string][]*peer{}, byAddress: map[string][]*peer{},
		doubted: map[routing.Lifetime]*peer{}, byCall: map[uint64]*span{},
	}
	inherited := now + o.Blind + g.leaseLength(o.OutageHold)
	if before.Ended {
		inherited = min(inherited, now+max(before.Left.Earlier, o.CallTimeout+g.leaseLength(before.Left.Hold)))
	}
	if len(r.Services) > 0 {
		g.earlierUntil = inherited
	}
	for name, entries := range r.Services {
		for _, e := range entries {
			s := &span{Span: e.Span, service: name, holder: e.Holder, until: inherited, inherited: true, due: now, reason: e.Reason, term: e.Term}
			if e.Previous != nil {
				s.previous, s.previousUntil = *e.Previous, inherited
				s.releaseFence = g.fence()
			}
			g.spans[name] = append(g.spans[name], s)
		}
		g.merge(name)
	}
	return g
}

// OnMove sets a function that is told of each move that was stored.
func (g *Granter) OnMove(f func(service string, s routing.Span, from, to routing.Lifetime, why string)) {
	g.onMove = f
}

// leaseLength is the time after its arrival for which a grant can be in force.
func (g *Granter) leaseLength(hold time.Duration) time.Duration {
	terms := g.o.Terms
	terms.Duration = hold
	return terms.GrantorDuration()
}

// fence returns the next fencing token.
func (g *Granter) fence() uint64 {
	g.orders++
	return g.term<<termBits | g.orders
}

// Term is the term of the granter.
func (g *Granter) Term() uint64 { return g.term }

// TakeFenced reports, once for each time, that a target has seen a token of a
// later term. The caller reads the record and stops if it has another leader.
func (g *Granter) TakeFenced() bool {
	fenced := g.fenced
	g.fenced = false
	return fenced
}

// Left returns what this granter leaves behind if it ends within the time ahead.
func (g *Granter) Left(now lease.Instant, ahead time.Duration) Left {
	l := Left{Hold: g.o.Terms.Duration, Earlier: max(g.earlierUntil-now, 0)}
	if now < g.longUntil || g.StoreAge(now)+ahead > outageAfter {
		l.Hold = g.o.OutageHold
	}
	return l
}

// Distrust makes the granter send nothing until the store has confirmed its term
// by a call that is sent later. The caller was suspended and may have a successor.
func (g *Granter) Distrust(now lease.Instant) { g.fencedAt = now }

// Confirmed notes that the store confirmed the term, by an answer to a call that was sent at the time.
func (g *Granter) Confirmed(sent lease.Instant) { g.storeAt = max(g.storeAt, sent) }

// SetServices sets the partitioned services. Spans of others are dropped: their
// leases run out.
func (g *Granter) SetServices(names []string) {
	for name := range g.spans {
		if !slices.Contains(names, name) {
			delete(g.spans, name)
		}
	}
	for _, name := range names {
		if g.spans[name] == nil {
			g.spans[name] = []*span{{Span: routing.Span{To: routing.KeyCount - 1}, service: name}}
		}
	}
}

// SetCandidates sets the candidates and the number of instances of the record. Other
// candidates are written within clearAfter, another number with the next change.
func (g *Granter) SetCandidates(now lease.Instant, candidates []Leader, instances int) {
	g.instances = instances
	if slices.Equal(candidates, g.candidates) {
		return
	}
	g.candidates = candidates
	if g.clearSince == 0 {
		g.clearSince = now
	}
}

// SetTargets sets the list of targets, all services together.
func (g *Granter) SetTargets(targets []routing.Target) {
	listed := make(map[routing.Lifetime]bool, len(targets))
	for i := range targets {
		listed[targets[i].Lifetime()] = true
	}
	var gone []routing.Lifetime
	for id, p := range g.peers {
		if p.listed && !listed[id] {
			gone = append(gone, id)
		}
	}
	g.ChangeTargets(targets, gone)
	g.forget()
}

// ChangeTargets adds or replaces targets of the list and removes others. Its cost
// depends on the number of changes only.
func (g *Granter) ChangeTargets(put []routing.Target, gone []routing.Lifetime) {
	for _, id := range gone {
		if p := g.peers[id]; p != nil {
			g.setListed(p, false)
		}
	}
	for i := range put {
		t := &put[i]
		p := g.peers[t.Lifetime()]
		if p == nil {
			p = &peer{}
			g.peers[t.Lifetime()] = p
			g.byID[t.ID] = append(g.byID[t.ID], p)
			g.byAddress[t.Address] = append(g.byAddress[t.Address], p)
		} else if p.Address != t.Address {
			unindex(g.byAddress, p.Address, p)
			g.byAddress[t.Address] = append(g.byAddress[t.Address], p)
		}
		p.Target, p.ended = *t, false
		g.setListed(p, true)
	}
	for i := range put {
		g.endReplaced(g.byID[put[i].ID])
		g.endReplaced(g.byAddress[put[i].Address])
	}
	for _, id := range gone {
		if p := g.peers[id]; p != nil {
			g.endReplaced(g.byID[p.ID])
			g.endReplaced(g.byAddress[p.Address])
		}
	}
}

func (g *Granter) setListed(p *peer, listed bool) {
	if p.called && p.listed != listed {
		if listed {
			g.callable++
		} else {
			g.callable--
		}
	}
	p.listed = listed
}

// endReplaced marks the peers that are not listed as ended if a younger one of
// those that share their ID or address is listed.
func (g *Granter) endReplaced(sharing []*peer) {
	youngest := int64(0)
	for _, p := range sharing {
		if p.listed {
			youngest = max(youngest, p.Incarnation)
		}
	}
	for _, p := range sharing {
		if !p.listed && p.Incarnation < youngest {
			p.ended = true
		}
	}
}

func unindex(index map[string][]*peer, key string, p *peer) {
	index[key] = slices.DeleteFunc(index[key], func(other *peer) bool { return other == p })
	if len(index[key]) == 0 {
		delete(index, key)
	}
}

// forget drops targets that are not listed and hold nothing.
func (g *Granter) forget() {
	used := map[routing.Lifetime]bool{}
	for _, spans := range g.spans {
		for _, s := range spans {
			used[s.holder], used[s.previous], used[s.next] = true, true, true
		}
	}
	for id, p := range g.peers {
		if !p.listed && !used[id] {
			delete(g.peers, id)
			delete(g.doubted, id)
			unindex(g.byID, p.ID, p)
			unindex(g.byAddress, p.Address, p)
		}
	}
}

// ended reports whether the lifetime is known to be over.
func (g *Granter) ended(id routing.Lifetime) bool {
	if p := g.peers[id]; p != nil {
		return p.ended
	}
	// A holder that this granter never saw in the list: a younger lifetime of the
	// same ID proves its end.
	return slices.ContainsFunc(g.byID[id.ID], func(p *peer) bool { return p.Incarnation > id.Incarnation })
}

// mayHold returns who may hold the keys of a holder that gives them up to another:
// the holder itself, or, if it has ended, a later lifetime that renewals may have
// reached. It returns the zero Lifetime if nobody can, or only the next holder.
func (g *Granter) mayHold(holder, next routing.Lifetime) routing.Lifetime {
	if holder == (routing.Lifetime{}) {
		return holder
	}
	if !g.ended(holder) {
		return holder
	}
	for _, p := range g.byID[holder.ID] {
		if p.listed && p.Incarnation > holder.Incarnation && p.Lifetime() != next {
			return p.Lifetime()
		}
	}
	return routing.Lifetime{}
}

// lost reports whether a target does not answer.
func (g *Granter) lost(now lease.Instant, p *peer) bool {
	return p.unanswered >= doubtAfter && now-p.answered >= g.o.Lost
}

// usable reports whether a target may hold keys.
func (g *Granter) usable(now lease.Instant, id routing.Lifetime) bool {
	p := g.peers[id]
	return p != nil && p.listed && !p.Draining && !g.lost(now, p)
}

// isolated reports whether most targets with spans do not answer: then the fault
// is more likely on this side, and no target counts as lost.
func (g *Granter) isolated(now lease.Instant) bool {
	lost := 0
	for _, p := range g.doubted {
		if p.listed && g.lost(now, p) {
			lost++
		}
	}
	return lost*2 > g.callable
}

// Service returns the service of a target that is listed.
func (g *Granter) Service(id routing.Lifetime) (string, bool) {
	if p := g.peers[id]; p != nil && p.listed {
		return p.Service, true
	}
	return "", false
}

// Usable returns the targets of the service that may hold keys.
func (g *Granter) Usable(now lease.Instant, service string) []routing.Target {
	var list []routing.Target
	for id, p := range g.peers {
		if p.Service == service && g.usable(now, id) {
			list = append(list, p.Target)
		}
	}
	slices.SortFunc(list, func(a, b routing.Target) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Ranges returns the spans of a service for the planner. While most targets do
// not answer, all are fixed.
func (g *Granter) Ranges(now lease.Instant, service string) []keyrange.Range {
	isolated := g.isolated(now)
	var list []keyrange.Range
	for _, s := range g.spans[service] {
		fixed := s.moving() || s.next != (routing.Lifetime{}) || isolated
		holder := s.holder
		if s.next != (routing.Lifetime{}) {
			holder = s.next
		}
		list = append(list, keyrange.Range{Span: s.Span, Holder: holder, Fixed: fixed})
	}
	return list
}

// Move plans that spans of a service change hands. Moves of spans that are
// already on the move are ignored.
func (g *Granter) Move(service string, moves []keyrange.Move) {
	for _, m := range moves {
		for i, s := range g.spans[service] {
			if s.From > m.From || s.To < m.To || s.moving() || s.next != (routing.Lifetime{}) || s.holder == m.Target {
				continue
			}
			pieces, middle := s.split(m.Span)
			delete(g.byCall, s.call)
			middle.next = m.Target
			g.spans[service] = slices.Replace(g.spans[service], i, i+1, pieces...)
			break
		}
	}
}

// record returns the record with all planned moves.
func (g *Granter) record(now lease.Instant) *Record {
	r := &Record{Term: g.term, Leader: g.leader, Candidates: g.candidates, Instances: g.instances, Services: map[string][]Entry{}}
	for name, spans := range g.spans {
		for _, s := range spans {
			e := Entry{Span: s.Span, Holder: s.holder, Reason: s.reason, Term: s.term}
			if s.moving() {
				previous := s.previous
				e.Previous = &previous
			}
			if s.next != (routing.Lifetime{}) {
				e.Holder, e.Reason, e.Term = s.next, g.reason(now, s.holder), g.term
				if previous := g.mayHold(s.holder, s.next); previous != (routing.Lifetime{}) {
					e.Previous = &previous
				}
			}
			r.Services[name] = append(r.Services[name], e)
		}
	}
	return r
}
