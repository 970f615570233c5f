package edge

import (
	"time"

	"github.com/boragegate/boragegate/dispatch"
	"github.com/boragegate/boragegate/internal/socket"
	"github.com/boragegate/boragegate/placement/keyrange"
	"github.com/boragegate/boragegate/routing"
)

// plan compares the load of the targets and plans moves.
func (l *leadership) plan(now time.Duration) {
	took := l.c.shared.takeLoadReport()
	l.applyLoadReport(&took)
	elapsed := now - l.lastPlanAt
	l.lastPlanAt, l.planRequested = now, false
	config := l.c.shared.config.Load()
	if config == nil || l.c.targets.version == 0 {
		return
	}
	var pressed []dispatch.OfferedLoad
	for _, service := range config.PartitionedServices() {
		rates := l.ratesOf(service)
		rates.Advance(elapsed)
		usable := l.granter.UsableTargets(now, service)
		rates.SetTargets(len(usable))
		ranges := l.granter.Ranges(now, service)
		if neverAssigned(ranges) && now-l.targetsChangedAt < initialAssignmentDelay {
			continue
		}
		result := keyrange.Plan(ranges, l.capacities(now, l.serviceTimesOf(service), usable), rates)
		l.granter.PlanMoves(service, result.Moves)
		for _, o := range result.Overloaded {
			pressed = append(pressed, dispatch.OfferedLoad{Lifetime: o.Lifetime, Ratio: o.Ratio})
		}
		if len(result.Moves) > 0 || now-l.lastLoadLogAt >= loadLogInterval {
			l.lastLoadLogAt = now
			l.c.log.Info().Str("event", "load.compared").Str("service", service).Float64("requests_per_s", result.TotalLoad).
				Float64("mean_utilisation", result.MeanUtilisation).Str("busiest", result.Busiest.ID).Float64("highest_utilisation", result.HighestUtilisation).
				Dur("service_time_ms", l.serviceTimesOf(service).Estimate(result.Busiest)).Int("targets", len(usable)).Int("ranges", len(ranges)).Int("moves", len(result.Moves)).Send()
		}
	}
	l.setOfferedLoads(now, pressed)
}

// setOfferedLoads puts the targets under pressure into force here and at the followers.
func (l *leadership) setOfferedLoads(now time.Duration, pressed []dispatch.OfferedLoad) {
	if len(l.followers) < offeredLoadMinFollowers {
		pressed = nil
	}
	if len(pressed) == 0 && len(l.offeredLoads) == 0 {
		return
	}
	l.offeredLoads = pressed
	l.c.shared.setOfferedLoads(now, pressed)
	l.pendingOfferedLoad = &offeredLoadUpdate{pressed}
}

// neverAssigned reports whether no key has had a holder yet.
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

// capacities estimates how many requests per second each target serves.
func (l *leadership) capacities(now time.Duration, speeds *keyrange.ServiceTimes, targets []routing.Target) []keyrange.Target {
	list := make([]keyrange.Target, 0, len(targets))
	for _, t := range targets {
		s := speeds.Estimate(t.Lifetime())
		if s == 0 {
			s = defaultServiceTime
		}
		capacity := float64(t.Slots) / s.Seconds()
		if now < l.warmUpUntil[t.Lifetime()] {
			capacity *= warmUpCapacityFraction
		}
		list = append(list, keyrange.Target{Lifetime: t.Lifetime(), Capacity: capacity})
	}
	return list
}

// applyLoadReport takes what an instance measured.
func (l *leadership) applyLoadReport(m *loadReport) {
	for service, keys := range m.Keys {
		rates := l.ratesOf(service)
		for key, n := range keys {
			rates.Add(key, n)
		}
	}
	l.c.markTargetsLeaving(socket.BootTime(), m.Leaving)
	for _, s := range m.Samples {
		if service, ok := l.granter.ServiceOf(s.Lifetime); ok {
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
