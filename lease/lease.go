// Package lease implements leases that rely only on the monotonic clocks of both sides and
// that a delayed message cannot extend.
//
// The holder sends a Stamp, its monotonic time, with every reply. A renewal carries the stamp
// that it answers, and the lease of the holder runs from that stamp. The grantor counts the
// lease from the time at which it received the stamp, which is never earlier, and adds a bound
// for clock drift. So the lease ends at the holder before it ends at the grantor, however
// messages are delayed, and a holder that was paused finds its lease expired when it checks.
//
// The types are not safe for concurrent use.
package lease

import "time"

// Instant is monotonic time since the start of a process.
type Instant = time.Duration

// Stamp is an Instant of the holder in nanoseconds. It is opaque to the grantor.
type Stamp uint64

// Config are the parameters that both sides agree on.
type Config struct {
	// Duration is the duration of a lease at the holder.
	Duration time.Duration
	// DriftPPM is the maximum deviation of the rate of either clock, in parts per million.
	DriftPPM int
	// Margin is added at the grantor to allow for the resolution of clocks and timers.
	Margin time.Duration
}

// DefaultConfig are the defaults: 500 ms, 0.5% drift, 10 ms margin.
var DefaultConfig = Config{Duration: 500 * time.Millisecond, DriftPPM: 5000, Margin: 10 * time.Millisecond}

// GrantorDuration returns the time for which a lease is active at the grantor after the
// receipt of a stamp.
func (t Config) GrantorDuration() time.Duration {
	return t.Duration + t.Duration*time.Duration(2*t.DriftPPM)/1_000_000 + t.Margin
}

// Holder is a lease as seen by the side that it was granted to.
type Holder struct {
	config Config
	expiry Instant
}

// NewHolder returns a holder without a lease.
func NewHolder(t Config) *Holder { return &Holder{config: t} }

// Stamp returns the stamp to send at the time now.
func (h *Holder) Stamp(now Instant) Stamp { return Stamp(now) } //nolint:gosec // instants are not negative

// Renew extends the lease to its full duration after the stamp. A stamp from the future was
// not issued by this holder and is ignored. It reports whether the lease is valid at now.
func (h *Holder) Renew(now Instant, answered Stamp) bool {
	issued := Instant(answered) //nolint:gosec // checked against now below
	if issued <= now && issued >= 0 {
		h.expiry = max(h.expiry, issued+h.config.Duration)
	}
	return h.Valid(now)
}

// Valid reports whether the lease is active at now.
func (h *Holder) Valid(now Instant) bool { return now < h.expiry }

// Expiry returns the time at which the lease expires.
func (h *Holder) Expiry() Instant { return h.expiry }

// Revoke ends the lease immediately.
func (h *Holder) Revoke() { h.expiry = 0 }

// Grantor is a lease as seen by the side that grants it.
type Grantor struct {
	config   Config
	stamp    Stamp
	received Instant
	expiry   Instant
}

// NewGrantor returns a grantor that assumes that a predecessor granted a lease just before
// now, so that a full duration passes before Expired is true.
func NewGrantor(t Config, now Instant) *Grantor {
	return &Grantor{config: t, expiry: now + t.GrantorDuration()}
}

// Receive records a stamp that arrived at now. Older stamps are ignored.
func (g *Grantor) Receive(now Instant, s Stamp) {
	if s > g.stamp {
		g.stamp, g.received = s, now
	}
}

// Grant returns the stamp to send back and extends the lease. It returns false if no stamp has
// been received.
func (g *Grantor) Grant() (Stamp, bool) {
	if g.stamp == 0 {
		return 0, false
	}
	g.expiry = max(g.expiry, g.received+g.config.GrantorDuration())
	return g.stamp, true
}

// Expired reports whether the lease has certainly expired at the holder.
func (g *Grantor) Expired(now Instant) bool { return now >= g.expiry }

// Expiry returns the time at which Expired becomes true.
func (g *Grantor) Expiry() Instant { return g.expiry }

// ForgetStamps discards the stamps of a holder that has restarted. The end of the lease is
// unchanged.
func (g *Grantor) ForgetStamps() { g.stamp, g.received = 0, 0 }
