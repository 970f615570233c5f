package dispatch

import (
	"time"

	"github.com/boragegate/boragegate/routing"
)

// warmUpMargin is added to the time for which a target warms up. The entry of a target arrives up to a second after the
// target has turned cold, and its time is measured by another clock.
const warmUpMargin = 200 * time.Millisecond

// WarmUpChange reports that a target begins or ceases to be limited because it warms up.
type WarmUpChange struct {
	routing.Lifetime
	// Left is the time for which the target is still limited; 0 if it ceases to be.
	Left time.Duration
	// PerSecond is the limit.
	PerSecond float64
}

// SetWarmUpRates sets the numbers of requests per second that a target which warms up takes from all instances together,
// by service. Targets of other services are not limited.
func (b *Balancer) SetWarmUpRates(now time.Duration, perSecond map[string]float64) {
	b.warmUpRates = perSecond
	for _, t := range b.byID {
		b.limitWarmUp(now, t)
	}
}

// MarkWarmingUp makes targets of services with a warm-up rate count as warming up for the given time, although their
// entries do not say so yet. An entry that arrives meanwhile may prolong that time but not shorten it.
func (b *Balancer) MarkWarmingUp(now time.Duration, ids []routing.Lifetime, duration time.Duration) {
	for _, id := range ids {
		if t := b.byID[id]; t != nil && b.warmUpRate(t) > 0 {
			t.markedUntil = max(t.markedUntil, now+duration)
			b.limitWarmUp(now, t)
		}
	}
}

// WarmUp is the remaining time for which a target warms up, as the leader tells it to an instance that joins.
type WarmUp struct {
	routing.Lifetime
	Left time.Duration `msgpack:"d"`
}

// WarmUps returns the targets that are limited for their warm-up.
func (b *Balancer) WarmUps(now time.Duration) []WarmUp {
	list := make([]WarmUp, 0, len(b.warming))
	for id, t := range b.warming {
		if left := max(t.warmUpUntil, t.markedUntil) - now; left > 0 {
			list = append(list, WarmUp{id, left})
		}
	}
	return list
}

// SetWarmUps replaces the times of warm-up by those of the leader, which has the same entries but may have received them
// earlier. Targets that are not in the list have warmed up.
func (b *Balancer) SetWarmUps(now time.Duration, list []WarmUp) {
	left := make(map[routing.Lifetime]time.Duration, len(list))
	for _, w := range list {
		left[w.Lifetime] = w.Left
	}
	for id, t := range b.byID {
		if b.warmUpRate(t) <= 0 || left[id] == 0 && b.warming[id] == nil {
			continue
		}
		// The time may come from a mark, which an entry does not shorten.
		t.warmUpUntil, t.markedUntil = now+left[id], now+left[id]
		if left[id] == 0 {
			t.coldUntil = now
			t.permits.EndWarmUp()
		}
		b.limitWarmUp(now, t)
	}
}

// recordWarmUp records the time in an entry that has just arrived.
func (b *Balancer) recordWarmUp(now time.Duration, t *targetState) {
	t.warmUpUntil = now + t.WarmUp
	b.limitWarmUp(now, t)
}

// warmUpRate returns the limit of a target while it warms up; 0 if it has none.
func (b *Balancer) warmUpRate(t *targetState) float64 {
	if !b.policy.Enabled(WarmUpRate) {
		return 0
	}
	return b.warmUpRates[t.Service]
}

// limitWarmUp limits a target for its warm-up, or ends that, after the time or the rate has changed.
func (b *Balancer) limitWarmUp(now time.Duration, t *targetState) {
	rate := b.warmUpRate(t)
	if rate <= 0 {
		t.permits.EndWarmUp()
		return
	}
	until := max(t.warmUpUntil, t.markedUntil)
	if now < until || t.permits.IsWarmingUp(now) {
		t.coldUntil = until
		t.permits.SetWarmUp(now, rate, until+warmUpMargin)
		b.warming[t.Lifetime()] = t
	}
}

// TakeWarmUpChanges returns the targets that began or ceased to be limited for their warm-up since the last call.
func (b *Balancer) TakeWarmUpChanges(now time.Duration) []WarmUpChange {
	var changes []WarmUpChange
	for id, t := range b.warming {
		isLimited := t.permits.IsWarmingUp(now)
		if isLimited != t.warmUpReported {
			t.warmUpReported = isLimited
			changes = append(changes, WarmUpChange{Lifetime: id, Left: t.permits.WarmUpLeft(now), PerSecond: b.warmUpRates[t.Service]})
		}
		if !isLimited {
			delete(b.warming, id)
			if !t.permits.InForce() {
				t.permits.ForgetRequests()
			}
		}
	}
	return changes
}

// PermitRate returns the rate at which the leader grants permits for a target: the lower one of the limit that the target
// names and that of its warm-up. It returns false if neither applies.
func (b *Balancer) PermitRate(now time.Duration, id routing.Lifetime) (float64, bool) {
	t := b.byID[id]
	if t == nil || !t.permits.Applies(now) {
		return 0, false
	}
	return t.permits.Rate(now), true
}

// PermitRates returns the rates of all targets for which PermitRate returns one.
func (b *Balancer) PermitRates(now time.Duration) map[routing.Lifetime]float64 {
	rates := map[routing.Lifetime]float64{}
	for _, targets := range []map[routing.Lifetime]*targetState{b.limited, b.warming} {
		for id, t := range targets {
			if t.permits.Applies(now) {
				rates[id] = t.permits.Rate(now)
			}
		}
	}
	return rates
}

// IsUnlimited reports whether it is certain that a target neither names a limit nor warms up. Entries of targets count as
// evidence only if this instance knows the newest ones.
func (b *Balancer) IsUnlimited(now time.Duration, id routing.Lifetime, knowsEntries bool) bool {
	t := b.byID[id]
	return t != nil && !t.permits.Applies(now) && (knowsEntries || t.permits.NamedAt > 0)
}

// isCold reports whether the target is slower than usual because it warms up.
func (b *Balancer) isCold(now time.Duration, t *targetState) bool {
	return now < t.coldUntil && b.policy.Enabled(ColdStart)
}

// currentServiceTime returns the service time of the target, including the effect of a warm-up.
func (b *Balancer) currentServiceTime(now time.Duration, t *targetState) time.Duration {
	s := b.serviceTime(t)
	if b.isCold(now, t) {
		return time.Duration(coldStartFactor * float64(s))
	}
	return s
}

// WarmingUpCount returns the number of targets that TakeWarmUpChanges has reported as limited.
func (b *Balancer) WarmingUpCount() int { return len(b.warming) }
