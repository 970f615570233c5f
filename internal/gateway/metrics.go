package gateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Constants of the latency sample.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015 // weights the last five minutes
)

// serviceMetrics are the metrics of one service.
type serviceMetrics struct {
	answered metrics.Counter
	retries  metrics.Counter
	latency  metrics.Histogram // microseconds until the answer's header
}

// metricsByService holds the metrics of each service, so that requests need not look them
// up by names that have to be put together.
type metricsByService struct{ m sync.Map }

func (m *metricsByService) forService(service string, r metrics.Registry) *serviceMetrics {
	if v, ok := m.m.Load(service); ok {
		return v.(*serviceMetrics)
	}
	fresh := &serviceMetrics{
		answered: metrics.GetOrRegisterCounter("gateway.requests.answered."+service, r),
		retries:  metrics.GetOrRegisterCounter("gateway.retries."+service, r),
		latency: metrics.GetOrRegisterHistogram("gateway.latency_us."+service, r,
			metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
	}
	v, _ := m.m.LoadOrStore(service, fresh)
	return v.(*serviceMetrics)
}

// recordResponse counts a request that got a server's answer.
func (g *Gateway) recordResponse(service string, started time.Time) {
	m := g.metricsByService.forService(service, g.cfg.Metrics)
	m.answered.Inc(1)
	m.latency.Update(g.clock.Since(started).Microseconds())
}

// recordFailure counts and logs a request that the gateway answered itself.
func (g *Gateway) recordFailure(r *http.Request, id string, started time.Time, f *failure) {
	metrics.GetOrRegisterCounter("gateway.requests."+string(f.outcome)+"."+f.slug, g.cfg.Metrics).Inc(1)
	g.cfg.Logger.Debug().Str("event", "request.refused").Str("request", id).Str("method", r.Method).
		Str("problem", f.slug).Str("outcome", string(f.outcome)).Int("status", f.status).
		Dur("after", g.clock.Since(started)).Str("detail", f.detail).Send()
}

// registerGauges shows how many requests the instance works on, and how many of
// them wait for an owner.
func (g *Gateway) registerGauges() {
	r := g.cfg.Metrics
	_ = r.Register("gateway.in_flight", metrics.NewFunctionalGauge(func() int64 { return int64(g.InFlight()) }))
	_ = r.Register("gateway.waiting_for_owner", metrics.NewFunctionalGauge(g.waiting.Load))
}

// registerGauges shows the load of a target that this instance is in front of.
func (t *target) registerGauges(r metrics.Registry) {
	for name, value := range map[string]func() int64{
		"gateway.slots_used.":          func() int64 { return int64(t.gate.Load().Running) },
		"gateway.queued.":              func() int64 { return int64(t.gate.Load().Queued) },
		"gateway.idempotency_records.": func() int64 { return int64(t.log.Len()) },
	} {
		_ = r.Register(name+t.id, metrics.NewFunctionalGauge(value)) // a gauge of that name stays
	}
}
