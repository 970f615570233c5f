package edge

import (
	"maps"
	"slices"
	"time"

	"github.com/boragegate/boragegate/routing"
)

// leavingRetention is the time for which a target is remembered as leaving. Targets exit
// within seconds of announcing it, but entries that expired during an outage of the store
// may reappear.
const leavingRetention = 5 * time.Minute

// leavingTargets are the lifetimes of targets that have announced in a response that they
// are leaving, with the time of the first announcement. The list of targets may show it
// later or never.
type leavingTargets struct {
	firstReportedAt map[routing.Lifetime]time.Duration
}

func newLeavingTargets() *leavingTargets {
	return &leavingTargets{firstReportedAt: map[routing.Lifetime]time.Duration{}}
}

// add records targets and returns those that were not known to be leaving.
func (l *leavingTargets) add(now time.Duration, ids []routing.Lifetime) []routing.Lifetime {
	var added []routing.Lifetime
	for _, id := range ids {
		if _, known := l.firstReportedAt[id]; !known {
			l.firstReportedAt[id] = now
			added = append(added, id)
		}
	}
	return added
}

// withDraining returns the targets with those that are leaving marked as draining. It
// doesn't change its argument.
func (l *leavingTargets) withDraining(targets []routing.Target) []routing.Target {
	if len(l.firstReportedAt) == 0 {
		return targets
	}
	targets = slices.Clone(targets)
	for i := range targets {
		if _, isLeaving := l.firstReportedAt[targets[i].Lifetime()]; isLeaving {
			targets[i].Draining = true
		}
	}
	return targets
}

// list returns all leaving targets in no particular order.
func (l *leavingTargets) list() []routing.Lifetime {
	return slices.Collect(maps.Keys(l.firstReportedAt))
}

// expire removes targets whose first announcement is older than leavingRetention.
func (l *leavingTargets) expire(now time.Duration) {
	maps.DeleteFunc(l.firstReportedAt, func(_ routing.Lifetime, reportedAt time.Duration) bool { return now-reportedAt > leavingRetention })
}
