package evacuation

import (
	"iter"

	"github.com/boragegate/boragegate/routing"
)

// Capacity is what an evacuation leaves of the slots of one service.
type Capacity struct {
	// RemainingShare is the fraction of the slots in zones that are not evacuated.
	RemainingShare float64
	// RemainingSlots is their number.
	RemainingSlots int
}

// IsShort reports whether the given load, in requests at targets, exceeds the remaining slots. Then queues build up
// at all targets, and requests are rejected.
func (c Capacity) IsShort(load float64) bool {
	return c.RemainingSlots == 0 || load > float64(c.RemainingSlots)
}

// Capacities returns what the evacuated zones leave of the slots of each service. Targets that are draining do not
// count.
func (s *Schedule) Capacities(targets iter.Seq[routing.Target]) map[string]Capacity {
	all, out := map[string]int{}, map[string]Capacity{}
	for t := range targets {
		if t.Draining {
			continue
		}
		all[t.Service] += t.Slots
		c := out[t.Service]
		if !s.IsEvacuated(t.Zone) {
			c.RemainingSlots += t.Slots
		}
		out[t.Service] = c
	}
	for service, c := range out {
		if all[service] > 0 {
			c.RemainingShare = float64(c.RemainingSlots) / float64(all[service])
		}
		out[service] = c
	}
	return out
}
