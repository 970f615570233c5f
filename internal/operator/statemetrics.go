package operator

import (
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/boragegate/boragegate/internal/metrics"
	"github.com/boragegate/boragegate/internal/operator/api"
)

// stateMetrics returns gauges of the current state of the instance.
func stateMetrics(d Daemon) gometrics.Registry {
	r := gometrics.NewRegistry()
	set := func(v float64, name string, labels ...string) {
		gometrics.GetOrRegisterGaugeFloat64(metrics.Name(name, labels...), r).Update(v)
	}
	st := d.Status()
	set(boolValue(st.Ready), metrics.Ready)
	set(boolValue(st.InContact), metrics.InContact)
	set(boolValue(st.StoreAvailable), metrics.StoreAvailable)
	set(float64(st.TableVersion), metrics.TableVersion)
	set(float64(st.TableConfirmedMS)/1000, metrics.TableConfirmedAge)
	lagging := 0
	for _, in := range d.Instances() {
		if in.TableVersion < st.TableVersion {
			lagging++
		}
	}
	set(float64(lagging), metrics.InstancesBehind)
	for _, s := range d.Services() {
		set(float64(s.Unowned), metrics.UnownedPartitions, "service", s.Name)
		set(float64(s.Moves), metrics.PendingMoves, "service", s.Name)
		set(s.Imbalance, metrics.Imbalance, "service", s.Name)
		setTargetMetrics(set, s)
	}
	return r
}

func setTargetMetrics(set func(v float64, name string, labels ...string), s api.Service) {
	for _, t := range s.Targets {
		labels := []string{"service", s.Name, "target", t.Name}
		set(float64(t.Partitions), metrics.TargetPartitions, labels...)
		set(float64(t.Slots), metrics.TargetSlots, labels...)
		set(float64(t.InUse), metrics.TargetSlotsInUse, labels...)
		set(float64(t.Queued), metrics.TargetQueued, labels...)
		set(t.WeightShare, metrics.TargetWeightShare, labels...)
		set(t.LoadShare, metrics.TargetLoadShare, labels...)
	}
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
