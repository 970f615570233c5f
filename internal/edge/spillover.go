package edge

import (
	"math"
	"strings"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/boragegate/boragegate/dispatch"
	"github.com/boragegate/boragegate/internal/metrics"
)

const (
	// spilloverLogInterval is the interval at which the traffic between zones is logged and published as metrics.
	spilloverLogInterval = time.Second
	// spilloverLogStep is the change of the fraction from which it is logged again.
	spilloverLogStep = 0.25
)

// spilloverLog holds what was last logged about the traffic of this instance to other zones.
type spilloverLog struct {
	checkedAt time.Duration
	logged    map[string]float64 // fraction by service, 0 if none was logged
}

// logSpillovers logs and publishes the fraction of the requests of each service that may leave the
// zone, when it has changed by spilloverLogStep or has returned to 0.
func (c *controlLoop) logSpillovers(now time.Duration) {
	l := &c.spilloverLog
	if now-l.checkedAt < spilloverLogInterval {
		return
	}
	l.checkedAt = now
	c.shared.mu.Lock()
	states := c.shared.balancer.Spillovers()
	c.shared.mu.Unlock()
	if l.logged == nil {
		l.logged = map[string]float64{}
	}
	active := map[string]bool{}
	for _, s := range states {
		active[s.Service] = true
		c.metrics.setSpillover(s.Service, s.Fraction)
		last, known := l.logged[s.Service]
		if !known {
			l.logged[s.Service] = 0
		}
		if math.Abs(s.Fraction-last) >= spilloverLogStep {
			c.logSpillover(s)
		}
	}
	for service, fraction := range l.logged {
		if active[service] {
			continue
		}
		c.metrics.setSpillover(service, 0)
		if fraction > 0 {
			c.logSpillover(dispatch.SpilloverState{Service: service})
		}
	}
}

func (c *controlLoop) logSpillover(s dispatch.SpilloverState) {
	c.spilloverLog.logged[s.Service] = s.Fraction
	c.log.Info().Str("event", "zone.spillover").Str("service", s.Service).Float64("fraction", s.Fraction).
		Float64("utilisation", s.Utilisation).Str("zones", strings.Join(s.Zones, ",")).Send()
}

func (m *instanceMetrics) setSpillover(service string, fraction float64) {
	name := metrics.Name("boragegate_spillover_fraction", "service", service)
	gometrics.GetOrRegisterGaugeFloat64(name, m.registry).Update(fraction)
}

// countZoneAttempt counts an attempt at a target in another zone.
func (m *instanceMetrics) countZoneAttempt(service string, reason dispatch.ZoneReason) {
	name := metrics.Name("boragegate_attempts_outside_zone_total", "service", service, "reason", string(reason))
	gometrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}
