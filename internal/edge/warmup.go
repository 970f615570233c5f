package edge

import (
	"time"

	"github.com/boragegate/boragegate/dispatch"
	"github.com/boragegate/boragegate/routing"
)

// setWarmUpRates applies the limits of warming-up targets in a configuration that becomes active.
func (c *controlLoop) setWarmUpRates(now time.Duration, config *routing.Config) {
	rates := map[string]float64{}
	for name := range config.Services {
		if rate := config.Services[name].WarmUpRate; rate > 0 {
			rates[name] = rate
		}
	}
	c.shared.update(func(b *dispatch.Balancer) { b.SetWarmUpRates(now, rates) })
	c.applyWarmUpChanges(now)
	if c.leadership != nil { // the rate of a target that already warms up may have changed
		for id := range c.shared.permitRates(now) {
			c.leadership.setPermitRate(now, id)
		}
	}
}

// applyWarmUpChanges logs the targets that begin or cease to be limited for their warm-up and, if this instance is the
// leader, limits the permits for them.
func (c *controlLoop) applyWarmUpChanges(now time.Duration) {
	changes, limited := c.shared.takeWarmUpChanges(now)
	c.metrics.warmingTargets.Update(int64(limited))
	for i := range changes {
		if changes[i].Left > 0 {
			c.metrics.warmUps.Inc(1)
		}
		if c.leadership != nil {
			c.leadership.setPermitRate(now, changes[i].Lifetime)
		}
	}
	c.logWarmUpChanges(changes, limited)
}

func (c *controlLoop) logWarmUpChanges(changes []dispatch.WarmUpChange, limited int) {
	if len(changes) >= maxTargetLogLines {
		c.log.Info().Str("event", "targets.warm_up_limits_changed").Int("changed", len(changes)).Int("limited", limited).Send()
		return
	}
	for i := range changes {
		w := &changes[i]
		event := "target.warm_up_limited"
		if w.Left == 0 {
			event = "target.warm_up_limit_ended"
		}
		c.log.Info().Str("event", event).Str("target", w.ID).Int64("incarnation", w.Incarnation).Float64("limit_per_s", w.PerSecond).Dur("left_ms", w.Left).Send()
	}
}

// takeWarmUpChanges returns the targets that began or ceased to be limited for their warm-up since the last call, and the
// number of those that are. It wakes held requests if one has ceased to be.
func (s *sharedState) takeWarmUpChanges(now time.Duration) ([]dispatch.WarmUpChange, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := s.balancer.TakeWarmUpChanges(now)
	for i := range changes {
		if changes[i].Left == 0 {
			s.wakeHeld()
			break
		}
	}
	return changes, s.balancer.WarmingUpCount()
}

// permitRate returns the rate at which the leader grants permits for a target; false if the target is not limited.
func (s *sharedState) permitRate(now time.Duration, id routing.Lifetime) (float64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.PermitRate(now, id)
}

// permitRates returns the rates of all limited targets.
func (s *sharedState) permitRates(now time.Duration) map[routing.Lifetime]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.PermitRates(now)
}

// warmUps returns the targets that are limited for their warm-up, as they are sent to new followers.
func (s *sharedState) warmUps(now time.Duration) *warmUpUpdate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &warmUpUpdate{s.balancer.WarmUps(now)}
}

// applyLeaderWarmUps applies the leader's times of warm-up to the leader's list of targets: the entries in it arrived there
// earlier. They are not applied to a list that this instance has read from a later version of the store.
func (c *controlLoop) applyLeaderWarmUps(now time.Duration, update *stateUpdate) {
	if update.WarmUps == nil || update.Targets == nil || update.Targets.Version != c.targets.version {
		return
	}
	c.shared.update(func(b *dispatch.Balancer) { b.SetWarmUps(now, update.WarmUps.Targets) })
	c.applyWarmUpChanges(now)
}

// isUnlimited reports whether the leader knows that a target neither names a limit nor warms up. Without the store, it may
// lack an entry that a follower has read there before.
func (l *leadership) isUnlimited(now time.Duration, id routing.Lifetime) bool {
	s := l.c.shared
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.IsUnlimited(now, id, l.c.storeFailedSince == 0)
}
