package gateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Parameters of the exponentially decaying sample of latencies.
const (
	sampleSize  = 1028  // values
	sampleAlpha = 0.015 // weights the last five minutes most
)

// serviceMetrics are the metrics of one service.
type serviceMetrics struct {
	answered metrics.Counter
	retries  metrics.Counter
	latency  metrics.Histogram // microseconds until the response header
}

// metricsByService caches the metrics of each service, so that requests do not
// have to build metric names to look them up.
type metricsByService struct{ m sync.Map }

func (m *metricsByService) forService(service string, r metrics.Registry) *serviceMetrics {
	if v, ok := m.m.Load(service); ok {
		return v.(*serviceMetrics)
	}
	created := &serviceMetrics{
		answered: metrics.GetOrRegisterCounter("gateway.requests.answered."+service, r),
		retries:  metrics.GetOrRegisterCounter("gateway.retries."+service, r),
		latency: metrics.GetOrRegisterHistogram("gateway.latency_us."+service, r,
			metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
	}
	v, _ := m.m.LoadOrStore(service, created)
	return v.(*serviceMetrics)
}

// recordResponse counts a request that got a response from a server.
func (g *Gateway) recordResponse(service string, started time.Time) {
	m := g.metricsByService.forService(service, g.cfg.Metrics)
	m.answered.Inc(1)
	m.latency.Update(g.clock.Since(started).Microseconds())
}

// recordFailure counts and logs a request that ended with a failure.
func (g *Gateway) recordFailure(r *http.Request, id string, started time.Time, f *failure) {
	metrics.GetOrRegisterCounter("gateway.requests."+string(f.outcome)+"."+f.slug, g.cfg.Metrics).Inc(1)
	g.cfg.Logger.Debug().Str("event", "request.refused").Str("request", id).Str("method", r.Method).
		Str("problem", f.slug).Str("outcome", string(f.outcome)).Int("status", f.status).
		Dur("after", g.clock.Since(started)).Str("detail", f.detail).Send()
}

// registerGauges registers gauges for the requests in flight and for those that
// wait for another attempt.
func (g *Gateway) registerGauges() {
	r := g.cfg.Metrics
	_ = r.Register("gateway.in_flight", metrics.NewFunctionalGauge(func() int64 { return int64(g.ActiveRequests()) }))
	_ = r.Register("gateway.waiting_for_owner", metrics.NewFunctionalGauge(g.waitingRequests.Load))
}

// registerGauges registers gauges for the load of a target that this instance
// controls.
func (t *target) registerGauges(r metrics.Registry) {
	for name, value := range map[string]func() int64{
		"gateway.slots_used.":          func() int64 { return int64(t.gate.Load().Running) },
		"gateway.queued.":              func() int64 { return int64(t.gate.Load().Queued) },
		"gateway.idempotency_records.": func() int64 { return int64(t.idempotencyLog.Len()) },
	} {
		_ = r.Register(name+t.id, metrics.NewFunctionalGauge(value)) // fails if the gauge is already registered, which then stays
	}
}
