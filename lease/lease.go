// Package lease implements leases that rely only on the monotonic clocks of both sides and
// that a delayed message cannot extend.
//
// The holder sends a Stamp, its monotonic time, with every message to the grantor. A renewal
// carries the stamp that it answers, and the lease of the holder runs from the time of that
// stamp. The grantor counts the lease from the time at which it received the stamp, which is
// never earlier than the time at which the holder sent it, and adds a bound for clock drift. So
// the lease expires at the holder before it expires at the grantor, however messages are
// delayed. A holder that was paused finds its lease expired when it checks.
//
// The types are not safe for concurrent use.
package lease

import "time"

// Instant is monotonic time since a fixed point, such as the start of the process or the boot of
// the machine. Instants of different processes are not comparable.
type Instant = time.Duration

// Stamp is an Instant of the holder in nanoseconds. It is opaque to the grantor.
type Stamp uint64

// Config holds the parameters that both sides agree on.
type Config struct {
	// Duration is the duration of a lease at the holder.
	Duration time.Duration
	// DriftPPM is the maximum deviation of the rate of either clock, in parts per million.
	DriftPPM int
	// Margin is added at the grantor to allow for the resolution of clocks and timers.
	Margin time.Duration
}

// DefaultConfig holds the defaults: 500 ms, 0.5% drift, 10 ms margin.
var DefaultConfig = Config{Duration: 500 * time.Millisecond, DriftPPM: 5000, Margin: 10 * time.Millisecond}

// GrantorDuration returns the time after the receipt of a stamp at which the lease expires at
// the grantor. It allows for twice DriftPPM, because the clocks may deviate in opposite
// directions.
func (c Config) GrantorDuration() time.Duration {
	return c.Duration + c.Duration*time.Duration(2*c.DriftPPM)/1_000_000 + c.Margin
}

// Holder is the holder's side of one lease.
type Holder struct {
	config Config
	expiry Instant
}

// NewHolder returns a holder without a lease.
func NewHolder(c Config) *Holder { return &Holder{config: c} }

// Stamp returns the stamp to send at the time now.
func (h *Holder) Stamp(now Instant) Stamp { return Stamp(now) } //nolint:gosec // instants are not negative

// Renew extends the lease to its full duration after the stamp. A stamp from the future was
// not issued by this holder and is ignored. It reports whether the lease is valid at now.
func (h *Holder) Renew(now Instant, stamp Stamp) bool {
	issued := Instant(stamp) //nolint:gosec // checked against now below
	if issued <= now && issued >= 0 {
		h.expiry = max(h.expiry, issued+h.config.Duration)
	}
	return h.Valid(now)
}

// Valid reports whether the lease has not expired at now.
func (h *Holder) Valid(now Instant) bool { return now < h.expiry }

// Expiry returns the time at which the lease expires.
func (h *Holder) Expiry() Instant { return h.expiry }

// Revoke ends the lease immediately.
func (h *Holder) Revoke() { h.expiry = 0 }

// Grantor is the grantor's side of one lease.
type Grantor struct {
	config     Config
	stamp      Stamp
	receivedAt Instant
	expiry     Instant
}

// NewGrantor returns a grantor that assumes that a predecessor granted a lease just before
// now, so that GrantorDuration passes before Expired is true. The time now may lie in the
// future if a predecessor can grant leases until then.
func NewGrantor(c Config, now Instant) *Grantor {
	return &Grantor{config: c, expiry: now + c.GrantorDuration()}
}

// Receive records a stamp that arrived at now. It is ignored unless it is newer than the
// recorded one.
func (g *Grantor) Receive(now Instant, s Stamp) {
	if s > g.stamp {
		g.stamp, g.receivedAt = s, now
	}
}

// Grant returns the last received stamp, which must be sent back to the holder, and extends the
// lease to GrantorDuration after its receipt. It returns false if no stamp has been received.
func (g *Grantor) Grant() (Stamp, bool) {
	if g.stamp == 0 {
		return 0, false
	}
	g.expiry = max(g.expiry, g.receivedAt+g.config.GrantorDuration())
	return g.stamp, true
}

// Expired reports whether the lease has certainly expired at the holder.
func (g *Grantor) Expired(now Instant) bool { return now >= g.expiry }

// Expiry returns the time at which Expired becomes true.
func (g *Grantor) Expiry() Instant { return g.expiry }

// ForgetStamps discards the stamps of a holder that has restarted. The expiry of the lease is
// unchanged.
func (g *Grantor) ForgetStamps() { g.stamp, g.receivedAt = 0, 0 }
