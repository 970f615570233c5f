package rangelease

import (
	"time"

	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/routing"
)

// Tick does what is due and returns the actions.
func (g *Granter) Tick(now lease.Instant) []Action {
	g.actions = nil
	if g.sendingSuspended(now) {
		return nil
	}
	isolated := g.isIsolated(now)
	for service := range g.spans {
		for _, s := range g.spans[service] {
			g.advanceSpan(now, s, isolated)
		}
		g.mergeSpans(service)
	}
	g.probeSuspected(now)
	g.writeIfDue(now)
	return g.actions
}

// sendingSuspended reports whether nothing may be sent.
func (g *Granter) sendingSuspended(now lease.Instant) bool {
	return now-g.termConfirmedAt > g.options.TermConfirmationTimeout || g.confirmationRequiredAt > 0 && g.termConfirmedAt <= g.confirmationRequiredAt
}

// advanceSpan does what is due for one span.
func (g *Granter) advanceSpan(now lease.Instant, s *leasedSpan, isolated bool) {
	if s.isMoving() {
		g.checkPrevious(now, s)
	}
	if s.outstandingCall != 0 || now < s.nextCallAt {
		return
	}
	if s.isMoving() {
		g.sendRelease(now, s)
		return
	}
	if p := g.targets[s.holder]; p != nil && !p.ended && (s.plannedHolder == (routing.Lifetime{}) || s.latestExpiry != 0) {
		// A grant to a target that may be dead would only delay its expiry.
		if p.unansweredCalls >= suspectAfterCalls && !isolated {
			return
		}
		g.sendGrant(now, s, p)
	}
}

// checkPrevious ends the wait for a previous holder whose lease has run out or that
// has ended. Renewals under its name may have reached a later lifetime meanwhile.
func (g *Granter) checkPrevious(now lease.Instant, s *leasedSpan) {
	later := s.previous
	if g.hasEnded(s.previous) {
		later = g.possibleHolder(s.previous, s.holder)
	}
	switch {
	case now >= s.previousLatestExpiry || later == (routing.Lifetime{}):
		g.finishRelease(now, s, "")
	case later != s.previous:
		s.previous, s.outstandingCall, s.nextCallAt = later, 0, now
	}
}

// finishRelease ends the wait for the previous holder.
func (g *Granter) finishRelease(now lease.Instant, s *leasedSpan, handover string) {
	s.previous, s.handover, s.outstandingCall, s.nextCallAt = routing.Lifetime{}, handover, 0, now
	if g.deferredWriteSince == 0 {
		g.deferredWriteSince = now
	}
}

func (g *Granter) sendGrant(now lease.Instant, s *leasedSpan, p *targetState) {
	hold := g.options.LeaseTerms.Duration
	if now-g.termConfirmedAt > storeOutageAfter {
		hold = g.options.OutageLeaseDuration
		g.outageLeasesUntil = now + g.options.CallTimeout + g.grantorLeaseDuration(hold)
	}
	s.outstandingCall, s.callSentAt, s.callLeaseDuration = g.registerCall(s), now, hold
	// Until the call is answered it may arrive as late as it is given up.
	s.latestExpiry = max(s.latestExpiry, now+g.options.CallTimeout+g.grantorLeaseDuration(hold))
	g.noteCall(now, p)
	// Each grant has a token of its own: a renewal may reach a later lifetime of the
	// holder before the list names it, which is then another holder.
	g.actions = append(g.actions, &Grant{
		Call: s.outstandingCall, Target: p.Target, Span: s.Span, FencingToken: g.nextFencingToken(), LeaseDuration: hold, Handover: s.handover,
	})
}

func (g *Granter) sendRelease(now lease.Instant, s *leasedSpan) {
	p := g.targets[s.previous]
	if p == nil || p.ended {
		return
	}
	s.outstandingCall, s.callSentAt = g.registerCall(s), now
	g.noteCall(now, p)
	g.actions = append(g.actions, &Release{Call: s.outstandingCall, Target: p.Target, Span: s.Span, FencingToken: s.releaseToken})
}

// registerCall returns the number of a call for a span.
func (g *Granter) registerCall(s *leasedSpan) uint64 {
	delete(g.spansByCall, s.outstandingCall)
	g.callsIssued++
	g.spansByCall[g.callsIssued] = s
	return g.callsIssued
}

// noteCall notes the first of the calls to a target that have no answer yet.
func (g *Granter) noteCall(now lease.Instant, p *targetState) {
	if !p.called {
		p.called = true
		if p.listed {
			g.calledTargets++
		}
	}
	if p.unansweredCalls == 0 {
		p.answeredAt = max(p.answeredAt, now)
	}
}

// probeSuspected asks targets that do not answer for a sign of life, by the release of
// a key that they do not hold. Unlike a grant, it does not extend a lease.
func (g *Granter) probeSuspected(now lease.Instant) {
	for id, p := range g.suspected {
		if p.probeCall != 0 || now < p.nextProbeAt || p.ended {
			continue
		}
		key, ok := g.keyNotHeldBy(p.Service, id)
		if !ok {
			continue
		}
		g.callsIssued++
		p.probeCall, p.nextProbeAt = g.callsIssued, now+g.options.RetryInterval
		g.actions = append(g.actions, &Release{Call: p.probeCall, Target: p.Target, Span: routing.Span{From: key, To: key}, FencingToken: 1})
	}
}

// keyNotHeldBy returns a key that the target neither holds nor may still hold.
func (g *Granter) keyNotHeldBy(service string, id routing.Lifetime) (int, bool) {
	for _, s := range g.spans[service] {
		if s.holder != id && s.previous != id {
			return s.From, true
		}
	}
	return 0, false
}

// ReportCallResult takes the result of a grant or a release, and returns the actions that
// are due at once because of it. Results of calls that are no longer waited for
// only tell whether the target is reachable. The cost does not depend on the number
// of targets.
func (g *Granter) ReportCallResult(now lease.Instant, target routing.Lifetime, call uint64, outcome Outcome, handover string) []Action {
	g.actions = nil
	if p := g.targets[target]; p != nil {
		g.noteReachability(now, p, outcome)
		if p.probeCall == call {
			p.probeCall = 0
			return nil
		}
	}
	s := g.spansByCall[call]
	delete(g.spansByCall, call)
	if s == nil || s.outstandingCall != call {
		return nil
	}
	g.applyCallResult(now, s, outcome, handover)
	if outcome == Done && !g.sendingSuspended(now) {
		g.advanceSpan(now, s, false)
	}
	return g.actions
}

// renewInterval is the time between an answered grant and its renewal.
func (g *Granter) renewInterval(service string) time.Duration {
	return max(g.options.RenewInterval, min(time.Duration(len(g.spans[service]))*renewIntervalPerSpan, maxRenewInterval))
}

// noteReachability notes whether a target answered a call.
func (g *Granter) noteReachability(now lease.Instant, p *targetState, outcome Outcome) {
	if outcome != Unanswered {
		p.answeredAt, p.unansweredCalls = now, 0
		delete(g.suspected, p.Lifetime())
		return
	}
	if p.unansweredCalls++; p.unansweredCalls >= suspectAfterCalls {
		g.suspected[p.Lifetime()] = p
	}
}

func (g *Granter) applyCallResult(now lease.Instant, s *leasedSpan, outcome Outcome, handover string) {
	s.outstandingCall = 0
	if s.isMoving() {
		if outcome == Done {
			g.finishRelease(now, s, handover)
		} else {
			s.nextCallAt = now + g.options.RetryInterval
		}
		return
	}
	switch outcome {
	case Done:
		// From now on the holder refuses grants of earlier granters.
		if s.inherited {
			s.inherited, s.latestExpiry = false, now+g.grantorLeaseDuration(g.options.OutageLeaseDuration)
		}
		s.confirmedUntil, s.handover = s.callSentAt+s.callLeaseDuration, ""
		s.nextCallAt = s.callSentAt + g.renewInterval(s.service)
	case Ended:
		if p := g.targets[s.holder]; p != nil {
			p.ended = true
		}
		s.nextCallAt = now + g.options.RetryInterval
	case Fenced:
		// This granter's own earlier orders for the span have lower tokens.
		g.fenced, g.confirmationRequiredAt = true, now
		s.nextCallAt = now + g.options.RetryInterval
	default:
		s.nextCallAt = now + g.options.RetryInterval
	}
}

// writeIfDue stores planned moves, and finished ones when they have waited long enough.
func (g *Granter) writeIfDue(now lease.Instant) {
	if g.writeInFlight || now < g.nextWriteAt {
		return
	}
	if g.pendingRecord != nil { // the outcome of the last write is unknown
		g.writeInFlight = true
		g.actions = append(g.actions, &WriteRecord{Record: g.pendingRecord})
		return
	}
	planned, spans := false, 0
	for _, of := range g.spans {
		spans += len(of)
		for _, s := range of {
			if s.plannedHolder != (routing.Lifetime{}) {
				planned = true
				s.moveInWrite = true
			}
		}
	}
	if !planned && (g.deferredWriteSince == 0 || now-g.deferredWriteSince < deferredWriteDelay) {
		return
	}
	g.deferredWriteSince = 0
	g.writeInFlight = true
	g.nextWriteAt = now + time.Duration(spans)*writeIntervalPerSpan
	g.pendingRecord = g.buildRecord(now)
	g.actions = append(g.actions, &WriteRecord{Record: g.pendingRecord})
}

// ReportWriteResult takes the result of a write: whether the store has the record. A write
// with an unknown outcome or that was refused for the time being is repeated.
func (g *Granter) ReportWriteResult(now lease.Instant, ok bool) {
	g.writeInFlight = false
	if !ok {
		g.nextWriteAt = now + g.options.RetryInterval
		return
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

// applyMove puts a stored change of the holder into effect.
func (g *Granter) applyMove(now lease.Instant, s *leasedSpan) {
	s.reason, s.term = g.moveReason(now, s.holder), g.term
	if g.onMove != nil {
		g.onMove(s.service, s.Span, s.holder, s.plannedHolder, s.reason)
	}
	if previous := g.possibleHolder(s.holder, s.plannedHolder); previous != (routing.Lifetime{}) {
		s.previous, s.previousLatestExpiry = previous, s.latestExpiry
		s.releaseToken = g.nextFencingToken()
	}
	s.holder, s.plannedHolder, s.moveInWrite = s.plannedHolder, routing.Lifetime{}, false
	s.handover, s.outstandingCall, s.nextCallAt = "", 0, now
	s.latestExpiry, s.confirmedUntil, s.inherited = 0, 0, false
}

// moveReason says why a holder gives up a span.
func (g *Granter) moveReason(now lease.Instant, holder routing.Lifetime) string {
	p := g.targets[holder]
	switch {
	case holder == (routing.Lifetime{}):
		return "first"
	case g.hasEnded(holder):
		return "ended"
	case p == nil || !p.listed:
		return "gone"
	case p.Draining:
		return "draining"
	case g.isUnreachable(now, p):
		return "unreachable"
	default:
		return "load"
	}
}

// mergeSpans joins neighbouring spans of one holder, so that fewer leases are
// renewed. The joined span gets a new token, which its holder accepts.
func (g *Granter) mergeSpans(service string) {
	spans := g.spans[service]
	kept := spans[:0]
	for _, b := range spans {
		if len(kept) == 0 || !mergeable(kept[len(kept)-1], b) {
			kept = append(kept, b)
			continue
		}
		a := kept[len(kept)-1]
		a.To = b.To
		a.latestExpiry, a.confirmedUntil = max(a.latestExpiry, b.latestExpiry), min(a.confirmedUntil, b.confirmedUntil)
		a.inherited = a.inherited || b.inherited
		a.nextCallAt = min(a.nextCallAt, b.nextCallAt)
	}
	clear(spans[len(kept):])
	g.spans[service] = kept
}

func mergeable(a, b *leasedSpan) bool {
	return a.holder == b.holder && a.isSettled() && b.isSettled() && a.outstandingCall == 0 && b.outstandingCall == 0 && a.handover == "" && b.handover == ""
}

// Owners returns the spans of a service as callers should be routed.
func (g *Granter) Owners(now lease.Instant, service string) []routing.Owner {
	isolated := g.isIsolated(now)
	list := make([]routing.Owner, 0, len(g.spans[service]))
	for _, s := range g.spans[service] {
		o := routing.Owner{Span: s.Span, Holder: s.holder, Ready: true}
		p := g.targets[s.holder]
		switch {
		case s.holder == (routing.Lifetime{}):
			o.Ready, o.ReadyIn = false, handoverEstimate
		case s.isMoving() && g.isReachable(now, s.previous):
			o.Ready, o.ReadyIn = false, handoverEstimate
		case s.isMoving():
			o.Ready, o.ReadyIn = false, max(s.previousLatestExpiry-now, 0)+handoverEstimate
		case g.hasEnded(s.holder):
			o.Ready, o.ReadyIn = false, handoverEstimate
		case s.confirmedUntil == 0 && !s.inherited:
			o.Ready, o.ReadyIn = false, handoverEstimate
		case p != nil && g.isUnreachable(now, p) && !isolated:
			o.Ready, o.ReadyIn = false, max(s.latestExpiry-now, 0)+handoverEstimate
		}
		list = append(list, o)
	}
	return list
}

func (g *Granter) isReachable(now lease.Instant, id routing.Lifetime) bool {
	p := g.targets[id]
	return p != nil && !g.isUnreachable(now, p)
}

// TermConfirmationAge is the time since the store last confirmed the term.
func (g *Granter) TermConfirmationAge(now lease.Instant) time.Duration {
	return now - g.termConfirmedAt
}
