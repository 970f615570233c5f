// Package ratelimit keeps the requests that all instances together send to a target within the rate that the
// target allows.
//
// A target names its limit in its responses. The instance that receives one reports it to the leader, which tells
// all others. The leader has one token bucket for each limited target (Allocator). An instance asks it for a permit
// for each request that it has for the target, and sends the request when it gets one (Permits). So the permits of
// all instances add up to the limit however many instances there are and however the load is spread over them,
// and an instance without requests for the target uses no part of the limit. An instance without a leader sends
// at a small part of the limit that needs no permits.
//
// The package uses no clock, no goroutines and no network. The parameter now of its functions is the time since a
// fixed point, the same for all calls in a process. Values are not safe for concurrent use.
package ratelimit

import (
	"time"

	"github.com/boragegate/boragegate/routing"
)

// Limit is what an instance knows about the rate limit of one target. A limit is in force while the last response
// that named it was received later than the request was sent whose response named none. Responses that may have
// crossed therefore never end a limit.
type Limit struct {
	// PerSecond is the number of requests per second that the target takes from all instances together.
	PerSecond float64
	// NamedAt is the time at which the last response that named the limit was received; 0 if there was none.
	NamedAt time.Duration
	// EndedAt is the time at which the last request was sent whose response named no limit; 0 if there was none
	// since the limit was first named.
	EndedAt time.Duration
}

// InForce reports whether the limit applies.
func (l *Limit) InForce() bool { return l.NamedAt > l.EndedAt }

// ObserveNamed records a response that names the limit, received at the given time. It reports whether this changes
// what applies.
func (l *Limit) ObserveNamed(receivedAt time.Duration, perSecond float64) bool {
	before := *l
	if receivedAt >= l.NamedAt {
		l.NamedAt, l.PerSecond = receivedAt, perSecond
	}
	return l.differs(&before)
}

// ObserveUnnamed records a response that names no limit, to a request that was sent at the given time. It reports
// whether this changes what applies.
func (l *Limit) ObserveUnnamed(sentAt time.Duration) bool {
	before := *l
	if l.NamedAt > 0 {
		l.EndedAt = max(l.EndedAt, sentAt)
	}
	return l.differs(&before)
}

// differs reports whether the limit applies in another way than before.
func (l *Limit) differs(before *Limit) bool {
	if !l.InForce() {
		return before.InForce()
	}
	return !before.InForce() || before.PerSecond != l.PerSecond
}

// Notice is a Limit as instances send it to each other. Their clocks differ, so it has ages instead of times.
type Notice struct {
	routing.Lifetime
	PerSecond float64       `msgpack:"r"`
	NamedAge  time.Duration `msgpack:"a"`
	// EndedAge is 0 if no response without the limit is known.
	EndedAge time.Duration `msgpack:"e,omitempty"`
}

// transitAllowance is the time that a notice may take from one instance to another without ending a limit that was
// named after the end which it reports.
const transitAllowance = 50 * time.Millisecond

// Notice returns the limit as it is sent to other instances.
func (l *Limit) Notice(now time.Duration, id routing.Lifetime) Notice {
	n := Notice{Lifetime: id, PerSecond: l.PerSecond, NamedAge: now - l.NamedAt}
	if l.EndedAt > 0 {
		n.EndedAge = max(now-l.EndedAt, 1)
	}
	return n
}

// Merge applies a notice from another instance. It reports whether this changes what applies.
func (l *Limit) Merge(now time.Duration, n *Notice) bool {
	before := *l
	l.ObserveNamed(max(now-n.NamedAge, 1), n.PerSecond)
	if n.EndedAge > 0 {
		l.ObserveUnnamed(now - n.EndedAge - transitAllowance)
	}
	return l.differs(&before)
}
