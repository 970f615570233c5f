package evacuation

import (
	"slices"

	"github.com/boragegate/boragegate/placement/keyrange"
	"github.com/boragegate/boragegate/routing"
)

// KeepForNow prepares the input of a plan of key moves. A target of an evacuated zone whose keys do not move yet is
// left out of the targets, so that it gets no more keys, and its ranges are pinned: otherwise keys would move from
// one target of the zone to the next and move again. Like keyrange.Plan, it takes ranges in the order of their keys.
func (s *Schedule) KeepForNow(targets []routing.Target, ranges []keyrange.Range) ([]routing.Target, []keyrange.Range) {
	if s.EvacuatedZones() == 0 {
		return targets, ranges
	}
	keeping := map[routing.Lifetime]bool{}
	targets = slices.DeleteFunc(slices.Clone(targets), func(t routing.Target) bool {
		evacuated := s.IsEvacuated(t.Zone)
		keeping[t.Lifetime()] = evacuated
		return evacuated
	})
	ranges = slices.Clone(ranges)
	for i := range ranges {
		ranges[i].Pinned = ranges[i].Pinned || keeping[ranges[i].Holder]
	}
	return targets, ranges
}
