package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/boragegate/boragegate/ownership"
)

// maxHotKeys is the number of keys in a load report.
const maxHotKeys = 32

// usage adds up the time that requests of a target hold slots, since the last report.
type usage struct {
	mu         sync.Mutex
	since      time.Time
	partitions map[int]time.Duration
	keys       sketch
}

func (u *usage) add(partition int, key string, held time.Duration) {
	if partition == noPartition {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.partitions == nil {
		u.partitions = make(map[int]time.Duration)
	}
	u.partitions[partition] += held
	u.keys.add(key, partition, held.Seconds())
}

// take returns the load since the last report, in slot-seconds per second, and
// begins a new interval.
func (u *usage) take(target string, now time.Time) ownership.LoadReport {
	u.mu.Lock()
	defer u.mu.Unlock()
	report := ownership.LoadReport{Target: target}
	if seconds := now.Sub(u.since).Seconds(); seconds > 0 {
		for p, held := range u.partitions {
			report.Partitions = append(report.Partitions, ownership.PartitionLoad{Partition: p, Load: held.Seconds() / seconds})
		}
		for _, k := range u.keys.top(maxHotKeys) {
			report.HotKeys = append(report.HotKeys, ownership.KeyLoad{Key: k.key, Partition: k.partition, Load: k.sure() / seconds})
		}
	}
	slices.SortFunc(report.Partitions, func(a, b ownership.PartitionLoad) int { return a.Partition - b.Partition })
	u.since, u.partitions, u.keys = now, nil, sketch{}
	return report
}

// noteRun adds a request that has left its slot.
func (g *Gateway) noteRun(r *run, held time.Duration) {
	r.target.usage.add(r.partition, r.call.routingKey(), held)
}

// LoadReports returns the load of each target that this instance is in front
// of, since the last call. One goroutine calls it.
func (g *Gateway) LoadReports() []ownership.LoadReport {
	var reports []ownership.LoadReport
	now := g.clock.Now()
	for _, s := range g.cfg.Routes.Load().Services {
		for _, t := range s.Targets {
			if t.Local {
				reports = append(reports, g.targets.of(t).usage.take(t.Row.ID(), now))
			}
		}
	}
	slices.SortFunc(reports, func(a, b ownership.LoadReport) int {
		if a.Target < b.Target {
			return -1
		}
		return 1
	})
	return reports
}
