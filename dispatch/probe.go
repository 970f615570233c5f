package dispatch

import (
	"slices"
	"time"

	"github.com/boragegate/boragegate/routing"
)

const (
	// probeInterval is the time without a response of a target that names a rate limit after which an instance sends it a
	// request although another target is expected to be faster. Only a response shows that the limit has ended.
	probeInterval = time.Second
	// probeIntervalPerInstance times the number of instances is the interval after the limit has ended, when requests
	// need no permits any more, if it is longer: all instances together send 8 probes a second.
	probeIntervalPerInstance = 125 * time.Millisecond
	// probeDuration is the time after the end of a limit for which the target is probed: the load and the service time that
	// this instance knows are those from before the limit.
	probeDuration = 5 * time.Second
	// probeScanInterval is the shortest time between two searches for a target to be probed, so that their cost does not
	// depend on the number of requests.
	probeScanInterval = 50 * time.Millisecond
)

// probeTarget returns a target of the service that names a rate limit or did so recently, and of which this instance has
// seen no response for too long; nil if there is none.
func (b *Balancer) probeTarget(now time.Duration, r *Request) *targetState {
	if len(b.limited) == 0 || now < b.nextProbeScan[r.Service] || r.IsRetry || r.IsHedge || r.Ticket.Target != (routing.Lifetime{}) {
		return nil
	}
	b.nextProbeScan[r.Service] = now + probeScanInterval
	var oldest *targetState
	for _, t := range b.limited {
		if t.Service != r.Service || !b.isProbeDue(now, t) || slices.Contains(r.TriedTargets, t.ID) || b.lacksPermit(now, t, r) {
			continue
		}
		if oldest == nil || t.probedAt < oldest.probedAt || t.probedAt == oldest.probedAt && t.ID < oldest.ID {
			oldest = t
		}
	}
	if oldest != nil {
		oldest.probedAt = now
	}
	return oldest
}

// isProbeDue reports whether a target has to be probed, if a permit is available.
func (b *Balancer) isProbeDue(now time.Duration, t *targetState) bool {
	interval := probeInterval
	switch {
	case t.permits.IsWarmingUp(now) || t.inFlight > 0 || now < t.avoidUntil || !t.isCandidate(now, healthyTargets):
		return false
	case !t.permits.InForce():
		if now-t.permits.EndedAt >= probeDuration {
			return false
		}
		interval = max(interval, probeIntervalPerInstance*time.Duration(b.instanceCount))
	}
	return now-max(t.reportedAt, t.probedAt) >= interval
}

// assumedLoad returns the load that other instances are assumed to put on a target without a recent report: the average of
// the service, or what its rate limit admits if that is less. Otherwise a limited target beside overloaded ones would count
// as overloaded, and would receive no request whose response shows that it is not.
func (b *Balancer) assumedLoad(now time.Duration, t *targetState) float64 {
	average := b.averageOthersLoad(now, t.Service)
	if !t.permits.Applies(now) {
		return average
	}
	return min(average, t.permits.Rate(now)*b.currentServiceTime(now, t).Seconds())
}
