// Package lease implements leases that are judged by the monotonic clocks of
// both sides and that cannot be extended by a delayed message.
//
// The holder issues a Stamp with every reply: its own monotonic time. A renewal
// names the stamp that it answers, and the holder's lease runs from that stamp.
// The grantor counts the lease from the moment at which it received the stamp,
// which is never earlier, and adds a bound for clock drift. So the holder's
// lease ends before the grantor's, whatever happens to messages in between, and
// a holder that was paused finds its lease expired when it checks.
//
// The types are not safe for concurrent use.
package lease

import "time"

// Instant is monotonic time since the start of a process.
type Instant = time.Duration

// Stamp is a holder's own Instant in nanoseconds, opaque to the grantor.
type Stamp uint64

// Terms holds the constants that both sides agree on.
type Terms struct {
	// Duration is the length of a lease at the holder.
	Duration time.Duration
	// DriftPPM bounds the difference in rate of two clocks, in parts per million.
	DriftPPM int
	// Margin is added at the grantor for the resolution of clocks and timers.
	Margin time.Duration
}

// DefaultTerms are the defaults: 500 ms, 0.5% drift, 10 ms margin.
var DefaultTerms = Terms{Duration: 500 * time.Millisecond, DriftPPM: 5000, Margin: 10 * time.Millisecond}

// GrantorDuration is the time that a grantor waits after the receipt of a stamp.
func (t Terms) GrantorDuration() time.Duration {
	return t.Duration + t.Duration*time.Duration(2*t.DriftPPM)/1_000_000 + t.Margin
}

// Holder is the lease of the side that owns something.
type Holder struct {
	terms  Terms
	expiry Instant
}

// NewHolder returns a holder without a lease.
func NewHolder(t Terms) *Holder { return &Holder{terms: t} }

// Stamp returns the stamp to send at the time now.
func (h *Holder) Stamp(now Instant) Stamp { return Stamp(now) } //nolint:gosec // instants are not negative

// Renew extends the lease to the stamp plus the length. A stamp from the future
// is not one that this holder issued and is ignored. It reports whether the
// lease is valid at now.
func (h *Holder) Renew(now Instant, answers Stamp) bool {
	issued := Instant(answers) //nolint:gosec // checked against now below
	if issued <= now && issued >= 0 {
		h.expiry = max(h.expiry, issued+h.terms.Duration)
	}
	return h.Valid(now)
}

// Valid reports whether the lease is held at now.
func (h *Holder) Valid(now Instant) bool { return now < h.expiry }

// Expiry returns the end of the lease.
func (h *Holder) Expiry() Instant { return h.expiry }

// Revoke ends the lease at once.
func (h *Holder) Revoke() { h.expiry = 0 }

// Grantor is the record of a lease at the side that granted it.
type Grantor struct {
	terms    Terms
	stamp    Stamp
	received Instant
	expiry   Instant
}

// NewGrantor returns a grantor that assumes a lease granted up to now by
// somebody before, so that it waits a full length before Lapsed is true.
func NewGrantor(t Terms, now Instant) *Grantor {
	return &Grantor{terms: t, expiry: now + t.GrantorDuration()}
}

// Receive notes a stamp that arrived at now.
func (g *Grantor) Receive(now Instant, s Stamp) {
	if s > g.stamp {
		g.stamp, g.received = s, now
	}
}

// Grant returns the stamp to send back, and counts the lease as extended. It
// returns false if no stamp has been received.
func (g *Grantor) Grant() (Stamp, bool) {
	if g.stamp == 0 {
		return 0, false
	}
	g.expiry = max(g.expiry, g.received+g.terms.GrantorDuration())
	return g.stamp, true
}

// Expired reports whether the holder's lease has ended for certain.
func (g *Grantor) Expired(now Instant) bool { return now >= g.expiry }

// Expiry returns the moment at which Lapsed becomes true.
func (g *Grantor) Expiry() Instant { return g.expiry }

// ForgetStamps forgets the stamps of a holder that restarted. The end of the lease stays.
func (g *Grantor) ForgetStamps() { g.stamp, g.received = 0, 0 }
