package rangelease

import (
	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/routing"
	"github.com/boragegate/boragegate/store"
)

// A store that is restored from an older copy loses the terms and the moves of keys that were
// written after the copy. These rules keep two targets from holding a key:
//
//   - The terms of an era of the store begin at FirstTerm, so they and the fencing tokens that are
//     made from them are above those of all earlier eras, including the lost ones.
//   - A grantor that learns of a later era knows the holders better than the record does. It
//     suspends moves and goes on renewing leases, which its successor has to expect in any case,
//     until it has replaced the restored record by its own under a term of the new era. If its term is
//     in doubt, it stops instead: the restore may have lost the record of a successor that has moved
//     keys since.
//   - A successor that finds a record of an earlier era, or none although there was a restore, does not
//     know who holds the keys, also of services that the record lacks. It grants them when all leases of
//     earlier grantors have expired.

// eraShift is the position of the era in a term. 65,536 terms per era and 8,191 eras fit below
// maxTerm.
const eraShift = 16

// FirstTerm returns the lowest term of an era of the store. Eras that do not fit share the highest
// value, so the next term has to be above all known ones too.
func FirstTerm(era store.Era) uint64 { return uint64(min(era, maxTerm>>eraShift)) << eraShift }

// unknownTarget stands for a previous holder of which only the expiry of its lease is known.
var unknownTarget = routing.Lifetime{Incarnation: -1}

// MarkHoldersUnknown marks that any target may hold the keys, because they may have been moved
// since the record was written, or assigned if it does not have their service. A grantor waits until
// the leases of earlier grantors have expired before it grants the keys to the holders in the record,
// or to anybody.
func (r *Record) MarkHoldersUnknown() {
	r.HoldersUnknown = true
	for _, entries := range r.Services {
		for i := range entries {
			entries[i].Previous = &unknownTarget
		}
	}
}

// unassignedSpan returns the span of a service that the grantor has no spans of.
func (g *Grantor) unassignedSpan(service string) *leasedSpan {
	s := &leasedSpan{Span: routing.Span{To: routing.KeyCount - 1}, service: service}
	if g.holdersUnknown {
		s.previous, s.previousInherited = unknownTarget, true
	}
	return s
}

// endUnknownHolders removes the mark of the record when the leases of unknown holders have expired.
func (g *Grantor) endUnknownHolders(now lease.Instant) {
	if !g.holdersUnknown || now < g.earlierLeasesExpiry {
		return
	}
	g.holdersUnknown = false
	g.deferWrite(now)
}

// SuspendMoves is called when the store is found to have been restored from an older copy. Until
// BeginTerm is called, the grantor writes no record and only renews leases.
func (g *Grantor) SuspendMoves() {
	g.movesSuspended, g.pendingRecord, g.writeInFlight = true, nil, false
	for _, spans := range g.spans {
		for _, s := range spans {
			s.moveInWrite = false // the write may be lost, so the move is written again
		}
	}
}

// RecordForTerm returns the record to store under a new term while moves are suspended. It has the
// holders as this grantor knows them.
func (g *Grantor) RecordForTerm(now lease.Instant, term uint64) *Record {
	return g.buildRecord(now, term)
}

// BeginTerm reports that the store has stored the result of RecordForTerm, by a call that was sent
// at the given time, and ends the suspension of moves.
func (g *Grantor) BeginTerm(sent lease.Instant, term uint64) {
	g.movesSuspended = false
	g.ReportTermConfirmed(sent)
	g.beginTerm(term)
}

// beginTerm numbers the fencing tokens under a new term, which the store has.
func (g *Grantor) beginTerm(term uint64) {
	g.term, g.tokensIssued = term, 0
	for _, spans := range g.spans {
		for _, s := range spans {
			if s.isMoving() {
				s.releaseToken = g.nextFencingToken()
			}
		}
	}
}
