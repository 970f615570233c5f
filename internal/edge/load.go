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
	took := l.c.shared.takeLoad()
	l.measured(&took)
	elapsed := now - l.plannedAt
	l.plannedAt, l.planNow = now, false
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
		if nobodyHolds(ranges) && now-l.joinedAt < settleTime {
			continue
		}
		result := keyrange.Plan(ranges, l.capacities(now, l.speedsOf(service), usable), rates)
		l.granter.PlanMoves(service, result.Moves)
		for _, o := range result.Overloaded {
			pressed = append(pressed, dispatch.OfferedLoad{Lifetime: o.Lifetime, Ratio: o.Ratio})
		}
		if len(result.Moves) > 0 || now-l.loggedAt >= loadLogInterval {
			l.loggedAt = now
			l.c.log.Info().Str("event", "load.compared").Str("service", service).Float64("requests_per_s", result.TotalLoad).
				Float64("mean_utilisation", result.MeanUtilisation).Str("busiest", result.Busiest.ID).Float64("highest_utilisation", result.HighestUtilisation).
				Dur("service_time_ms", l.speedsOf(service).Estimate(result.Busiest)).Int("targets", len(usable)).Int("ranges", len(ranges)).Int("moves", len(result.Moves)).Send()
		}
	}
	l.setPressure(now, pressed)
}

// setPressure puts the targets under pressure into force here and at the followers.
func (l *leadership) setPressure(now time.Duration, pressed []dispatch.OfferedLoad) {
	if len(l.followers) < pressureFollowers {
		pressed = nil
	}
	if len(pressed) == 0 && len(l.pressed) == 0 {
		return
	}
	l.pressed = pressed
	l.c.shared.setPressure(now, pressed)
	l.pressure = &pressureNews{pressed}
}

// nobodyHolds reports whether no key has had a holder yet.
func nobodyHolds(ranges []keyrange.Range) bool {
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
			s = assumedTime
		}
		capacity := float64(t.Slots) / s.Seconds()
		if now < l.coldUntil[t.Lifetime()] {
			capacity *= coldCapacity
		}
		list = append(list, keyrange.Target{Lifetime: t.Lifetime(), Capacity: capacity})
	}
	return list
}

// measured takes what an instance measured.
func (l *leadership) measured(m *loadNews) {
	for service, keys := range m.Keys {
		rates := l.ratesOf(service)
		for key, n := range keys {
			rates.Add(key, n)
		}
	}
	l.c.targetsLeave(socket.BootTime(), m.Leaving)
	for _, s := range m.Samples {
		if service, ok := l.granter.ServiceOf(s.Lifetime); ok {
			l.speedsOf(service).Add(s.Lifetime, s.Served, s.BusyTime)
		}
	}
}

func (l *leadership) speedsOf(service string) *keyrange.ServiceTimes {
	s := l.speeds[service]
	if s == nil {
		s = keyrange.NewServiceTimes()
		l.speeds[service] = s
	}
	return s
}
