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
	// LeaseTerms are those of the leases: hold time, drift of clocks, margin.
	LeaseTerms lease.Terms
	// OutageLeaseDuration is the hold time while the store is unreachable. Nothing can move
	// then, and a longer lease outlasts the loss of the granter.
	OutageLeaseDuration time.Duration
	// RenewInterval is the time between an answered grant and its renewal.
	RenewInterval time.Duration
	// RetryInterval is the time between an unanswered call and its repetition.
	RetryInterval time.Duration
	// CallTimeout is the time after which the caller reports a grant as Unanswered.
	CallTimeout time.Duration
	// UnreachableAfter is the time without any answer after which a target counts as unreachable.
	UnreachableAfter time.Duration
	// TermConfirmationTimeout is the time since the store last confirmed the term after which nothing is sent any more.
	TermConfirmationTimeout time.Duration
}

// DefaultOptions are the defaults.
var DefaultOptions = Options{
	// A drift of 10,500 ppm on both sides covers a target's clock that is 2% slow.
	LeaseTerms:              lease.Terms{Duration: 3 * time.Second, DriftPPM: 10_500, Margin: 50 * time.Millisecond},
	OutageLeaseDuration:     8 * time.Second,
	RenewInterval:           time.Second,
	RetryInterval:           250 * time.Millisecond,
	CallTimeout:             400 * time.Millisecond,
	UnreachableAfter:        1500 * time.Millisecond,
	TermConfirmationTimeout: 12 * time.Second,
}

const (
	// storeOutageAfter is the age of the store's last confirmation from which it counts as unreachable.
	storeOutageAfter = 2500 * time.Millisecond
	// handoverEstimate is the usual time of a release, a grant and their news.
	handoverEstimate = 150 * time.Millisecond
	// deferredWriteDelay is the time for which finished moves wait for other changes
	// before they are written on their own account.
	deferredWriteDelay = time.Second
	// writeIntervalPerSpan times the number of spans is the shortest time between two records:
	// to encode one takes about a tenth of it.
	writeIntervalPerSpan = 30 * time.Microsecond
	// renewIntervalPerSpan times the number of spans is the time between an answered grant and
	// its renewal where it is above Options.RenewInterval; it is bounded by maxRenewInterval, after
	// which one renewal may still be lost and repeated before the lease ends.
	renewIntervalPerSpan = 700 * time.Microsecond
	maxRenewInterval     = 1400 * time.Millisecond
	// suspectAfterCalls is the number of calls without an answer in a row after which a
	// target gets no grants until it answers a probe.
	suspectAfterCalls = 2
)

// targetState is what is known about the reachability of one target.
type targetState struct {
	routing.Target
	// listed says that the target is in the list of targets now.
	listed bool
	// ended says that another lifetime has taken its ID or address.
	ended bool
	// called says that the target was called at least once.
	called bool
	// answeredAt is the time of the last answer, or of the first call without one.
	answeredAt lease.Instant
	// unansweredCalls counts the calls without an answer since then.
	unansweredCalls int
	probeCall       uint64
	nextProbeAt     lease.Instant
}

// Granter holds the leases of all partitioned services.
type Granter struct {
	options Options
	term    uint64
	leader  Leader
	// candidates and instances are told to those that read the record.
	candidates    []Leader
	instanceCount int

	tokensIssued uint64 // fencing tokens used in this term
	callsIssued  uint64 // calls issued

	spans   map[string][]*leasedSpan
	targets map[routing.Lifetime]*targetState
	// targetsByID and targetsByAddress have the lifetimes of peers that share an ID or an address.
	targetsByID, targetsByAddress map[string][]*targetState
	// suspected has the peers with suspectAfterCalls unanswered calls or more.
	suspected map[routing.Lifetime]*targetState
	// calledTargets counts the listed peers that were called.
	calledTargets int
	// spansByCall has the spans with an outstanding call.
	spansByCall map[uint64]*leasedSpan

	termConfirmedAt    lease.Instant // last confirmation of the term by the store
	writeInFlight      bool
	pendingRecord      *Record
	deferredWriteSince lease.Instant // 0 if no finished move and no other candidate waits to be written
	fenced             bool
	// confirmationRequiredAt is the last time at which a target had seen a token of a later term, or
	// at which the caller was suspended. Nothing is sent then until the store has
	// confirmed the term again.
	confirmationRequiredAt lease.Instant
	outageLeasesUntil      lease.Instant // end of all leases of OutageLeaseDuration
	// earlierLeasesUntil is the end of all leases of granters before this one.
	earlierLeasesUntil lease.Instant
	actions            []Action
	nextWriteAt        lease.Instant
	onMove             func(service string, s routing.Span, from, to routing.Lifetime, why string)
}

// Predecessor is what is known of the granter before. The zero value stands for
// one that may be alive and without the store.
type Predecessor struct {
	// Ended says that its process has ended.
	Ended bool
	// Leases is what it may have left behind; it counts only if Ended.
	Leases OutstandingLeases
}

// OutstandingLeases is what a granter leaves behind when it ends.
type OutstandingLeases struct {
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
		options: o, term: r.Term, leader: r.Leader, candidates: r.Candidates, instanceCount: r.Instances,
		spans: map[string][]*leasedSpan{}, targets: map[routing.Lifetime]*targetState{}, termConfirmedAt: sent,
		targetsByID: map[string][]*targetState{}, targetsByAddress: map[string][]*targetState{},
		suspected: map[routing.Lifetime]*targetState{}, spansByCall: map[uint64]*leasedSpan{},
	}
	inherited := now + o.TermConfirmationTimeout + g.grantorLeaseDuration(o.OutageLeaseDuration)
	if before.Ended {
		inherited = min(inherited, now+max(before.Leases.Earlier, o.CallTimeout+g.grantorLeaseDuration(before.Leases.Hold)))
	}
	if len(r.Services) > 0 {
		g.earlierLeasesUntil = inherited
	}
	for name, entries := range r.Services {
		for _, e := range entries {
			s := &leasedSpan{Span: e.Span, service: name, holder: e.Holder, latestExpiry: inherited, inherited: true, nextCallAt: now, reason: e.Reason, term: e.Term}
			if e.Previous != nil {
				s.previous, s.previousLatestExpiry = *e.Previous, inherited
				s.releaseToken = g.nextFencingToken()
			}
			g.spans[name] = append(g.spans[name], s)
		}
		g.mergeSpans(name)
	}
	return g
}

// OnMove sets a function that is told of each move that was stored.
func (g *Granter) OnMove(f func(service string, s routing.Span, from, to routing.Lifetime, why string)) {
	g.onMove = f
}

// grantorLeaseDuration is the time after its arrival for which a grant can be in force.
func (g *Granter) grantorLeaseDuration(hold time.Duration) time.Duration {
	terms := g.options.LeaseTerms
	terms.Duration = hold
	return terms.GrantorDuration()
}

// nextFencingToken returns the next fencing token.
func (g *Granter) nextFencingToken() uint64 {
	g.tokensIssued++
	return g.term<<termShift | g.tokensIssued
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

// OutstandingLeases returns what this granter leaves behind if it ends within the time ahead.
func (g *Granter) OutstandingLeases(now lease.Instant, ahead time.Duration) OutstandingLeases {
	l := OutstandingLeases{Hold: g.options.LeaseTerms.Duration, Earlier: max(g.earlierLeasesUntil-now, 0)}
	if now < g.outageLeasesUntil || g.TermConfirmationAge(now)+ahead > storeOutageAfter {
		l.Hold = g.options.OutageLeaseDuration
	}
	return l
}

// RequireConfirmation makes the granter send nothing until the store has confirmed its term
// by a call that is sent later. The caller was suspended and may have a successor.
func (g *Granter) RequireConfirmation(now lease.Instant) { g.confirmationRequiredAt = now }

// ReportTermConfirmed notes that the store confirmed the term, by an answer to a call that was sent at the time.
func (g *Granter) ReportTermConfirmed(sent lease.Instant) {
	g.termConfirmedAt = max(g.termConfirmedAt, sent)
}

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
			g.spans[name] = []*leasedSpan{{Span: routing.Span{To: routing.KeyCount - 1}, service: name}}
		}
	}
}

// SetCandidates sets the candidates and the number of instances of the record. Other
// candidates are written within deferredWriteDelay, another number with the next change.
func (g *Granter) SetCandidates(now lease.Instant, candidates []Leader, instances int) {
	g.instanceCount = instances
	if slices.Equal(candidates, g.candidates) {
		return
	}
	g.candidates = candidates
	if g.deferredWriteSince == 0 {
		g.deferredWriteSince = now
	}
}

// SetTargets sets the list of targets, all services together.
func (g *Granter) SetTargets(targets []routing.Target) {
	listed := make(map[routing.Lifetime]bool, len(targets))
	for i := range targets {
		listed[targets[i].Lifetime()] = true
	}
	var gone []routing.Lifetime
	for id, p := range g.targets {
		if p.listed && !listed[id] {
			gone = append(gone, id)
		}
	}
	g.UpdateTargets(targets, gone)
	g.dropUnusedTargets()
}

// UpdateTargets adds or replaces targets of the list and removes others. Its cost
// depends on the number of changes only.
func (g *Granter) UpdateTargets(put []routing.Target, gone []routing.Lifetime) {
	for _, id := range gone {
		if p := g.targets[id]; p != nil {
			g.setListed(p, false)
		}
	}
	for i := range put {
		t := &put[i]
		p := g.targets[t.Lifetime()]
		if p == nil {
			p = &targetState{}
			g.targets[t.Lifetime()] = p
			g.targetsByID[t.ID] = append(g.targetsByID[t.ID], p)
			g.targetsByAddress[t.Address] = append(g.targetsByAddress[t.Address], p)
		} else if p.Address != t.Address {
			removeFromIndex(g.targetsByAddress, p.Address, p)
			g.targetsByAddress[t.Address] = append(g.targetsByAddress[t.Address], p)
		}
		p.Target, p.ended = *t, false
		g.setListed(p, true)
	}
	for i := range put {
		g.markReplacedEnded(g.targetsByID[put[i].ID])
		g.markReplacedEnded(g.targetsByAddress[put[i].Address])
	}
	for _, id := range gone {
		if p := g.targets[id]; p != nil {
			g.markReplacedEnded(g.targetsByID[p.ID])
			g.markReplacedEnded(g.targetsByAddress[p.Address])
		}
	}
}

func (g *Granter) setListed(p *targetState, listed bool) {
	if p.called && p.listed != listed {
		if listed {
			g.calledTargets++
		} else {
			g.calledTargets--
		}
	}
	p.listed = listed
}

// markReplacedEnded marks the peers that are not listed as ended if a younger one of
// those that share their ID or address is listed.
func (g *Granter) markReplacedEnded(sharing []*targetState) {
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

func removeFromIndex(index map[string][]*targetState, key string, p *targetState) {
	index[key] = slices.DeleteFunc(index[key], func(other *targetState) bool { return other == p })
	if len(index[key]) == 0 {
		delete(index, key)
	}
}

// dropUnusedTargets drops targets that are not listed and hold nothing.
func (g *Granter) dropUnusedTargets() {
	used := map[routing.Lifetime]bool{}
	for _, spans := range g.spans {
		for _, s := range spans {
			used[s.holder], used[s.previous], used[s.plannedHolder] = true, true, true
		}
	}
	for id, p := range g.targets {
		if !p.listed && !used[id] {
			delete(g.targets, id)
			delete(g.suspected, id)
			removeFromIndex(g.targetsByID, p.ID, p)
			removeFromIndex(g.targetsByAddress, p.Address, p)
		}
	}
}

// hasEnded reports whether the lifetime is known to be over.
func (g *Granter) hasEnded(id routing.Lifetime) bool {
	if p := g.targets[id]; p != nil {
		return p.ended
	}
	// A holder that this granter never saw in the list: a younger lifetime of the
	// same ID proves its end.
	return slices.ContainsFunc(g.targetsByID[id.ID], func(p *targetState) bool { return p.Incarnation > id.Incarnation })
}

// possibleHolder returns who may hold the keys of a holder that gives them up to another:
// the holder itself, or, if it has ended, a later lifetime that renewals may have
// reached. It returns the zero Lifetime if nobody can, or only the next holder.
func (g *Granter) possibleHolder(holder, next routing.Lifetime) routing.Lifetime {
	if holder == (routing.Lifetime{}) {
		return holder
	}
	if !g.hasEnded(holder) {
		return holder
	}
	for _, p := range g.targetsByID[holder.ID] {
		if p.listed && p.Incarnation > holder.Incarnation && p.Lifetime() != next {
			return p.Lifetime()
		}
	}
	return routing.Lifetime{}
}

// isUnreachable reports whether a target does not answer.
func (g *Granter) isUnreachable(now lease.Instant, p *targetState) bool {
	return p.unansweredCalls >= suspectAfterCalls && now-p.answeredAt >= g.options.UnreachableAfter
}

// isUsable reports whether a target may hold keys.
func (g *Granter) isUsable(now lease.Instant, id routing.Lifetime) bool {
	p := g.targets[id]
	return p != nil && p.listed && !p.Draining && !g.isUnreachable(now, p)
}

// isIsolated reports whether most targets with spans do not answer: then the fault
// is more likely on this side, and no target counts as lost.
func (g *Granter) isIsolated(now lease.Instant) bool {
	lost := 0
	for _, p := range g.suspected {
		if p.listed && g.isUnreachable(now, p) {
			lost++
		}
	}
	return lost*2 > g.calledTargets
}

// ServiceOf returns the service of a target that is listed.
func (g *Granter) ServiceOf(id routing.Lifetime) (string, bool) {
	if p := g.targets[id]; p != nil && p.listed {
		return p.Service, true
	}
	return "", false
}

// UsableTargets returns the targets of the service that may hold keys.
func (g *Granter) UsableTargets(now lease.Instant, service string) []routing.Target {
	var list []routing.Target
	for id, p := range g.targets {
		if p.Service == service && g.isUsable(now, id) {
			list = append(list, p.Target)
		}
	}
	slices.SortFunc(list, func(a, b routing.Target) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Ranges returns the spans of a service for the planner. While most targets do
// not answer, all are fixed.
func (g *Granter) Ranges(now lease.Instant, service string) []keyrange.Range {
	isolated := g.isIsolated(now)
	var list []keyrange.Range
	for _, s := range g.spans[service] {
		fixed := s.isMoving() || s.plannedHolder != (routing.Lifetime{}) || isolated
		holder := s.holder
		if s.plannedHolder != (routing.Lifetime{}) {
			holder = s.plannedHolder
		}
		list = append(list, keyrange.Range{Span: s.Span, Holder: holder, Pinned: fixed})
	}
	return list
}

// PlanMoves plans that spans of a service change hands. Moves of spans that are
// already on the move are ignored.
func (g *Granter) PlanMoves(service string, moves []keyrange.Move) {
	for _, m := range moves {
		for i, s := range g.spans[service] {
			if s.From > m.From || s.To < m.To || s.isMoving() || s.plannedHolder != (routing.Lifetime{}) || s.holder == m.Target {
				continue
			}
			pieces, middle := s.split(m.Span)
			delete(g.spansByCall, s.outstandingCall)
			middle.plannedHolder = m.Target
			g.spans[service] = slices.Replace(g.spans[service], i, i+1, pieces...)
			break
		}
	}
}

// buildRecord returns the record with all planned moves.
func (g *Granter) buildRecord(now lease.Instant) *Record {
	r := &Record{Term: g.term, Leader: g.leader, Candidates: g.candidates, Instances: g.instanceCount, Services: map[string][]Entry{}}
	for name, spans := range g.spans {
		for _, s := range spans {
			e := Entry{Span: s.Span, Holder: s.holder, Reason: s.reason, Term: s.term}
			if s.isMoving() {
				previous := s.previous
				e.Previous = &previous
			}
			if s.plannedHolder != (routing.Lifetime{}) {
				e.Holder, e.Reason, e.Term = s.plannedHolder, g.moveReason(now, s.holder), g.term
				if previous := g.possibleHolder(s.holder, s.plannedHolder); previous != (routing.Lifetime{}) {
					e.Previous = &previous
				}
			}
			r.Services[name] = append(r.Services[name], e)
		}
	}
	return r
}
