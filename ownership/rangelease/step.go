package rangelease

import (
	"time"

	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/routing"
)

// Tick does what is due and returns the actions.
func (g *Granter) Tick(now lease.Instant) []Action {
	g.out = nil
	if g.silenced(now) {
		return nil
	}
	isolated := g.isolated(now)
	for service := range g.spans {
		for _, s := range g.spans[service] {
			g.advance(now, s, isolated)
		}
		g.merge(service)
	}
	g.probe(now)
	g.write(now)
	return g.out
}

// silenced reports whether nothing may be sent.
func (g *Granter) silenced(now lease.Instant) bool {
	return now-g.storeAt > g.o.Blind || g.fencedAt > 0 && g.storeAt <= g.fencedAt
}

// advance does what is due for one span.
func (g *Granter) advance(now lease.Instant, s *span, isolated bool) {
	if s.moving() {
		g.checkPrevious(now, s)
	}
	if s.call != 0 || now < s.due {
		return
	}
	if s.moving() {
		g.sendRelease(now, s)
		return
	}
	if p := g.peers[s.holder]; p != nil && !p.ended && (s.next == (routing.Lifetime{}) || s.until != 0) {
		// A grant to a target that may be dead would only delay its expiry.
		if p.unanswered >= doubtAfter && !isolated {
			return
		}
		g.sendGrant(now, s, p)
	}
}

// checkPrevious ends the wait for a previous holder whose lease has run out or that
// has ended. Renewals under its name may have reached a later lifetime meanwhile.
func (g *Granter) checkPrevious(now lease.Instant, s *span) {
	later := s.previous
	if g.ended(s.previous) {
		later = g.mayHold(s.previous, s.holder)
	}
	switch {
	case now >= s.previousUntil || later == (routing.Lifetime{}):
		g.released(now, s, "")
	case later != s.previous:
		s.previous, s.call, s.due = later, 0, now
	}
}

// released ends the wait for the previous holder.
func (g *Granter) released(now lease.Instant, s *span, handover string) {
	s.previous, s.handover, s.call, s.due = routing.Lifetime{}, handover, 0, now
	if g.clearSince == 0 {
		g.clearSince = now
	}
}

func (g *Granter) sendGrant(now lease.Instant, s *span, p *peer) {
	hold := g.o.Terms.Duration
	if now-g.storeAt > outageAfter {
		hold = g.o.OutageHold
		g.longUntil = now + g.o.CallTimeout + g.leaseLength(hold)
	}
	s.call, s.sent, s.hold = g.newCall(s), now, hold
	// Until the call is answered it may arrive as late as it is given up.
	s.until = max(s.until, now+g.o.CallTimeout+g.leaseLength(hold))
	g.called(now, p)
	// Each grant has a token of its own: a renewal may reach a later lifetime of the
	// holder before the list names it, which is then another holder.
	g.out = append(g.out, &Grant{
		Call: s.call, Target: p.Target, Span: s.Span, Fence: g.fence(), Hold: hold, Handover: s.handover,
	})
}

func (g *Granter) sendRelease(now lease.Instant, s *span) {
	p := g.peers[s.previous]
	if p == nil || p.ended {
		return
	}
	s.call, s.sent = g.newCall(s), now
	g.called(now, p)
	g.out = append(g.out, &Release{Call: s.call, Target: p.Target, Span: s.Span, Fence: s.releaseFence})
}

// newCall returns the number of a call for a span.
func (g *Granter) newCall(s *span) uint64 {
	delete(g.byCall, s.call)
	g.calls++
	g.byCall[g.calls] = s
	return g.calls
}

// called notes the first of the calls to a target that have no answer yet.
func (g *Granter) called(now lease.Instant, p *peer) {
	if !p.called {
		p.called = true
		if p.listed {
			g.callable++
		}
	}
	if p.unanswered == 0 {
		p.answered = max(p.answered, now)
	}
}

// probe asks targets that do not answer for a sign of life, by the release of
// a key that they do not hold. Unlike a grant, it does not extend a lease.
func (g *Granter) probe(now lease.Instant) {
	for id, p := range g.doubted {
		if p.probe != 0 || now < p.probeDue || p.ended {
			continue
		}
		key, ok := g.foreignKey(p.Service, id)
		if !ok {
			continue
		}
		g.calls++
		p.probe, p.probeDue = g.calls, now+g.o.Retry
		g.out = append(g.out, &Release{Call: p.probe, Target: p.Target, Span: routing.Span{From: key, To: key}, Fence: 1})
	}
}

// foreignKey returns a key that the target neither holds nor may still hold.
func (g *Granter) foreignKey(service string, id routing.Lifetime) (int, bool) {
	for _, s := range g.spans[service] {
		if s.holder != id && s.previous != id {
			return s.From, true
		}
	}
	return 0, false
}

// Answered takes the result of a grant or a release, and returns the actions that
// are due at once because of it. Results of calls that are no longer waited for
// only tell whether the target is reachable. The cost does not depend on the number
// of targets.
func (g *Granter) Answered(now lease.Instant, target routing.Lifetime, call uint64, outcome Outcome, handover string) []Action {
	g.out = nil
	if p := g.peers[target]; p != nil {
		g.heard(now, p, outcome)
		if p.probe == call {
			p.probe = 0
			return nil
		}
	}
	s := g.byCall[call]
	delete(g.byCall, call)
	if s == nil || s.call != call {
		return nil
	}
	g.answered(now, s, outcome, handover)
	if outcome == Done && !g.silenced(now) {
		g.advance(now, s, false)
	}
	return g.out
}

// renewAfter is the time between an answered grant and its renewal.
func (g *Granter) renewAfter(service string) time.Duration {
	return max(g.o.Renew, min(time.Duration(len(g.spans[service]))*renewPerSpan, longestRenew))
}

// heard notes whether a target answered a call.
func (g *Granter) heard(now lease.Instant, p *peer, outcome Outcome) {
	if outcome != Unanswered {
		p.answered, p.unanswered = now, 0
		delete(g.doubted, p.Lifetime())
		return
	}
	if p.unanswered++; p.unanswered >= doubtAfter {
		g.doubted[p.Lifetime()] = p
	}
}

func (g *Granter) answered(now lease.Instant, s *span, outcome Outcome, handover string) {
	s.call = 0
	if s.moving() {
		if outcome == Done {
			g.released(now, s, handover)
		} else {
			s.due = now + g.o.Retry
		}
		return
	}
	switch outcome {
	case Done:
		// From now on the holder refuses grants of earlier granters.
		if s.inherited {
			s.inherited, s.until = false, now+g.leaseLength(g.o.OutageHold)
		}
		s.confirmed, s.handover = s.sent+s.hold, ""
		s.due = s.sent + g.renewAfter(s.service)
	case Ended:
		if p := g.peers[s.holder]; p != nil {
			p.ended = true
		}
		s.due = now + g.o.Retry
	case Fenced:
		// This granter's own earlier orders for the span have lower tokens.
		g.fenced, g.fencedAt = true, now
		s.due = now + g.o.Retry
	default:
		s.due = now + g.o.Retry
	}
}

// write stores planned moves, and finished ones when they have waited long enough.
func (g *Granter) write(now lease.Instant) {
	if g.writing || now < g.writeDue {
		return
	}
	if g.pending != nil { // the outcome of the last write is unknown
		g.writing = true
		g.out = append(g.out, &Write{Record: g.pending})
		return
	}
	planned, spans := false, 0
	for _, of := range g.spans {
		spans += len(of)
		for _, s := range of {
			if s.next != (routing.Lifetime{}) {
				planned = true
				s.writing = true
			}
		}
	}
	if !planned && (g.clearSince == 0 || now-g.clearSince < clearAfter) {
		return
	}
	g.clearSince = 0
	g.writing = true
	g.writeDue = now + time.Duration(spans)*writePerSpan
	g.pending = g.record(now)
	g.out = append(g.out, &Write{Record: g.pending})
}

// Stored takes the result of a write: whether the store has the record. A write
// with an unknown outcome or that was refused for the time being is repeated.
func (g *Granter) Stored(now lease.Instant, ok bool) {
	g.writing = false
	if !ok {
		g.writeDue = now + g.o.Retry
		return
	}
	g.pending = nil
	for _, spans := range g.spans {
		for _, s := range spans {
			if s.writing {
				g.move(now, s)
			}
		}
	}
	g.forget()
}

// move puts a stored change of the holder into effect.
func (g *Granter) move(now lease.Instant, s *span) {
	s.reason, s.term = g.reason(now, s.holder), g.term
	if g.onMove != nil {
		g.onMove(s.service, s.Span, s.holder, s.next, s.reason)
	}
	if previous := g.mayHold(s.holder, s.next); previous != (routing.Lifetime{}) {
		s.previous, s.previousUntil = previous, s.until
		s.releaseFence = g.fence()
	}
	s.holder, s.next, s.writing = s.next, routing.Lifetime{}, false
	s.handover, s.call, s.due = "", 0, now
	s.until, s.confirmed, s.inherited = 0, 0, false
}

// reason says why a holder gives up a span.
func (g *Granter) reason(now lease.Instant, holder routing.Lifetime) string {
	p := g.peers[holder]
	switch {
	case holder == (routing.Lifetime{}):
		return "first"
	case g.ended(holder):
		return "ended"
	case p == nil || !p.listed:
		return "gone"
	case p.Draining:
		return "draining"
	case g.lost(now, p):
		return "unreachable"
	default:
		return "load"
	}
}

// merge joins neighbouring spans of one holder, so that fewer leases are
// renewed. The joined span gets a new token, which its holder accepts.
func (g *Granter) merge(service string) {
	spans := g.spans[service]
	kept := spans[:0]
	for _, b := range spans {
		if len(kept) == 0 || !joinable(kept[len(kept)-1], b) {
			kept = append(kept, b)
			continue
		}
		a := kept[len(kept)-1]
		a.To = b.To
		a.until, a.confirmed = max(a.until, b.until), min(a.confirmed, b.confirmed)
		a.inherited = a.inherited || b.inherited
		a.due = min(a.due, b.due)
	}
	clear(spans[len(kept):])
	g.spans[service] = kept
}

func joinable(a, b *span) bool {
	return a.holder == b.holder && a.settled() && b.settled() && a.call == 0 && b.call == 0 && a.handover == "" && b.handover == ""
}

// Owners returns the spans of a service as callers should be routed.
func (g *Granter) Owners(now lease.Instant, service string) []routing.Owner {
	isolated := g.isolated(now)
	list := make([]routing.Owner, 0, len(g.spans[service]))
	for _, s := range g.spans[service] {
		o := routing.Owner{Span: s.Span, Holder: s.holder, Ready: true}
		p := g.peers[s.holder]
		switch {
		case s.holder == (routing.Lifetime{}):
			o.Ready, o.ReadyIn = false, handoverTime
		case s.moving() && g.reachable(now, s.previous):
			o.Ready, o.ReadyIn = false, handoverTime
		case s.moving():
			o.Ready, o.ReadyIn = false, max(s.previousUntil-now, 0)+handoverTime
		case g.ended(s.holder):
			o.Ready, o.ReadyIn = false, handoverTime
		case s.confirmed == 0 && !s.inherited:
			o.Ready, o.ReadyIn = false, handoverTime
		case p != nil && g.lost(now, p) && !isolated:
			o.Ready, o.ReadyIn = false, max(s.until-now, 0)+handoverTime
		}
		list = append(list, o)
	}
	return list
}

func (g *Granter) reachable(now lease.Instant, id routing.Lifetime) bool {
	p := g.peers[id]
	return p != nil && !g.lost(now, p)
}

// StoreAge is the time since the store last confirmed the term.
func (g *Granter) StoreAge(now lease.Instant) time.Duration { return now - g.storeAt }
