package rangelease

import (
	"time"

	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/routing"
)

// span is one range of keys of one service with the state of its lease.
type span struct {
	routing.Span
	service string
	// holder is the holder in the stored record, or the zero Lifetime if there is none
	// yet.
	holder routing.Lifetime
	// previous may still hold the span. It is the zero Lifetime if only holder can.
	previous routing.Lifetime
	// next is the planned holder that is not in the stored record yet.
	next routing.Lifetime
	// writing is true while a record with next as the holder is being written.
	writing bool

	// reason is why holder got the span, and term the term in which it did.
	reason string
	term   uint64

	// handover is sent with the grants until the first of them is answered.
	handover string
	// until is the time at which every lease that holder may have has expired.
	until lease.Instant
	// confirmed is the time until which holder is known to have a lease.
	confirmed lease.Instant
	// inherited is true if grants of an earlier granter may still reach holder.
	inherited bool
	// previousUntil is the time at which every lease that previous may have has expired.
	previousUntil lease.Instant
	// releaseFence is the fencing token of releases to previous.
	releaseFence uint64

	// call is the outstanding call, or 0 if there is none; sent is when it was sent.
	call uint64
	sent lease.Instant
	// hold is the lease duration of the outstanding grant.
	hold time.Duration
	// due is the time of the next call.
	due lease.Instant
}

func (s *span) moving() bool { return s.previous != (routing.Lifetime{}) }

// settled reports whether the span can be split, merged or moved.
func (s *span) settled() bool {
	return !s.moving() && s.next == (routing.Lifetime{}) && s.holder != (routing.Lifetime{})
}

// split cuts the span so that sub becomes a span of its own. It returns all pieces in
// order, and the piece that is sub. Each piece keeps the state of the lease; the answer to
// an outstanding call is no longer expected.
func (s *span) split(sub routing.Span) (pieces []*span, middle *span) {
	piece := func(from, to int) *span {
		p := *s
		p.Span = routing.Span{From: from, To: to}
		p.call = 0
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
