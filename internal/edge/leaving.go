package edge

import (
	"maps"
	"slices"
	"time"

	"github.com/boragegate/boragegate/routing"
)

// leavingRetention is the time for which it is remembered that a target leaves. Targets end
// within seconds of their word, and entries that lapsed in an outage may come back.
const leavingRetention = 5 * time.Minute

// leavingTargets are the lifetimes of targets that have said in an answer that they
// leave, with the time of the first word. The list of targets may say so later or never.
type leavingTargets struct {
	firstReportedAt map[routing.Lifetime]time.Duration
}

func newLeavingTargets() *leavingTargets {
	return &leavingTargets{firstReportedAt: map[routing.Lifetime]time.Duration{}}
}

// add returns those that are new.
func (l *leavingTargets) add(now time.Duration, ids []routing.Lifetime) []routing.Lifetime {
	var news []routing.Lifetime
	for _, id := range ids {
		if _, known := l.firstReportedAt[id]; !known {
			l.firstReportedAt[id] = now
			news = append(news, id)
		}
	}
	return news
}

// withDraining returns the targets, with those that leave as draining.
func (l *leavingTargets) withDraining(targets []routing.Target) []routing.Target {
	if len(l.firstReportedAt) == 0 {
		return targets
	}
	targets = slices.Clone(targets)
	for i := range targets {
		if _, leaves := l.firstReportedAt[targets[i].Lifetime()]; leaves {
			targets[i].Draining = true
		}
	}
	return targets
}

// list returns all.
func (l *leavingTargets) list() []routing.Lifetime {
	return slices.Collect(maps.Keys(l.firstReportedAt))
}

// expire forgets those whose word is old.
func (l *leavingTargets) expire(now time.Duration) {
	maps.DeleteFunc(l.firstReportedAt, func(_ routing.Lifetime, at time.Duration) bool { return now-at > leavingRetention })
}
