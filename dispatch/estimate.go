package dispatch

import (
	"math"
	"time"
)

// estimate estimates the load of a target and when it would finish a request.
func (b *Balancer) estimate(now time.Duration, t *targetState) Decision {
	d := Decision{Target: t.Target, Load: float64(t.inFlight), ReportAge: -1}
	usual := b.averageOthersLoad(now, t.Service)
	service := float64(b.serviceTime(t))
	if t.hasReport {
		d.ReportAge = now - t.reportedAt
		last := float64(max(t.reportedLoad-t.ownAtReport, 0))
		recent := math.Exp2(-float64(d.ReportAge) / max(float64(reportHalfLife), service))
		known := math.Exp2(-float64(d.ReportAge) / max(float64(averageHalfLife), minAverageServiceTimes*service))
		d.Load += last*recent + (t.othersLoad*known+usual*(1-known))*(1-recent)
	} else {
		d.Load += usual
	}
	if now < t.coldUntil && b.policy.Enabled(ColdStart) {
		service *= coldStartFactor
	}
	rounds := max(1, (d.Load+1)/float64(t.Slots))
	d.ExpectedLatency, d.ExpectedQueueTime = time.Duration(service*rounds), time.Duration(service*(rounds-1))
	return d
}

// averageOthersLoad is the load by other instances that a target of the service has on
// average, as far as known. It stands for targets without a recent report.
func (b *Balancer) averageOthersLoad(now time.Duration, service string) float64 {
	u := b.averageLoads[service]
	if u == nil {
		u = &cachedLoad{at: -averageLoadInterval}
		b.averageLoads[service] = u
	}
	if now-u.at < averageLoadInterval {
		return u.load
	}
	sum, n := 0.0, 0
	for _, t := range b.services[service] {
		if t.hasReport && !t.Draining && t.leavingAt == 0 {
			sum += t.othersLoad
			n++
		}
	}
	u.at, u.load = now, sum/float64(max(n, 1))
	return u.load
}

// cachedLoad is an average that is worked out anew after a while.
type cachedLoad struct {
	at   time.Duration
	load float64
}

func (b *Balancer) serviceTime(t *targetState) time.Duration {
	if t.serviceTime > 0 {
		return t.serviceTime
	}
	var sum time.Duration
	n := 0
	for _, other := range b.services[t.Service] {
		if other.serviceTime > 0 {
			sum += other.serviceTime
			n++
		}
	}
	if n == 0 {
		return defaultServiceTime
	}
	return sum / time.Duration(n)
}
