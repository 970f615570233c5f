package gateway

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
)

func retriesCounter(r metrics.Registry, service string) metrics.Counter {
	return metrics.GetOrRegisterCounter("gateway.retries."+service, r)
}

// noteAnswer counts a request that got a server's answer.
func (g *Gateway) noteAnswer(service string, started time.Time) {
	metrics.GetOrRegisterCounter("gateway.requests.run."+service, g.cfg.Metrics).Inc(1)
	metrics.GetOrRegisterTimer("gateway.latency."+service, g.cfg.Metrics).Update(g.clock.Since(started))
}

// noteFailure counts and logs a request that the gateway answered itself.
func (g *Gateway) noteFailure(r *http.Request, id string, started time.Time, f *failure) {
	metrics.GetOrRegisterCounter("gateway.requests."+string(f.outcome)+"."+f.slug, g.cfg.Metrics).Inc(1)
	g.cfg.Logger.Debug().Str("event", "request.refused").Str("request", id).Str("method", r.Method).
		Str("problem", f.slug).Str("outcome", string(f.outcome)).Int("status", f.status).
		Dur("after", g.clock.Since(started)).Str("detail", f.detail).Send()
}
