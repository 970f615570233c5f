package rangelease

import (
	"cmp"
	"slices"
	"time"

	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/placement/keyrange"
	"github.com/boragegate/boragegate/routing"
)

// Options holds the durations of a Grantor.
type Options struct {
	// Lease holds the duration of the leases, and the bounds for clock drift and timers.
	Lease lease.Config
	// OutageLeaseDuration is the lease duration while the store is unreachable. No span can
	// move then, because the record cannot be written, so a longer lease delays no move. It
	// lets targets keep serving if the grantor fails.
	OutageLeaseDuration time.Duration
	// RenewInterval is the minimum time between a grant that was answered and its renewal.
	RenewInterval time.Duration
	// RetryInterval is the time after which a failed or unanswered call or write is retried.
	RetryInterval time.Duration
	// CallTimeout is the time after which the user of the Grantor must report a grant as
	// Unanswered.
	CallTimeout time.Duration
	// UnreachableAfter is the time without any answer after which a suspected target counts
	// as unreachable.
	UnreachableAfter time.Duration
	// TermConfirmationTimeout is the time since the store last confirmed the term after which
	// the grantor sends no calls and does not write the record.
	TermConfirmationTimeout time.Duration
	// TokensPerTerm is the number of fencing tokens after which the grantor begins the next term with
	// its next write of the record.
	TokensPerTerm uint64
}

// DefaultOptions holds the defaults.
var DefaultOptions = Options{
	// A drift of 10,500 ppm on both sides covers a target whose clock runs 2% slow.
	Lease:                   lease.Config{Duration: 3 * time.Second, DriftPPM: 10_500, Margin: 50 * time.Millisecond},
	OutageLeaseDuration:     8 * time.Second,
	RenewInterval:           time.Second,
	RetryInterval:           250 * time.Millisecond,
	CallTimeout:             400 * time.Millisecond,
	UnreachableAfter:        1500 * time.Millisecond,
	TermConfirmationTimeout: 12 * time.Second,
	TokensPerTerm:           maxTokensPerTerm / 2, // the rest lasts for an hour at 2,000 grants per second
}

const (
	// storeOutageAfter is the time since the store last confirmed the term after which the
	// store counts as unreachable.
	storeOutageAfter = 2500 * time.Millisecond
	// handoverEstimate is the usual duration of a release, a grant and the messages that
	// announce them.
	handoverEstimate = 150 * time.Millisecond
	// deferredWriteDelay is the time for which finished moves and new candidates wait to be
	// written together with planned moves before they are written on their own.
	deferredWriteDelay = time.Second
	// writeIntervalPerSpan times the number of spans is the minimum time between two writes
	// of the record. Encoding the record takes about a tenth of that time.
	writeIntervalPerSpan = 30 * time.Microsecond
	// renewIntervalPerSpan times the service's number of spans is the time between an answered
	// grant and its renewal if it exceeds Options.RenewInterval. It is bounded by
	// maxRenewInterval, which leaves time to retry one lost renewal before the lease ends.
	renewIntervalPerSpan = 700 * time.Microsecond
	maxRenewInterval     = 1400 * time.Millisecond
	// suspectAfterCalls is the number of consecutive calls without an answer after which a
	// target is suspected: it gets no grants until it answers a call, for example a probe.
	// While the grantor is isolated, the target gets grants nevertheless.
	suspectAfterCalls = 2
	// unservedHeadStart is the time by which the call for a span that nobody serves goes before a
	// renewal. It is short of the time for which a lease outlasts its renewal, so that hopeless
	// calls to targets that are gone do not make the leases of others end.
	unservedHeadStart = 300 * time.Millisecond
	// maxProbes is the number of probes that are sent in each probeInterval.
	maxProbes     = 16
	probeInterval = 50 * time.Millisecond
)

// targetState is the reachability of one target as far as known.
type targetState struct {
	routing.Target
	// listed is true while the target is in the list of targets.
	listed bool
	// ended is true if the lifetime is known to have ended: a later one has its ID and its address, or another target has
	// answered at its address.
	ended bool
	// superseded is true if a later lifetime is listed with its ID or its address. Anybody may have written that entry,
	// so it does not prove that the lifetime has ended: the process at the address has to be asked.
	superseded bool
	// called is true if the target was called at least once.
	called bool
	// unansweredSince is the start of the time without an answer: the last answer or, if it
	// was sent later, the last call before one was reported as unanswered.
	unansweredSince lease.Instant
	// unansweredCalls is the number of calls without an answer since the last answer.
	unansweredCalls int
	// probeCall is the number of the outstanding probe, or 0 if there is none.
	probeCall   uint64
	nextProbeAt lease.Instant
}

// Grantor manages the leases of all partitioned services. It is not safe for concurrent use.
type Grantor struct {
	options Options
	term    uint64
	leader  InstanceInfo
	// candidates and instanceCount are written to the record for its readers.
	candidates    []InstanceInfo
	instanceCount int
	profiles      map[string]routing.ServiceProfile

	tokensIssued uint64 // fencing tokens issued in this term, see maxTokensPerTerm
	callsIssued  uint64 // number of calls, which is also the number of the last one

	spans map[string][]*leasedSpan
	// withdrawnServices are the services in spans that are no longer partitioned.
	withdrawnServices map[string]bool

	targets map[routing.Lifetime]*targetState
	// targetsByID and targetsByAddress hold the targets that share an ID or an address.
	targetsByID, targetsByAddress map[string][]*targetState
	// suspected holds the targets with suspectAfterCalls or more unanswered calls.
	suspected map[routing.Lifetime]*targetState
	// calledTargets is the number of listed targets that were called.
	calledTargets int
	// spansByCall holds the spans with an outstanding call.
	spansByCall map[uint64]*leasedSpan

	termConfirmedAt    lease.Instant // when the store last confirmed the term
	movesSuspended     bool          // see SuspendMoves
	writeInFlight      bool
	pendingRecord      *Record
	deferredWriteSince lease.Instant // since when finished moves or new candidates wait to be written, 0 if none do
	laterTermSeen      bool          // see TakeLaterTermSeen
	// confirmationRequiredAt is the time of the last event that puts the term in doubt: a
	// target has seen a token of a later term, or this process was suspended. Nothing is sent
	// until the store has confirmed the term after that time.
	confirmationRequiredAt lease.Instant
	outageLeasesExpiry     lease.Instant // when all leases with OutageLeaseDuration have expired
	// earlierLeasesExpiry is the time at which all leases of earlier grantors have expired.
	earlierLeasesExpiry lease.Instant
	// holdersUnknown is true if any target may hold keys of a service that has no spans yet, until
	// earlierLeasesExpiry.
	holdersUnknown bool
	actions        []Action
	hasDueCalls    bool // see HasDueCalls
	nextProbesAt   lease.Instant
	nextWriteAt    lease.Instant
	onMove         func(service string, s routing.Span, from, to routing.Lifetime, reason string)
}

// Predecessor is what is known about the previous grantor. The zero value stands for one
// that may still run without access to the store.
type Predecessor struct {
	// Ended is true if the process of the previous grantor is proven to have ended. A refused
	// connection is no proof: a partition may reset connections to a process that still runs.
	Ended bool
	// Leases describes the leases that it may have left active. It is used only if Ended is
	// true.
	Leases OutstandingLeases
}

// OutstandingLeases describes the leases that a grantor leaves active when it ends.
type OutstandingLeases struct {
	// Hold is the longest lease duration of its grants that may still be active.
	Hold time.Duration
	// Earlier is the time within which all leases of earlier grantors expire; 0 if there are
	// none.
	Earlier time.Duration
}

// New returns the grantor for a record that was just stored with the new term and leader,
// by a call that was sent at the time sent and answered at the time now. Leases of the
// holders in the record may be active. An earlier grantor may still renew them, for at most
// TermConfirmationTimeout after now, because the store has not confirmed its term after now. If
// the predecessor has ended, they expire within the time that follows from its Leases.
func New(options Options, sent, now lease.Instant, r *Record, predecessor Predecessor) *Grantor {
	g := &Grantor{
		options: options, term: r.Term, leader: r.Leader, candidates: r.Candidates, instanceCount: r.InstanceCount,
		spans: map[string][]*leasedSpan{}, withdrawnServices: map[string]bool{}, targets: map[routing.Lifetime]*targetState{}, termConfirmedAt: sent,
		targetsByID: map[string][]*targetState{}, targetsByAddress: map[string][]*targetState{},
		suspected: map[routing.Lifetime]*targetState{}, spansByCall: map[uint64]*leasedSpan{},
	}
	if len(r.Services) > 0 || r.HoldersUnknown {
		g.earlierLeasesExpiry = now + options.TermConfirmationTimeout + g.grantorLeaseDuration(options.OutageLeaseDuration)
	}
	if predecessor.Ended {
		g.ReportPredecessorEnded(now, predecessor.Leases)
	}
	g.holdersUnknown = r.HoldersUnknown
	for name, entries := range r.Services {
		for _, e := range entries {
			s := &leasedSpan{Span: e.Span, service: name, holder: e.Holder, inherited: true, nextCallAt: now, reason: e.Reason, term: e.Term}
			if e.Previous != nil {
				s.previous, s.previousUncertain, s.previousInherited = *e.Previous, true, true
				s.releaseToken = g.nextFencingToken()
			}
			g.spans[name] = append(g.spans[name], s)
		}
		g.mergeSpans(name)
	}
	return g
}

// ReportPredecessorEnded reports that the process of the previous grantor is proven to have ended
// by now, and the leases that it may have left active.
func (g *Grantor) ReportPredecessorEnded(now lease.Instant, leases OutstandingLeases) {
	expiry := now + max(leases.Earlier, g.options.CallTimeout+g.grantorLeaseDuration(leases.Hold))
	g.earlierLeasesExpiry = min(g.earlierLeasesExpiry, expiry)
}

// OnMove sets the function that ReportWriteResult calls for each move that was stored. It gets
// the previous and the new holder and the reason; see Entry.Reason.
func (g *Grantor) OnMove(f func(service string, s routing.Span, from, to routing.Lifetime, reason string)) {
	g.onMove = f
}

// grantorLeaseDuration returns the longest time after its arrival for which a grant of the
// given duration can be active.
func (g *Grantor) grantorLeaseDuration(duration time.Duration) time.Duration {
	config := g.options.Lease
	config.Duration = duration
	return config.GrantorDuration()
}

// latestExpiry returns the time at which every lease that the holder of a span may have has expired;
// 0 if no grant was sent to it.
func (g *Grantor) latestExpiry(s *leasedSpan) lease.Instant {
	if s.inherited {
		return max(s.latestExpiry, g.earlierLeasesExpiry)
	}
	return s.latestExpiry
}

// previousLatestExpiry returns the time at which every lease that the previous holder of a span may
// have has expired.
func (g *Grantor) previousLatestExpiry(s *leasedSpan) lease.Instant {
	if s.previousInherited {
		return max(s.previousLatestExpiry, g.earlierLeasesExpiry)
	}
	return s.previousLatestExpiry
}

func (g *Grantor) nextFencingToken() uint64 {
	g.tokensIssued++
	return g.term<<termShift | g.tokensIssued
}

// Term returns the term of the grantor.
func (g *Grantor) Term() uint64 { return g.term }

// TakeLaterTermSeen reports whether a target was found to have seen a token of a later term
// since TakeLaterTermSeen was last called. The leader then has to read the record, and to
// stop if it names another leader.
func (g *Grantor) TakeLaterTermSeen() bool {
	seen := g.laterTermSeen
	g.laterTermSeen = false
	return seen
}

// OutstandingLeases returns the leases that this grantor leaves active if it ends within
// the given time.
func (g *Grantor) OutstandingLeases(now lease.Instant, within time.Duration) OutstandingLeases {
	l := OutstandingLeases{Hold: g.options.Lease.Duration, Earlier: max(g.earlierLeasesExpiry-now, 0)}
	if now < g.outageLeasesExpiry || g.TermConfirmationAge(now)+within > storeOutageAfter {
		l.Hold = g.options.OutageLeaseDuration
	}
	return l
}

// RequireConfirmation stops all sending until the store has confirmed the term by a call
// that is sent later. It is called after this process was suspended: meanwhile, another
// instance may have become the leader.
func (g *Grantor) RequireConfirmation(now lease.Instant) { g.confirmationRequiredAt = now }

// IsTermInDoubt reports whether another grantor may have taken over since the store last confirmed the
// term: this process was suspended, or a target has seen a token of a later term.
func (g *Grantor) IsTermInDoubt() bool {
	return g.confirmationRequiredAt > 0 && g.termConfirmedAt <= g.confirmationRequiredAt
}

// ReportTermConfirmed reports that the store has confirmed the term, in its answer to a
// call that was sent at the given time.
func (g *Grantor) ReportTermConfirmed(sent lease.Instant) {
	g.termConfirmedAt = max(g.termConfirmedAt, sent)
}

// SetServices sets the names of the partitioned services. The leases of other services are not
// renewed. Their spans are kept until these have expired: a service that is named again before then
// still has holders.
func (g *Grantor) SetServices(names []string) {
	for name := range g.spans {
		if !slices.Contains(names, name) {
			g.withdrawnServices[name] = true
		}
	}
	for _, name := range names {
		delete(g.withdrawnServices, name)
		if g.spans[name] == nil {
			g.spans[name] = []*leasedSpan{g.unassignedSpan(name)}
		}
	}
}

// dropWithdrawnServices drops the spans of withdrawn services whose leases have expired.
func (g *Grantor) dropWithdrawnServices(now lease.Instant) {
	for name := range g.withdrawnServices {
		mayBeLeased := func(s *leasedSpan) bool {
			return now < g.latestExpiry(s) || s.isMoving() && now < g.previousLatestExpiry(s)
		}
		if slices.ContainsFunc(g.spans[name], mayBeLeased) {
			continue
		}
		delete(g.spans, name)
		delete(g.withdrawnServices, name)
		g.deferWrite(now)
	}
}

// SetCandidates sets the candidates and the number of instances in the record. New
// candidates are written within deferredWriteDelay; a new number of instances is written
// with the next change.
func (g *Grantor) SetCandidates(now lease.Instant, candidates []InstanceInfo, instances int) {
	g.instanceCount = instances
	if slices.Equal(candidates, g.candidates) {
		return
	}
	g.candidates = candidates
	g.deferWrite(now)
}

// SetProfiles sets the profiles in the record. They are written with the next change.
func (g *Grantor) SetProfiles(profiles map[string]routing.ServiceProfile) { g.profiles = profiles }

// SetTargets replaces the list of targets of all services.
func (g *Grantor) SetTargets(targets []routing.Target) {
	listed := make(map[routing.Lifetime]bool, len(targets))
	for i := range targets {
		listed[targets[i].Lifetime()] = true
	}
	var removed []routing.Lifetime
	for id, state := range g.targets {
		if state.listed && !listed[id] {
			removed = append(removed, id)
		}
	}
	g.UpdateTargets(targets, removed)
	g.dropUnusedTargets()
}

// UpdateTargets adds or replaces some targets of the list and removes others. Its cost
// depends only on the number of changes.
func (g *Grantor) UpdateTargets(updated []routing.Target, removed []routing.Lifetime) {
	for _, id := range removed {
		if state := g.targets[id]; state != nil {
			g.setListed(state, false)
		}
	}
	for i := range updated {
		t := &updated[i]
		state := g.targets[t.Lifetime()]
		if state == nil {
			state = &targetState{}
			g.targets[t.Lifetime()] = state
			g.targetsByID[t.ID] = append(g.targetsByID[t.ID], state)
			g.targetsByAddress[t.Address] = append(g.targetsByAddress[t.Address], state)
		} else if state.Address != t.Address {
			removeFromIndex(g.targetsByAddress, state.Address, state)
			g.targetsByAddress[t.Address] = append(g.targetsByAddress[t.Address], state)
		}
		state.Target, state.ended, state.superseded = *t, false, false
		g.setListed(state, true)
	}
	for i := range updated {
		g.markReplaced(updated[i].ID, updated[i].Address)
	}
	for _, id := range removed {
		if state := g.targets[id]; state != nil {
			g.markReplaced(state.ID, state.Address)
		}
	}
}

func (g *Grantor) setListed(state *targetState, listed bool) {
	if state.called && state.listed != listed {
		if listed {
			g.calledTargets++
		} else {
			g.calledTargets--
		}
	}
	state.listed = listed
}

// markReplaced marks the targets with the ID or the address that are not listed, if a later lifetime with that ID or
// address is.
func (g *Grantor) markReplaced(id, address string) {
	for _, group := range [][]*targetState{g.targetsByID[id], g.targetsByAddress[address]} {
		for _, state := range group {
			if state.listed {
				continue
			}
			for _, later := range group {
				if later.listed && later.Incarnation > state.Incarnation {
					state.superseded = true
					state.ended = state.ended || later.ID == state.ID && later.Address == state.Address
				}
			}
		}
	}
}

func removeFromIndex(index map[string][]*targetState, key string, state *targetState) {
	index[key] = slices.DeleteFunc(index[key], func(other *targetState) bool { return other == state })
	if len(index[key]) == 0 {
		delete(index, key)
	}
}

// dropUnusedTargets drops the targets that are neither listed nor named by a span.
func (g *Grantor) dropUnusedTargets() {
	named := map[routing.Lifetime]bool{}
	for _, spans := range g.spans {
		for _, s := range spans {
			named[s.holder], named[s.previous], named[s.plannedHolder] = true, true, true
		}
	}
	for id, state := range g.targets {
		if !state.listed && !named[id] {
			delete(g.targets, id)
			delete(g.suspected, id)
			removeFromIndex(g.targetsByID, state.ID, state)
			removeFromIndex(g.targetsByAddress, state.Address, state)
		}
	}
}

// hasEnded reports whether the lifetime is known to have ended.
func (g *Grantor) hasEnded(id routing.Lifetime) bool {
	if state := g.targets[id]; state != nil {
		return state.ended
	}
	// The holder was never in this grantor's list. A later lifetime that is listed with its ID has to release its keys.
	return slices.ContainsFunc(g.targetsByID[id.ID], func(state *targetState) bool { return state.listed && state.Incarnation > id.Incarnation })
}

// isReplaced reports whether the lifetime has ended or a later one is listed with its ID or address.
func (g *Grantor) isReplaced(id routing.Lifetime) bool {
	if state := g.targets[id]; state != nil {
		return state.isReplaced()
	}
	return g.hasEnded(id)
}

func (s *targetState) isReplaced() bool { return s.ended || s.superseded }

// possibleHolder returns the lifetime that may still hold the keys of
// holder when they are moved to next. Usually this is holder itself. If holder has ended, it
// is a later lifetime with the same ID: the server has restarted, and until the new lifetime
// was listed it may have received renewals that were meant for the ended one. The result is
// the zero Lifetime if nobody but next can hold the keys. It may be next itself if holder was never listed.
func (g *Grantor) possibleHolder(holder, next routing.Lifetime) routing.Lifetime {
	if holder == (routing.Lifetime{}) {
		return holder
	}
	if !g.hasEnded(holder) {
		return holder
	}
	for _, state := range g.targetsByID[holder.ID] {
		// Without the address of holder it is not known whether the later lifetime is at the same one.
		if state.listed && state.Incarnation > holder.Incarnation && (state.Lifetime() != next || g.targets[holder] == nil) {
			return state.Lifetime()
		}
	}
	return routing.Lifetime{}
}

// isTermUsedUp reports whether the next write of the record has to begin the next term.
func (g *Grantor) isTermUsedUp() bool { return g.tokensIssued >= g.options.TokensPerTerm }

// isOutOfTokens reports whether no grant may be sent, because its fencing token might be one of the
// next term.
func (g *Grantor) isOutOfTokens() bool { return g.tokensIssued >= maxTokensPerTerm-reservedTokens }

// isUnreachable reports whether a target has not answered for so long that it counts as
// unreachable.
func (g *Grantor) isUnreachable(now lease.Instant, state *targetState) bool {
	return state.unansweredCalls >= suspectAfterCalls && now-state.unansweredSince >= g.options.UnreachableAfter
}

// isUsable reports whether keys may be assigned to a target.
func (g *Grantor) isUsable(now lease.Instant, id routing.Lifetime) bool {
	state := g.targets[id]
	return state != nil && state.listed && !state.Draining && !g.isUnreachable(now, state)
}

// isIsolated reports whether most of the listed targets that were called are unreachable.
// Then the fault is more likely at this instance than at the targets, so no moves are
// planned, and requests for keys are still routed to their holders.
func (g *Grantor) isIsolated(now lease.Instant) bool {
	unreachable := 0
	for _, state := range g.suspected {
		if state.listed && g.isUnreachable(now, state) {
			unreachable++
		}
	}
	return unreachable*2 > g.calledTargets
}

// ServiceOf returns the service of a listed target.
func (g *Grantor) ServiceOf(id routing.Lifetime) (string, bool) {
	if state := g.targets[id]; state != nil && state.listed {
		return state.Service, true
	}
	return "", false
}

// UsableTargets returns the targets of the service to which keys may be assigned, ordered by ID.
func (g *Grantor) UsableTargets(now lease.Instant, service string) []routing.Target {
	var list []routing.Target
	for id, state := range g.targets {
		if state.Service == service && g.isUsable(now, id) {
			list = append(list, state.Target)
		}
	}
	slices.SortFunc(list, func(a, b routing.Target) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Ranges returns the spans of a service for keyrange.Plan, with the planned holder of those for
// which a move is planned. Such spans and those being moved are pinned; while the grantor is
// isolated, all are.
func (g *Grantor) Ranges(now lease.Instant, service string) []keyrange.Range {
	isolated := g.isIsolated(now)
	var list []keyrange.Range
	for _, s := range g.spans[service] {
		pinned := s.isMoving() || s.plannedHolder != (routing.Lifetime{}) || isolated
		holder := s.holder
		if s.plannedHolder != (routing.Lifetime{}) {
			holder = s.plannedHolder
		}
		list = append(list, keyrange.Range{Span: s.Span, Holder: holder, Pinned: pinned})
	}
	return list
}

// PlanMoves plans new holders for spans of a service. A move is ignored if its span is not
// within a single leased span, or if that span is already being moved or held by the target.
func (g *Grantor) PlanMoves(service string, moves []keyrange.Move) {
	for _, m := range moves {
		for i, s := range g.spans[service] {
			if s.From > m.From || s.To < m.To || s.isMoving() || s.plannedHolder != (routing.Lifetime{}) || s.holder == m.Target {
				continue
			}
			pieces, subSpan := s.split(m.Span)
			delete(g.spansByCall, s.outstandingCall)
			subSpan.plannedHolder = m.Target
			g.spans[service] = slices.Replace(g.spans[service], i, i+1, pieces...)
			break
		}
	}
}

// buildRecord returns the record to store under the given term. The planned holders of the moves that
// are being written are the holders in it.
func (g *Grantor) buildRecord(now lease.Instant, term uint64) *Record {
	r := &Record{Term: term, Leader: g.leader, Candidates: g.candidates, InstanceCount: g.instanceCount, Profiles: g.profiles, HoldersUnknown: g.holdersUnknown && now < g.earlierLeasesExpiry, Services: map[string][]Entry{}}
	for name, spans := range g.spans {
		for _, s := range spans {
			e := Entry{Span: s.Span, Holder: s.holder, Reason: s.reason, Term: s.term}
			if s.isMoving() {
				previous := s.previous
				e.Previous = &previous
			}
			if s.moveInWrite {
				e.Holder, e.Reason, e.Term = s.plannedHolder, g.moveReason(now, s.holder), term
				if previous := g.possibleHolder(s.holder, s.plannedHolder); previous != (routing.Lifetime{}) {
					e.Previous = &previous
				}
			}
			r.Services[name] = append(r.Services[name], e)
		}
	}
	return r
}
