package edge

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/boragegate/boragegate/internal/metrics"
)

// sampleSize is the number of values that a histogram keeps.
const sampleSize = 256

// meters are the metrics of an instance.
type meters struct {
	registry     gometrics.Registry
	storeErrors  gometrics.Counter
	targets      gometrics.Gauge
	findings     gometrics.Gauge
	lag          gometrics.Timer
	moves        gometrics.Counter
	movedKeys    gometrics.Counter
	grants       gometrics.Counter
	releases     gometrics.Counter
	ordersFailed gometrics.Counter
	repeats      gometrics.Counter
	dials        gometrics.Counter
	aborted      gometrics.Counter
	logLost      gometrics.Counter
	leaving      gometrics.Counter
	pauses       gometrics.Counter
	badPauses    gometrics.Counter
}

func newMeters() *meters {
	r := gometrics.NewRegistry()
	counter := func(name string) gometrics.Counter { return gometrics.NewRegisteredCounter(name, r) }
	return &meters{
		registry:     r,
		storeErrors:  counter("boragegate_store_errors_total"),
		targets:      gometrics.NewRegisteredGauge("boragegate_targets", r),
		lag:          newTimer(r, "boragegate_control_lag_seconds"),
		findings:     gometrics.NewRegisteredGauge("boragegate_config_findings", r),
		moves:        counter("boragegate_ownership_moves_total"),
		movedKeys:    counter("boragegate_ownership_moved_keys_total"),
		grants:       counter("boragegate_grants_total"),
		releases:     counter("boragegate_releases_total"),
		ordersFailed: counter("boragegate_orders_failed_total"),
		repeats:      counter("boragegate_requests_repeated_total"),
		dials:        counter("boragegate_target_connections_total"),
		aborted:      counter("boragegate_caller_connections_aborted_total"),
		logLost:      counter("boragegate_log_lines_lost_total"),
		leaving:      counter("boragegate_targets_leaving_total"),
		pauses:       counter("boragegate_target_pauses_total"),
		badPauses:    counter("boragegate_target_pauses_unreadable_total"),
	}
}

// newTimer returns the timer with the given name and registers it if necessary.
func newTimer(r gometrics.Registry, name string) gometrics.Timer {
	return r.GetOrRegister(name, func() gometrics.Timer {
		return gometrics.NewCustomTimer(gometrics.NewHistogram(gometrics.NewUniformSample(sampleSize)), gometrics.NewMeter())
	}).(gometrics.Timer)
}

// answered counts a finished request by the kind of its route and its outcome.
func (m *meters) answered(kind, outcome string, took time.Duration) {
	name := metrics.Name("boragegate_requests_total", "kind", kind, "outcome", outcome)
	gometrics.GetOrRegisterCounter(name, m.registry).Inc(1)
	name = metrics.Name("boragegate_request_seconds", "kind", kind)
	newTimer(m.registry, name).Update(took)
}

// attempted counts an attempt at a target by its result.
func (m *meters) attempted(service, result string) {
	name := metrics.Name("boragegate_attempts_total", "service", service, "result", result)
	gometrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}
