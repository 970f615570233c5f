package edge

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/boragegate/boragegate/internal/metrics"
)

// sampleSize is the number of values that a histogram keeps.
const sampleSize = 256

// instanceMetrics are the metrics of an instance.
type instanceMetrics struct {
	registry            gometrics.Registry
	storeErrors         gometrics.Counter
	storeOutage         gometrics.Gauge // 1 during an outage of the store as this instance sees it, else 0
	storeRestores       gometrics.Counter
	targets             gometrics.Gauge
	configFindings      gometrics.Gauge
	controlLag          gometrics.Timer
	moves               gometrics.Counter
	movedKeys           gometrics.Counter
	grants              gometrics.Counter
	releases            gometrics.Counter
	leaseRequestsFailed gometrics.Counter
	retriedRequests     gometrics.Counter
	targetConnections   gometrics.Counter
	abortedConnections  gometrics.Counter
	cutResponses        gometrics.Counter // responses of which the caller got only a part
	unbufferedBodies    gometrics.Counter // responses streamed because the memory for bodies is exhausted
	logLinesLost        gometrics.Counter
	leavingTargets      gometrics.Counter
	pauses              gometrics.Counter
	unreadablePauses    gometrics.Counter
	// rateLimits counts the rate limits that responses to this instance set, changed or ended, and unreadableRateLimits
	// the responses with a rate limit that is malformed or too high.
	rateLimits           gometrics.Counter
	unreadableRateLimits gometrics.Counter
	// warmUps counts the targets that began to be limited for their warm-up, and warmingTargets is their number now.
	warmUps        gometrics.Counter
	warmingTargets gometrics.Gauge
	// configReconfirmations counts how often the control loop did not run for so long that the
	// configuration had to be read again before requests were served.
	configReconfirmations gometrics.Counter
	evacuatedZones        gometrics.Gauge
}

func newInstanceMetrics() *instanceMetrics {
	r := gometrics.NewRegistry()
	counter := func(name string) gometrics.Counter { return gometrics.NewRegisteredCounter(name, r) }
	return &instanceMetrics{
		registry:            r,
		storeErrors:         counter("boragegate_store_errors_total"),
		storeOutage:         gometrics.NewRegisteredGauge("boragegate_store_outage", r),
		storeRestores:       counter("boragegate_store_restores_total"),
		targets:             gometrics.NewRegisteredGauge("boragegate_targets", r),
		controlLag:          registeredTimer(r, "boragegate_control_lag_seconds"),
		configFindings:      gometrics.NewRegisteredGauge("boragegate_config_findings", r),
		moves:               counter("boragegate_ownership_moves_total"),
		movedKeys:           counter("boragegate_ownership_moved_keys_total"),
		grants:              counter("boragegate_grants_total"),
		releases:            counter("boragegate_releases_total"),
		leaseRequestsFailed: counter("boragegate_orders_failed_total"),
		retriedRequests:     counter("boragegate_requests_repeated_total"),
		targetConnections:   counter("boragegate_target_connections_total"),
		abortedConnections:  counter("boragegate_caller_connections_aborted_total"),
		cutResponses:        counter("boragegate_responses_cut_total"),
		unbufferedBodies:    counter("boragegate_bodies_unbuffered_total"),
		logLinesLost:        counter("boragegate_log_lines_lost_total"),
		leavingTargets:      counter("boragegate_targets_leaving_total"),
		pauses:              counter("boragegate_target_pauses_total"),
		unreadablePauses:    counter("boragegate_target_pauses_unreadable_total"),

		rateLimits:           counter("boragegate_target_rate_limits_total"),
		unreadableRateLimits: counter("boragegate_target_rate_limits_unreadable_total"),
		warmUps:              counter("boragegate_target_warm_ups_total"),
		warmingTargets:       gometrics.NewRegisteredGauge("boragegate_targets_warming_up", r),

		configReconfirmations: counter("boragegate_config_reconfirmations_total"),
		evacuatedZones:        gometrics.NewRegisteredGauge("boragegate_evacuated_zones", r),
	}
}

// registeredTimer returns the timer with the given name. It registers one if there is none.
func registeredTimer(r gometrics.Registry, name string) gometrics.Timer {
	return r.GetOrRegister(name, func() gometrics.Timer {
		return gometrics.NewCustomTimer(gometrics.NewHistogram(gometrics.NewUniformSample(sampleSize)), gometrics.NewMeter())
	}).(gometrics.Timer)
}

// countRequest counts a finished request by the kind of its route and its outcome.
func (m *instanceMetrics) countRequest(kind, outcome string, duration time.Duration) {
	name := metrics.Name("boragegate_requests_total", "kind", kind, "outcome", outcome)
	gometrics.GetOrRegisterCounter(name, m.registry).Inc(1)
	name = metrics.Name("boragegate_request_seconds", "kind", kind)
	registeredTimer(m.registry, name).Update(duration)
}

// countAttempt counts an attempt at a target by its result.
func (m *instanceMetrics) countAttempt(service, result string) {
	name := metrics.Name("boragegate_attempts_total", "service", service, "result", result)
	gometrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}

// countHeld counts a request that begins to wait at this instance, by the reason.
func (m *instanceMetrics) countHeld(service, reason string) {
	name := metrics.Name("boragegate_requests_held_total", "service", service, "reason", reason)
	gometrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}

// countLimitedCaller counts a connection that was closed or a request that was rejected to stay within a limit.
func (m *instanceMetrics) countLimitedCaller(reason string) {
	name := metrics.Name("boragegate_callers_limited_total", "reason", reason)
	gometrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}
