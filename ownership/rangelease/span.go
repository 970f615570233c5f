package rangelease

import (
	"time"

	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/routing"
)

// leasedSpan is one range of keys of one service with the state of its lease.
type leasedSpan struct {
	routing.Span
	service string
	// holder is the holder in the stored record, or the zero Lifetime if there is none yet.
	holder routing.Lifetime
	// previous may still hold the span. It is the zero Lifetime if only holder can.
	previous routing.Lifetime
	// previousUncertain is set if previous may be a later lifetime with the ID of the actual previous
	// holder. Its entry may be wrong, so only its release proves that the span is free.
	previousUncertain bool
	// plannedHolder is the next holder, which is not in the stored record yet.
	plannedHolder routing.Lifetime
	// moveInWrite is true while a record with plannedHolder as the holder is being written.
	moveInWrite bool

	// reason is why holder got the span, and term the term in which it did.
	reason string
	term   uint64

	// handover is the token that previous returned. It is sent with the grants until one
	// of them is carried out.
	handover string
	// latestExpiry is the time at which every lease that this grantor may have given to holder has
	// expired; 0 if it has sent no grant. Grantor.latestExpiry includes those of earlier grantors.
	latestExpiry lease.Instant
	// confirmedUntil is the time until which holder is known to have a lease; 0 if it has
	// not carried out a grant of this grantor.
	confirmedUntil lease.Instant
	// inherited is true if grants of an earlier grantor may still reach holder, until
	// Grantor.earlierLeasesExpiry.
	inherited bool
	// previousLatestExpiry and previousInherited are latestExpiry and inherited of previous.
	previousLatestExpiry lease.Instant
	previousInherited    bool
	// releaseToken is the fencing token of releases to previous.
	releaseToken uint64

	// outstandingCall is the number of the call without a result, or 0 if there is none;
	// callSentAt is when it was sent.
	outstandingCall uint64
	callSentAt      lease.Instant
	// callLeaseDuration is the lease duration of the outstanding grant.
	callLeaseDuration time.Duration
	// nextCallAt is the earliest time of the next call.
	nextCallAt lease.Instant
}

func (s *leasedSpan) isMoving() bool { return s.previous != (routing.Lifetime{}) }

// callOrder returns the time by which calls that are due are ordered. Keys that nobody serves
// until the call is answered come unservedHeadStart before others.
func (s *leasedSpan) callOrder() lease.Instant {
	if s.isMoving() || s.confirmedUntil == 0 && !s.inherited {
		return s.nextCallAt - unservedHeadStart
	}
	return s.nextCallAt
}

// isSettled reports whether the span has a holder and is not being moved or planned to be moved.
func (s *leasedSpan) isSettled() bool {
	return !s.isMoving() && s.plannedHolder == (routing.Lifetime{}) && s.holder != (routing.Lifetime{})
}

// split cuts the span so that sub becomes a span of its own. It returns all pieces in
// order, and subSpan, the piece that is sub. Each piece keeps the state of the lease; the
// answer to an outstanding call is no longer expected.
func (s *leasedSpan) split(sub routing.Span) (pieces []*leasedSpan, subSpan *leasedSpan) {
	piece := func(from, to int) *leasedSpan {
		p := *s
		p.Span = routing.Span{From: from, To: to}
		p.outstandingCall = 0
		return &p
	}
	if s.From < sub.From {
		pieces = append(pieces, piece(s.From, sub.From-1))
	}
	subSpan = piece(sub.From, sub.To)
	pieces = append(pieces, subSpan)
	if sub.To < s.To {
		pieces = append(pieces, piece(sub.To+1, s.To))
	}
	return pieces, subSpan
}
