package dispatch

import (
	"slices"
	"time"

	"github.com/boragegate/boragegate/ratelimit"
	"github.com/boragegate/boragegate/routing"
)

// targetState is what this instance knows about one lifetime of a target.
type targetState struct {
	routing.Target
	// coldUntil is the time until which the target counts as slow. warmUpUntil is the end of its warm-up according to its
	// last entry, and markedUntil that according to MarkWarmingUp. warmUpReported is set if TakeWarmUpChanges has
	// reported that the target is limited for its warm-up.
	coldUntil, warmUpUntil, markedUntil time.Duration
	warmUpReported                      bool
	inFlight                            int
	// reportedLoad is the load that the target last reported, at reportedAt. At that time, this
	// instance had ownAtReport requests in flight there.
	reportedLoad int
	ownAtReport  int
	// loadAfterReport is reportedLoad without the request whose response had the report.
	loadAfterReport int
	reportedAt      time.Duration
	hasReport       bool
	// pace is the pace that the target last reported, at reportedAt, and basePace its pace when it is not slowed down;
	// both are 0 if it has reported none.
	pace, basePace float64
	// othersLoad is the moving average of the reported load without the requests of this instance.
	othersLoad float64
	// workTime is the average time of a request without queueing, over serviceSamples samples, divided by the base pace
	// if the target reports its pace. totalled is what the target adds to the serviceTotals of its service.
	workTime            time.Duration
	serviceSamples      int
	totalled            serviceTotals
	failureRate         float64
	consecutiveFailures int
	ejectedUntil        time.Duration
	// avoidUntil is the time until which the target counts as full because it has shed a
	// request or reset a connection.
	avoidUntil  time.Duration
	fullByQueue bool // set if avoidUntil is due to a full queue
	// leavingAt is the time at which the target first announced its shutdown in a response; 0 if it has not.
	leavingAt time.Duration
	// zoneLoad is the load of its zone.
	zoneLoad *zoneLoad
	// pausedUntil is the end of the pause that the target has asked for.
	pausedUntil time.Duration
	permits     ratelimit.Permits // what is known about its rate limit, and this instance's part in it
	probedAt    time.Duration     // the last time at which probeTarget returned it
	// offeredLoad is the offered load received at offeredLoadAt, relative to capacity; 0 if the target is not
	// overloaded.
	offeredLoad float64
	// publishedHotKey is the key with the highest load and hotKeyLoad its part of offeredLoad; 0 if none was published.
	publishedHotKey int
	hotKeyLoad      float64
	keys            keyCounts
	// subsetRank is the rank of the target in the choice of this instance's subset; the targets
	// with the highest ranks are chosen.
	subsetRank    uint64
	offeredLoadAt time.Duration
	// admissionIndex is the position in the quasi-random sequence for the next request that is
	// admitted or rejected according to offeredLoad.
	admissionIndex int
	// servedCount is the number of requests, and busyTime their total service time, since the
	// last call of TakeSamples.
	servedCount int
	busyTime    time.Duration
}

// SetTargets replaces the list of targets. The state of targets that remain is kept.
func (b *Balancer) SetTargets(now time.Duration, list []routing.Target) {
	listed := make(map[routing.Lifetime]bool, len(list))
	for i := range list {
		listed[list[i].Lifetime()] = true
	}
	var removed []routing.Lifetime
	for id := range b.byID {
		if !listed[id] {
			removed = append(removed, id)
		}
	}
	b.ChangeTargets(now, list, removed)
}

// ChangeTargets adds or replaces the targets in updated and removes those in removed.
func (b *Balancer) ChangeTargets(now time.Duration, updated []routing.Target, removed []routing.Lifetime) {
	for _, s := range b.subsets {
		s.stale = true
	}
	for _, id := range removed {
		if t := b.byID[id]; t != nil {
			delete(b.byID, id)
			delete(b.limited, id)
			delete(b.warming, id)
			delete(b.asking, id)
			b.removeFromZone(t)
			b.removeFromService(t)
		}
	}
	for i := range updated {
		t := &updated[i]
		s := b.byID[t.Lifetime()]
		switch {
		case s == nil:
			s = &targetState{coldUntil: now + t.WarmUp}
			b.byID[t.Lifetime()] = s
			b.services[t.Service] = append(b.services[t.Service], s)
		case s.Service != t.Service:
			b.removeFromService(s)
			b.services[t.Service] = append(b.services[t.Service], s)
			b.totalsOf(t.Service).add(s)
		}
		b.removeFromZone(s)
		s.Target = *t
		b.recordWarmUp(now, s)
		b.countInZone(s)
	}
}

// removeFromService removes a target from the list of its service.
func (b *Balancer) removeFromService(t *targetState) {
	b.totalsOf(t.Service).remove(t)
	list := b.services[t.Service]
	if i := slices.Index(list, t); i >= 0 {
		b.services[t.Service] = slices.Delete(list, i, i+1)
	}
}

// SetOwners replaces the holders of the keys of a service. The list is ordered by key.
func (b *Balancer) SetOwners(service string, owners []routing.Owner) { b.owners[service] = owners }
