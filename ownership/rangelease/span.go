package rangelease

import (
	"time"

	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/routing"
)

// leasedSpan is one range of keys of one service with what is known about its lease.
type leasedSpan struct {
	routing.Span
	service string
	// holder is the holder in the stored record; zero if the span has none yet.
	holder routing.Lifetime
	// previous may still hold the span; zero if nobody but holder can.
	previous routing.Lifetime
	// plannedHolder is the planned holder that is not in the stored record yet.
	plannedHolder routing.Lifetime
	// moveInWrite says that the record on its way to the store has next as holder.
	moveInWrite bool

	// reason says why holder got the span, and term in which term.
	reason string
	term   uint64

	// handover goes with the grants until the first is answered.
	handover string
	// latestExpiry is the end of every lease that holder may have.
	latestExpiry lease.Instant
	// confirmedUntil is the end of the lease that holder has at least.
	confirmedUntil lease.Instant
	// inherited says that grants of an earlier granter may still reach holder.
	inherited bool
	// previousLatestExpiry is the end of every lease that previous may have.
	previousLatestExpiry lease.Instant
	// releaseToken is the token of releases to previous.
	releaseToken uint64

	// outstandingCall is the outstanding call, 0 if there is none; sent is its time.
	outstandingCall uint64
	callSentAt      lease.Instant
	// callLeaseDuration is the hold time of the outstanding grant.
	callLeaseDuration time.Duration
	// nextCallAt is the time of the next call.
	nextCallAt lease.Instant
}

func (s *leasedSpan) isMoving() bool { return s.previous != (routing.Lifetime{}) }

// isSettled spans can be split, merged and moved.
func (s *leasedSpan) isSettled() bool {
	return !s.isMoving() && s.plannedHolder == (routing.Lifetime{}) && s.holder != (routing.Lifetime{})
}

// split cuts the span so that sub becomes a span of its own, and returns all
// pieces in order with the piece that is sub. Each piece keeps what is known of
// the lease; an outstanding call is no longer waited for.
func (s *leasedSpan) split(sub routing.Span) (pieces []*leasedSpan, middle *leasedSpan) {
	piece := func(from, to int) *leasedSpan {
		p := *s
		p.Span = routing.Span{From: from, To: to}
		p.outstandingCall = 0
		return &p
	}
	if s.From < sub.From {
		pieces = append(pieces, piece(s.From, sub.From-1))
	}
	middle = piece(sub.From, sub.To)
	pieces = append(pieces, middle)
	if sub.To < s.To {
		pieces = append(pieces, piece(sub.To+1, s.To))
	}
	return pieces, middle
}
