package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/boragegate/boragegate/ownership"
	"github.com/boragegate/boragegate/placement"
)

const (
	// maxHotKeys is the number of keys in a load report.
	maxHotKeys = 32
	// trackedKeys is the number of keys whose load is tracked at a time. A key with
	// more than 1/trackedKeys of the load is always found.
	trackedKeys = 256
)

// slotUsage sums the time for which requests to a target have held slots since
// the last load report, by partition and by key.
type slotUsage struct {
	mu            sync.Mutex
	intervalStart time.Time
	partitions    map[int]time.Duration
	keys          *placement.HotKeys
}

func (u *slotUsage) add(partition int, key string, slotTime time.Duration) {
	if partition == noPartition {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.partitions == nil {
		u.partitions, u.keys = make(map[int]time.Duration), placement.NewHotKeys(trackedKeys)
	}
	u.partitions[partition] += slotTime
	u.keys.Observe(key, xxhash.Sum64String(key), partition, slotTime.Seconds())
}

// collect returns the load since the last report, in slot-seconds per second, and
// starts a new interval.
func (u *slotUsage) collect(target string, now time.Time) ownership.LoadReport {
	u.mu.Lock()
	defer u.mu.Unlock()
	report := ownership.LoadReport{Target: target}
	if seconds := now.Sub(u.intervalStart).Seconds(); seconds > 0 && u.partitions != nil {
		for p, slotTime := range u.partitions {
			report.Partitions = append(report.Partitions, ownership.PartitionLoad{Partition: p, Load: slotTime.Seconds() / seconds})
		}
		for _, k := range u.keys.Top(maxHotKeys) {
			// The estimation error is subtracted, so that no key is reported with the
			// load of other keys.
			report.HotKeys = append(report.HotKeys, ownership.KeyLoad{Key: k.Key, Partition: k.Partition, Load: (k.Load - k.Error) / seconds})
		}
	}
	slices.SortFunc(report.Partitions, func(a, b ownership.PartitionLoad) int { return a.Partition - b.Partition })
	u.intervalStart, u.partitions, u.keys = now, nil, nil
	return report
}

// recordSlotTime adds the time for which a finished request held its slot.
func (g *Gateway) recordSlotTime(r *run, slotTime time.Duration) {
	r.target.slotUsage.add(r.partition, r.call.routingKey(), slotTime)
}

// LoadReports returns the load of each target that this instance controls since
// the previous call, sorted by target. Each call starts a new interval, so only one
// goroutine may call LoadReports.
func (g *Gateway) LoadReports() []ownership.LoadReport {
	var reports []ownership.LoadReport
	now := g.clock.Now()
	for _, s := range g.cfg.Routes.Load().Services {
		for _, t := range s.Targets {
			if t.Local {
				reports = append(reports, g.targets.ensure(t).slotUsage.collect(t.Row.ID(), now))
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
