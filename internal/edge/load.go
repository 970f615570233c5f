package edge

import (
	"time"

	"github.com/boragegate/boragegate/dispatch"
	"github.com/boragegate/boragegate/internal/socket"
	"github.com/boragegate/boragegate/placement/keyrange"
	"github.com/boragegate/boragegate/routing"
)

// plan compares the loads of the targets and plans moves of keys between them.
func (l *leadership) plan(now time.Duration) {
	report := l.c.shared.takeLoadReport()
	l.applyLoadReport(nil, &report)
	elapsed := now - l.lastPlanAt
	l.lastPlanAt, l.planRequested = now, false
	config := l.c.shared.config.Load()
	if config == nil || l.c.targets.version == 0 {
		return
	}
	var offeredLoads []dispatch.OfferedLoad
	for _, service := range config.PartitionedServices() {
		rates := l.ratesOf(service)
		rates.Advance(elapsed)
		usable, ranges := l.c.evacuations.schedule.KeepForNow(l.grantor.UsableTargets(now, service), l.grantor.Ranges(now, service))
		rates.SetTargetCount(len(usable))
		if neverAssigned(ranges) && now-l.targetsChangedAt < initialAssignmentDelay {
			continue
		}
		result := keyrange.Plan(ranges, l.capacities(now, l.serviceTimesOf(service), config.ObjectiveOf(service), usable), rates)
		l.grantor.PlanMoves(service, result.Moves)
		for _, o := range result.Overloaded {
			offeredLoads = append(offeredLoads, dispatch.OfferedLoad{Lifetime: o.Lifetime, Ratio: o.Ratio, HotKey: o.Key, HotKeyRatio: o.KeyRatio})
		}
		if len(result.Moves) > 0 || now-l.lastLoadLogAt >= loadLogInterval {
			l.lastLoadLogAt = now
			l.c.log.Info().Str("event", "load.compared").Str("service", service).Float64("requests_per_s", result.TotalLoad).
				Float64("mean_utilisation", result.MeanUtilisation).Str("busiest", result.Busiest.ID).Float64("highest_utilisation", result.HighestUtilisation).
				Dur("service_time_ms", l.serviceTimesOf(service).Estimate(result.Busiest)).Int("targets", len(usable)).Int("ranges", len(ranges)).Int("moves", len(result.Moves)).Send()
		}
	}
	l.setOfferedLoads(now, offeredLoads)
}

// setOfferedLoads activates the offered loads of overloaded targets and queues them for
// the followers. With fewer than offeredLoadMinFollowers followers it drops them.
func (l *leadership) setOfferedLoads(now time.Duration, offeredLoads []dispatch.OfferedLoad) {
	if len(l.followers) < offeredLoadMinFollowers {
		offeredLoads = nil
	}
	if len(offeredLoads) == 0 && len(l.offeredLoads) == 0 {
		return
	}
	l.offeredLoads = offeredLoads
	l.c.shared.setOfferedLoads(now, offeredLoads)
	l.pendingOfferedLoad = &offeredLoadUpdate{offeredLoads}
}

// neverAssigned reports whether the keys have never been assigned.
func neverAssigned(ranges []keyrange.Range) bool {
	return len(ranges) == 1 && ranges[0].Holder == (routing.Lifetime{})
}

func (l *leadership) ratesOf(service string) *keyrange.KeyRates {
	r := l.rates[service]
	if r == nil {
		r = keyrange.NewKeyRates()
		l.rates[service] = r
	}
	return r
}

// capacities estimates the number of requests per second that each target can serve within the
// objective, and at all.
func (l *leadership) capacities(now time.Duration, serviceTimes *keyrange.ServiceTimes, objective time.Duration, targets []routing.Target) []keyrange.Target {
	list := make([]keyrange.Target, 0, len(targets))
	for _, t := range targets {
		s := serviceTimes.Estimate(t.Lifetime())
		if s == 0 {
			s = defaultServiceTime
		}
		if now < l.warmUpUntil[t.Lifetime()] {
			s = time.Duration(float64(s) / warmUpCapacityFraction)
		}
		capacity, saturation := keyrange.OnTimeRate(t.Slots, s, objective), keyrange.SaturationRate(t.Slots, s)
		if limit, ok := l.permits.PerSecond(t.Lifetime()); ok {
			capacity, saturation = min(capacity, limit), min(saturation, limit)
		}
		list = append(list, keyrange.Target{Lifetime: t.Lifetime(), Capacity: capacity, Saturation: saturation})
	}
	return list
}

// applyLoadReport applies the load report of a follower, or of this instance if it is nil. Permits are granted to
// followers that have been sent the state; others ask again.
func (l *leadership) applyLoadReport(f *follower, report *loadReport) {
	for service, keys := range report.Keys {
		rates := l.ratesOf(service)
		for key, n := range keys {
			rates.Add(key, n)
		}
	}
	now := socket.BootTime()
	l.c.markTargetsLeaving(now, report.Leaving)
	if _, ok := l.followers[f]; ok {
		l.handleRateLimits(now, f, report.RateLimits, report.PermitRequests)
	}
	for _, s := range report.Samples {
		if service, ok := l.grantor.ServiceOf(s.Lifetime); ok {
			l.serviceTimesOf(service).Add(s.Lifetime, s.Served, s.BusyTime)
		}
	}
}

func (l *leadership) serviceTimesOf(service string) *keyrange.ServiceTimes {
	s := l.serviceTimes[service]
	if s == nil {
		s = keyrange.NewServiceTimes()
		l.serviceTimes[service] = s
	}
	return s
}
