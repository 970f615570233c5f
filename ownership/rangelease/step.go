package rangelease

import (
	"cmp"
	"slices"
	"time"

	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/routing"
)

// Tick returns the actions that are due: grants and renewals, releases to previous holders,
// probes of suspected targets, and a write of the record. It returns at most maxCalls grants and
// releases; HasDueCalls reports whether others are due too. Those that have
// been due for the longest time come first, with a head start for keys that nobody serves, so
// that none is left out again and again. Nothing is due while the store has not confirmed the term
// recently enough.
func (g *Grantor) Tick(now lease.Instant, maxCalls int) []Action {
	g.actions, g.hasDueCalls = nil, false
	if g.isSendingSuspended(now) {
		return nil
	}
	isolated := g.isIsolated(now)
	var due []*leasedSpan
	for service := range g.spans {
		for _, s := range g.spans[service] {
			if s.isMoving() {
				g.checkPrevious(now, s)
			}
			if g.isCallDue(now, s, isolated) {
				due = append(due, s)
			}
		}
	}
	if len(due) > maxCalls {
		g.hasDueCalls = true
		slices.SortStableFunc(due, func(a, b *leasedSpan) int {
			return cmp.Compare(a.callOrder(), b.callOrder())
		})
		due = due[:max(maxCalls, 0)]
	}
	for _, s := range due {
		g.sendCall(now, s)
	}
	for service := range g.spans {
		g.mergeSpans(service)
	}
	g.probeSuspected(now)
	g.endUnknownHolders(now)
	g.dropWithdrawnServices(now)
	g.writeIfDue(now)
	return g.actions
}

// HasDueCalls reports whether the last Tick left out calls that are due because of its limit.
func (g *Grantor) HasDueCalls() bool { return g.hasDueCalls }

// isSendingSuspended reports whether nothing may be sent, because the store has not confirmed
// the term recently enough.
func (g *Grantor) isSendingSuspended(now lease.Instant) bool {
	return now-g.termConfirmedAt > g.options.TermConfirmationTimeout || g.IsTermInDoubt()
}

// advanceSpan adds the release or the grant that is due for a span to the actions.
func (g *Grantor) advanceSpan(now lease.Instant, s *leasedSpan, isolated bool) {
	if s.isMoving() {
		g.checkPrevious(now, s)
	}
	if g.isCallDue(now, s, isolated) {
		g.sendCall(now, s)
	}
}

// isCallDue reports whether a release or a grant is due for a span.
func (g *Grantor) isCallDue(now lease.Instant, s *leasedSpan, isolated bool) bool {
	if s.outstandingCall != 0 || now < s.nextCallAt || g.withdrawnServices[s.service] || g.isOutOfTokens() {
		return false
	}
	if g.movesSuspended && (s.isMoving() || g.latestExpiry(s) == 0) {
		return false // only leases that were granted are renewed
	}
	if s.isMoving() {
		state := g.targets[s.previous]
		return state != nil && !state.ended
	}
	state := g.targets[s.holder]
	switch {
	case state == nil || state.isReplaced():
		return false
	case s.plannedHolder != (routing.Lifetime{}) && g.latestExpiry(s) == 0:
		return false // a holder that cannot have a lease yet gets none if a move of the span is planned
	}
	// A grant to a target that may have failed would only delay the expiry of its lease.
	return state.unansweredCalls < suspectAfterCalls || isolated
}

// sendCall adds the release or the grant for a span to the actions.
func (g *Grantor) sendCall(now lease.Instant, s *leasedSpan) {
	if s.isMoving() {
		g.sendRelease(now, s, g.targets[s.previous])
	} else {
		g.sendGrant(now, s, g.targets[s.holder])
	}
}

// checkPrevious ends the wait for a previous holder whose lease has expired or that has
// ended. In the second case its renewals may have reached a later lifetime, which must
// release the span instead.
func (g *Grantor) checkPrevious(now lease.Instant, s *leasedSpan) {
	possibleHolder := s.previous
	if g.hasEnded(s.previous) {
		possibleHolder = g.possibleHolder(s.previous, s.holder)
	}
	switch {
	case now >= g.previousLatestExpiry(s):
		g.finishRelease(now, s, "")
	case possibleHolder == (routing.Lifetime{}):
		if !s.previousUncertain {
			g.finishRelease(now, s, "")
		}
	case possibleHolder != s.previous:
		s.previous, s.previousUncertain, s.outstandingCall, s.nextCallAt = possibleHolder, true, 0, now
	}
}

// finishRelease ends the wait for the previous holder: it has released the span and returned
// the handover token, or it cannot hold the span any more and there is no token.
func (g *Grantor) finishRelease(now lease.Instant, s *leasedSpan, handover string) {
	s.previous, s.previousUncertain, s.handover, s.outstandingCall, s.nextCallAt = routing.Lifetime{}, false, handover, 0, now
	g.deferWrite(now)
}

func (g *Grantor) sendGrant(now lease.Instant, s *leasedSpan, state *targetState) {
	duration := g.options.Lease.Duration
	if now-g.termConfirmedAt > storeOutageAfter {
		duration = g.options.OutageLeaseDuration
		g.outageLeasesExpiry = now + g.options.CallTimeout + g.grantorLeaseDuration(duration)
	}
	s.outstandingCall, s.callSentAt, s.callLeaseDuration = g.registerCall(s), now, duration
	// The grant may arrive at any time up to CallTimeout after now.
	s.latestExpiry = max(s.latestExpiry, now+g.options.CallTimeout+g.grantorLeaseDuration(duration))
	g.noteCall(now, state)
	// Each grant, also a renewal, has its own token. A renewal may reach a later lifetime of
	// the holder before that lifetime is listed. The later lifetime counts as another holder,
	// which needs a higher token.
	g.actions = append(g.actions, &Grant{
		Call: s.outstandingCall, Target: state.Target, Span: s.Span, FencingToken: g.nextFencingToken(), LeaseDuration: duration, HandoverToken: s.handover,
	})
}

func (g *Grantor) sendRelease(now lease.Instant, s *leasedSpan, state *targetState) {
	s.outstandingCall, s.callSentAt = g.registerCall(s), now
	g.noteCall(now, state)
	g.actions = append(g.actions, &Release{Call: s.outstandingCall, Target: state.Target, Span: s.Span, FencingToken: s.releaseToken})
}

// registerCall registers a new call for a span and returns its number.
func (g *Grantor) registerCall(s *leasedSpan) uint64 {
	delete(g.spansByCall, s.outstandingCall)
	g.callsIssued++
	g.spansByCall[g.callsIssued] = s
	return g.callsIssued
}

// noteCall records that a target is called and, unless an earlier call is already reported as
// unanswered, the time.
func (g *Grantor) noteCall(now lease.Instant, state *targetState) {
	if !state.called {
		state.called = true
		if state.listed {
			g.calledTargets++
		}
	}
	if state.unansweredCalls == 0 {
		state.unansweredSince = max(state.unansweredSince, now)
	}
}

// probeSuspected checks whether suspected targets answer again, by releasing a key that they do
// not hold. Unlike a grant, this does not extend a lease. The fencing token of the release is 1,
// below all tokens of grants, so the target refuses no grant because of it.
func (g *Grantor) probeSuspected(now lease.Instant) {
	if now < g.nextProbesAt {
		return
	}
	sent := 0
	for id, state := range g.suspected {
		if state.probeCall != 0 || now < state.nextProbeAt || state.isReplaced() {
			continue
		}
		key, ok := g.keyNotHeldBy(state.Service, id)
		if !ok {
			continue
		}
		if sent++; sent > maxProbes {
			return
		}
		g.nextProbesAt = now + probeInterval
		g.callsIssued++
		state.probeCall, state.nextProbeAt = g.callsIssued, now+g.options.RetryInterval
		g.actions = append(g.actions, &Release{Call: state.probeCall, Target: state.Target, Span: routing.Span{From: key, To: key}, FencingToken: 1, Probe: true})
	}
}

// keyNotHeldBy returns a key that the target neither holds nor may still hold.
func (g *Grantor) keyNotHeldBy(service string, id routing.Lifetime) (int, bool) {
	for _, s := range g.spans[service] {
		if s.holder != id && s.previous != id {
			return s.From, true
		}
	}
	return 0, false
}

// ReportCallResult takes the result of a grant or a release, with the handover token that the
// target returned, and returns the actions that are due immediately because of it. The result
// of a call that is no longer expected only shows whether the target is reachable. The cost
// does not depend on the number of targets.
func (g *Grantor) ReportCallResult(now lease.Instant, target routing.Lifetime, call uint64, outcome Outcome, handover string) []Action {
	g.actions = nil
	if state := g.targets[target]; state != nil {
		g.noteReachability(now, state, outcome)
		if state.probeCall == call {
			state.probeCall = 0
			return nil
		}
	}
	s := g.spansByCall[call]
	delete(g.spansByCall, call)
	if s == nil || s.outstandingCall != call {
		return nil
	}
	g.applyCallResult(now, s, outcome, handover)
	if (outcome == Done || outcome == Ended) && !g.isSendingSuspended(now) {
		g.advanceSpan(now, s, false)
	}
	return g.actions
}

// renewInterval returns the time between an answered grant and its renewal.
func (g *Grantor) renewInterval(service string) time.Duration {
	return max(g.options.RenewInterval, min(time.Duration(len(g.spans[service]))*renewIntervalPerSpan, maxRenewInterval))
}

// noteReachability records whether a target answered a call.
func (g *Grantor) noteReachability(now lease.Instant, state *targetState, outcome Outcome) {
	if outcome != Unanswered {
		state.unansweredSince, state.unansweredCalls = now, 0
		delete(g.suspected, state.Lifetime())
		return
	}
	if state.unansweredCalls++; state.unansweredCalls >= suspectAfterCalls {
		g.suspected[state.Lifetime()] = state
	}
}

func (g *Grantor) applyCallResult(now lease.Instant, s *leasedSpan, outcome Outcome, handover string) {
	s.outstandingCall = 0
	if s.isMoving() {
		state := g.targets[s.previous]
		switch {
		case outcome == Done:
			g.finishRelease(now, s, handover)
		case outcome == Ended && state != nil && !s.previousUncertain:
			state.ended = true
			s.nextCallAt = now // another lifetime with its ID may have to be asked
			g.checkPrevious(now, s)
		default:
			s.nextCallAt = now + g.options.RetryInterval
		}
		return
	}
	switch outcome {
	case Done:
		// From now on, the holder refuses the grants of earlier grantors. The longest lease
		// that one of them can have granted before is of OutageLeaseDuration.
		if s.inherited {
			s.inherited, s.latestExpiry = false, now+g.grantorLeaseDuration(g.options.OutageLeaseDuration)
		}
		s.confirmedUntil, s.handover = s.callSentAt+s.callLeaseDuration, ""
		s.nextCallAt = s.callSentAt + g.renewInterval(s.service)
	case Ended:
		if state := g.targets[s.holder]; state != nil {
			state.ended = true
		}
		s.nextCallAt = now + g.options.RetryInterval
	case Fenced:
		// This grantor's own earlier calls for the span have lower tokens, so the token
		// that the target has seen is from a later term.
		g.laterTermSeen, g.confirmationRequiredAt = true, now
		s.nextCallAt = now + g.options.RetryInterval
	default:
		s.nextCallAt = now + g.options.RetryInterval
	}
}

// deferWrite requests a write of the record within deferredWriteDelay.
func (g *Grantor) deferWrite(now lease.Instant) {
	if g.deferredWriteSince == 0 {
		g.deferredWriteSince = now
	}
}

// writeIfDue adds a write of the record to the actions if the last one has to be repeated, moves
// are planned, the tokens of the term are used up, or other changes have waited for
// deferredWriteDelay.
func (g *Grantor) writeIfDue(now lease.Instant) {
	if g.writeInFlight || g.movesSuspended || now < g.nextWriteAt {
		return
	}
	if g.pendingRecord != nil { // the last write failed, or its outcome is unknown
		g.writeInFlight = true
		g.actions = append(g.actions, &WriteRecord{Record: g.pendingRecord})
		return
	}
	hasPlannedMoves, spanCount := false, 0
	for _, serviceSpans := range g.spans {
		spanCount += len(serviceSpans)
		for _, s := range serviceSpans {
			if s.plannedHolder != (routing.Lifetime{}) {
				hasPlannedMoves = true
				s.moveInWrite = true
			}
		}
	}
	term := g.term
	if g.isTermUsedUp() {
		term++
	}
	if !hasPlannedMoves && term == g.term && (g.deferredWriteSince == 0 || now-g.deferredWriteSince < deferredWriteDelay) {
		return
	}
	g.deferredWriteSince = 0
	g.writeInFlight = true
	g.nextWriteAt = now + time.Duration(spanCount)*writeIntervalPerSpan
	g.pendingRecord = g.buildRecord(now, term)
	g.actions = append(g.actions, &WriteRecord{Record: g.pendingRecord})
}

// ReportWriteResult takes the result of a write: whether the record is known to be in the
// store. If it is not, the same record is written again after RetryInterval.
func (g *Grantor) ReportWriteResult(now lease.Instant, stored bool) {
	g.writeInFlight = false
	if !stored {
		g.nextWriteAt = now + g.options.RetryInterval
		return
	}
	if g.pendingRecord != nil && g.pendingRecord.Term > g.term {
		g.beginTerm(g.pendingRecord.Term)
	}
	g.pendingRecord = nil
	for _, spans := range g.spans {
		for _, s := range spans {
			if s.moveInWrite {
				g.applyMove(now, s)
			}
		}
	}
	g.dropUnusedTargets()
}

// applyMove makes the planned holder of a span its holder after the record was stored.
func (g *Grantor) applyMove(now lease.Instant, s *leasedSpan) {
	s.reason, s.term = g.moveReason(now, s.holder), g.term
	if g.onMove != nil {
		g.onMove(s.service, s.Span, s.holder, s.plannedHolder, s.reason)
	}
	if previous := g.possibleHolder(s.holder, s.plannedHolder); previous != (routing.Lifetime{}) {
		s.previous, s.previousUncertain = previous, previous != s.holder
		s.previousLatestExpiry, s.previousInherited = s.latestExpiry, s.inherited
		s.releaseToken = g.nextFencingToken()
	}
	s.holder, s.plannedHolder, s.moveInWrite = s.plannedHolder, routing.Lifetime{}, false
	s.handover, s.outstandingCall, s.nextCallAt = "", 0, now
	s.latestExpiry, s.confirmedUntil, s.inherited = 0, 0, false
}

// moveReason returns the reason for moving a span away from the holder; see Entry.Reason.
func (g *Grantor) moveReason(now lease.Instant, holder routing.Lifetime) string {
	state := g.targets[holder]
	switch {
	case holder == (routing.Lifetime{}):
		return "first"
	case g.isReplaced(holder):
		return "ended"
	case state == nil || !state.listed:
		return "gone"
	case state.Draining:
		return "draining"
	case g.isUnreachable(now, state):
		return "unreachable"
	default:
		return "load"
	}
}

// mergeSpans merges adjacent spans of the same holder, so that fewer leases are renewed.
// The next grant of the merged span has a new token, which its holder accepts.
func (g *Grantor) mergeSpans(service string) {
	spans := g.spans[service]
	merged := spans[:0]
	for _, b := range spans {
		if len(merged) == 0 || !canMerge(merged[len(merged)-1], b) {
			merged = append(merged, b)
			continue
		}
		a := merged[len(merged)-1]
		a.To = b.To
		a.latestExpiry, a.confirmedUntil = max(a.latestExpiry, b.latestExpiry), min(a.confirmedUntil, b.confirmedUntil)
		a.inherited = a.inherited || b.inherited
		a.nextCallAt = min(a.nextCallAt, b.nextCallAt)
	}
	clear(spans[len(merged):])
	g.spans[service] = merged
}

func canMerge(a, b *leasedSpan) bool {
	return a.holder == b.holder && a.isSettled() && b.isSettled() && a.outstandingCall == 0 && b.outstandingCall == 0 && a.handover == "" && b.handover == ""
}

// Owners returns the spans of a service with the holders to which requests are routed. For
// spans that no holder serves now, it estimates the time until one does.
func (g *Grantor) Owners(now lease.Instant, service string) []routing.Owner {
	isolated := g.isIsolated(now)
	list := make([]routing.Owner, 0, len(g.spans[service]))
	for _, s := range g.spans[service] {
		o := routing.Owner{Span: s.Span, Holder: s.holder, Ready: true}
		state := g.targets[s.holder]
		switch {
		case s.holder == (routing.Lifetime{}) && !s.isMoving():
			o.Ready, o.ReadyIn = false, handoverEstimate
		case s.isMoving() && g.isReachable(now, s.previous):
			o.Ready, o.ReadyIn = false, handoverEstimate
		case s.isMoving():
			o.Ready, o.ReadyIn = false, max(g.previousLatestExpiry(s)-now, 0)+handoverEstimate
		case g.isReplaced(s.holder):
			o.Ready, o.ReadyIn = false, handoverEstimate
		case s.confirmedUntil == 0 && !s.inherited:
			o.Ready, o.ReadyIn = false, handoverEstimate
		case state != nil && g.isUnreachable(now, state) && !isolated:
			o.Ready, o.ReadyIn = false, max(g.latestExpiry(s)-now, 0)+handoverEstimate
		}
		list = append(list, o)
	}
	return list
}

func (g *Grantor) isReachable(now lease.Instant, id routing.Lifetime) bool {
	state := g.targets[id]
	return state != nil && !g.isUnreachable(now, state)
}

// TermConfirmationAge returns the time since the store last confirmed the term.
func (g *Grantor) TermConfirmationAge(now lease.Instant) time.Duration {
	return now - g.termConfirmedAt
}
