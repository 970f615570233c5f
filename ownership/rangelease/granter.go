package rangelease

import (
	"cmp"
	"slices"
	"time"

	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/placement/keyrange"
	"github.com/boragegate/boragegate/routing"
)

// Options holds the durations of a Granter.
type Options struct {
	// Terms are those of the leases: duration, clock drift and margin.
	Terms lease.Terms
	// OutageHold is the lease duration while the store is unreachable. No span can move
	// then anyway, and a longer lease survives the loss of the granter.
	OutageHold time.Duration
	// Renew is the time between a grant that was answered and its renewal.
	Renew time.Duration
	// Retry is the time between a call without an answer and its repetition.
	Retry time.Duration
	// CallTimeout is the time after which the caller reports a grant as Unanswered.
	CallTimeout time.Duration
	// Lost is the time without any answer after which a target counts as unreachable.
	Lost time.Duration
	// Blind is the time since the store last confirmed the term after which nothing is
	// sent any more.
	Blind time.Duration
}

// DefaultOptions holds the defaults.
var DefaultOptions = Options{
	// A drift of 10,500 ppm on both sides covers a target whose clock runs 2% slow.
	Terms:       lease.Terms{Length: 3 * time.Second, DriftPPM: 10_500, Margin: 50 * time.Millisecond},
	OutageHold:  8 * time.Second,
	Renew:       time.Second,
	Retry:       250 * time.Millisecond,
	CallTimeout: 400 * time.Millisecond,
	Lost:        1500 * time.Millisecond,
	Blind:       12 * time.Second,
}

const (
	// outageAfter is the age of the store's last confirmation from which the store counts
	// as unreachable.
	outageAfter = 2500 * time.Millisecond
	// handoverTime is the usual duration of a release, a grant and the messages that
	// announce them.
	handoverTime = 150 * time.Millisecond
	// clearAfter is the time for which finished moves wait to be written together with
	// other changes before they are written on their own.
	clearAfter = time.Second
	// writePerSpan times the number of spans is the minimum time between two writes of the
	// record. Encoding the record takes about a tenth of that time.
	writePerSpan = 30 * time.Microsecond
	// renewPerSpan times the number of spans is the time between an answered grant and its
	// renewal if it exceeds Options.Renew. It is bounded by longestRenew, which leaves
	// time to repeat one lost renewal before the lease ends.
	renewPerSpan = 700 * time.Microsecond
	longestRenew = 1400 * time.Millisecond
	// doubtAfter is the number of consecutive calls without an answer after which a target
	// gets no grants until it answers a probe.
	doubtAfter = 2
)

// peer is the reachability of one target as far as known.
type peer struct {
	routing.Target
	// listed is true while the target is in the list of targets.
	listed bool
	// ended is true if another lifetime has taken the target's ID or address.
	ended bool
	// called is true if the target was called at least once.
	called bool
	// answered is the time of the last answer, or of the first call since then that got
	// none.
	answered lease.Instant
	// unanswered is the number of calls without an answer since the last answer.
	unanswered int
	probe      uint64
	probeDue   lease.Instant
}

// Granter holds the leases of all partitioned services. It is not safe for concurrent use.
type Granter struct {
	o      Options
	term   uint64
	leader Leader
	// candidates and instances are written to the record for its readers.
	candidates []Leader
	instances  int

	orders uint64 // fencing tokens issued in this term
	calls  uint64 // calls issued

	spans map[string][]*span
	peers map[routing.Lifetime]*peer
	// byID and byAddress hold the lifetimes that share an ID or an address.
	byID, byAddress map[string][]*peer
	// doubted holds the targets with doubtAfter or more unanswered calls.
	doubted map[routing.Lifetime]*peer
	// callable is the number of listed targets that were called.
	callable int
	// byCall holds the spans with an outstanding call.
	byCall map[uint64]*span

	storeAt    lease.Instant // when the store last confirmed the term
	writing    bool
	pending    *Record
	clearSince lease.Instant // since when finished moves or new candidates wait to be written, 0 if none do
	fenced     bool
	// fencedAt is the last time at which a target had seen a token of a later term, or at
	// which the caller had been suspended. Nothing is sent until the store has confirmed
	// the term after that time.
	fencedAt  lease.Instant
	longUntil lease.Instant // end of all leases granted for OutageHold
	// earlierUntil is the end of all leases of earlier granters.
	earlierUntil lease.Instant
	out          []Action
	writeDue     lease.Instant
	onMove       func(service string, s routing.Span, from, to routing.Lifetime, why string)
}

// Predecessor is what is known about the previous granter. The zero value stands for one
// that may still run without access to the store.
type Predecessor struct {
	// Ended is true if the process of the previous granter has ended.
	Ended bool
	// Left describes the leases that it may have left in force. It is used only if Ended
	// is true.
	Left Left
}

// Left describes the leases that a granter leaves in force when it ends.
type Left struct {
	// Hold is the longest lease duration that it granted.
	Hold time.Duration
	// Earlier is the time for which leases of earlier granters may still be in force.
	Earlier time.Duration
}

// New returns the granter for a record that was just stored with the new term and leader,
// by a call that was sent at the time sent and answered at the time now. Leases of the
// holders in the record may be in force. An earlier granter may still renew them until its
// own time since the store's last confirmation has run out, which began before now.
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

// OnMove sets the function that is called for each move after it was stored.
func (g *Granter) OnMove(f func(service string, s routing.Span, from, to routing.Lifetime, why string)) {
	g.onMove = f
}

// leaseLength returns the longest time after its arrival for which a grant can be in
// force.
func (g *Granter) leaseLength(hold time.Duration) time.Duration {
	terms := g.o.Terms
	terms.Length = hold
	return terms.GrantorLength()
}

// fence returns the next fencing token.
func (g *Granter) fence() uint64 {
	g.orders++
	return g.term<<termBits | g.orders
}

// Term returns the term of the granter.
func (g *Granter) Term() uint64 { return g.term }

// TakeFenced reports whether a target has seen a token of a later term since the last
// call. The caller then reads the record, and stops if it names another leader.
func (g *Granter) TakeFenced() bool {
	fenced := g.fenced
	g.fenced = false
	return fenced
}

// Left returns the leases that this granter leaves in force if it ends within the time
// ahead.
func (g *Granter) Left(now lease.Instant, ahead time.Duration) Left {
	l := Left{Hold: g.o.Terms.Length, Earlier: max(g.earlierUntil-now, 0)}
	if now < g.longUntil || g.StoreAge(now)+ahead > outageAfter {
		l.Hold = g.o.OutageHold
	}
	return l
}

// Distrust stops all sending until the store has confirmed the term by a call that is sent
// later. It is for a caller that was suspended and may have a successor.
func (g *Granter) Distrust(now lease.Instant) { g.fencedAt = now }

// Confirmed reports that the store has confirmed the term, in its answer to a call that
// was sent at the given time.
func (g *Granter) Confirmed(sent lease.Instant) { g.storeAt = max(g.storeAt, sent) }

// SetServices sets the names of the partitioned services. The spans of all others are
// dropped, and their leases expire.
func (g *Granter) SetServices(names []string) {
	for name := range g.spans {
		if !slices.Contains(names, name) {
			delete(g.spans, name)
		}
	}
	for _, name := range names {
		if g.spans[name] == nil {
			g.spans[name] = []*span{{Span: routing.Span{To: routing.Keys - 1}, service: name}}
		}
	}
}

// SetCandidates sets the candidates and the number of instances in the record. New
// candidates are written within clearAfter; a new number of instances is written with the
// next change.
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

// SetTargets replaces the list of targets of all services.
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

// ChangeTargets adds or replaces some targets of the list and removes others. Its cost
// depends only on the number of changes.
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

// endReplaced marks the targets that are not listed as ended if a later lifetime with the
// same ID or address is listed.
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

// forget drops the targets that are neither listed nor named by a span.
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

// ended reports whether the lifetime is known to have ended.
func (g *Granter) ended(id routing.Lifetime) bool {
	if p := g.peers[id]; p != nil {
		return p.ended
	}
	// The holder was never in this granter's list. A later lifetime with the same ID
	// proves that it has ended.
	return slices.ContainsFunc(g.byID[id.ID], func(p *peer) bool { return p.Incarnation > id.Incarnation })
}

// mayHold returns the lifetime that may hold the keys which the holder gives up to next:
// the holder itself, or, if it has ended, a later lifetime that its renewals may have
// reached. It returns the zero Lifetime if there is none other than next.
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

// lost reports whether a target is unreachable.
func (g *Granter) lost(now lease.Instant, p *peer) bool {
	return p.unanswered >= doubtAfter && now-p.answered >= g.o.Lost
}

// usable reports whether a target may hold keys.
func (g *Granter) usable(now lease.Instant, id routing.Lifetime) bool {
	p := g.peers[id]
	return p != nil && p.listed && !p.Draining && !g.lost(now, p)
}

// isolated reports whether most of the listed targets that were called are unreachable.
// Then the fault is more likely on this side, and no target counts as unreachable.
func (g *Granter) isolated(now lease.Instant) bool {
	lost := 0
	for _, p := range g.doubted {
		if p.listed && g.lost(now, p) {
			lost++
		}
	}
	return lost*2 > g.callable
}

// Service returns the service of a listed target.
func (g *Granter) Service(id routing.Lifetime) (string, bool) {
	if p := g.peers[id]; p != nil && p.listed {
		return p.Service, true
	}
	return "", false
}

// Usable returns the targets of the service that may hold keys, ordered by ID.
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

// Ranges returns the spans of a service for the planner. All of them are fixed while most
// targets are unreachable.
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

// Move plans new holders for spans of a service. Moves of spans that are already being
// moved are ignored.
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
