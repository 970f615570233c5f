package dispatch

import (
	"math"
	"time"
)

// estimate estimates the load of a target and the time in which it would complete a request.
func (b *Balancer) estimate(now time.Duration, t *targetState) Decision {
	d := Decision{Target: t.Target, Load: float64(t.inFlight), ReportAge: -1}
	serviceAverage := b.assumedLoad(now, t)
	serviceTime := float64(b.serviceTime(t))
	if t.hasReport {
		d.ReportAge = now - t.reportedAt
		lastOthers := float64(max(t.reportedLoad-t.ownAtReport, 0))
		reportFraction := math.Exp2(-float64(d.ReportAge) / max(float64(reportHalfLife), serviceTime))
		averageFraction := math.Exp2(-float64(d.ReportAge) / max(float64(averageHalfLife), minAverageServiceTimes*serviceTime))
		d.Load += lastOthers*reportFraction + (t.othersLoad*averageFraction+serviceAverage*(1-averageFraction))*(1-reportFraction)
	} else {
		d.Load += serviceAverage
	}
	if b.isCold(now, t) {
		serviceTime *= coldStartFactor
	}
	serviceTime *= b.relativePace(now, t)
	rounds := max(1, (d.Load+1)/float64(t.Slots))
	d.ExpectedLatency, d.ExpectedQueueTime = time.Duration(serviceTime*rounds), time.Duration(serviceTime*(rounds-1))
	return d
}

// relativePace returns the factor by which a request takes longer at the target now than on
// average. A slow stretch may have ended since the last report, so the factor approaches 1 as the
// report ages.
func (b *Balancer) relativePace(now time.Duration, t *targetState) float64 {
	if t.basePace == 0 || !b.policy.Enabled(Pace) {
		return 1
	}
	factor := t.pace / t.basePace / b.totalsOf(t.Service).paceFactor
	return 1 + (factor-1)*math.Exp2(-float64(now-t.reportedAt)/float64(reportHalfLife))
}

// averageOthersLoad returns the average load that other instances put on a target of the
// service, over the targets with reports. It is assumed for targets without a recent report.
func (b *Balancer) averageOthersLoad(now time.Duration, service string) float64 {
	cached := b.averageLoads[service]
	if cached == nil {
		cached = &cachedLoad{at: -averageLoadInterval}
		b.averageLoads[service] = cached
	}
	if now-cached.at < averageLoadInterval {
		return cached.load
	}
	sum, n := 0.0, 0
	for _, t := range b.services[service] {
		if t.hasReport && !t.Draining && t.leavingAt == 0 {
			sum += t.othersLoad
			n++
		}
	}
	cached.at, cached.load = now, sum/float64(max(n, 1))
	return cached.load
}

// cachedLoad is a cached average and the time of its computation.
type cachedLoad struct {
	at   time.Duration
	load float64
}

// serviceTotals sums up the targets of a service that have samples of the service time, so that
// means do not take a pass over all targets.
type serviceTotals struct {
	targets               int
	serviceTime, workTime time.Duration
	// adopted is the mean service time that other instances have measured; 0 if unknown.
	adopted time.Duration
	// paceFactor is the moving average, over all reports, of the pace relative to the base of its target.
	paceFactor float64
}

func (b *Balancer) totalsOf(service string) *serviceTotals {
	totals := b.serviceTotals[service]
	if totals == nil {
		totals = &serviceTotals{paceFactor: 1}
		b.serviceTotals[service] = totals
	}
	return totals
}

// add adds a target that has samples. remove has to be called before its samples change.
func (s *serviceTotals) add(t *targetState) {
	if t.serviceSamples > 0 {
		t.totalled = serviceTotals{targets: 1, serviceTime: t.ownServiceTime(), workTime: t.workTime}
		s.targets++
		s.serviceTime += t.totalled.serviceTime
		s.workTime += t.totalled.workTime
	}
}

func (s *serviceTotals) remove(t *targetState) {
	s.targets -= t.totalled.targets
	s.serviceTime -= t.totalled.serviceTime
	s.workTime -= t.totalled.workTime
	t.totalled = serviceTotals{}
}

func (s *serviceTotals) meanServiceTime() time.Duration {
	if s.targets == 0 {
		return s.adopted
	}
	return s.serviceTime / time.Duration(max(s.targets, 1))
}

func (s *serviceTotals) meanWorkTime() time.Duration {
	return s.workTime / time.Duration(max(s.targets, 1))
}

// ownServiceTime returns the average service time according to the samples of the target.
func (t *targetState) ownServiceTime() time.Duration {
	if t.basePace > 0 {
		return time.Duration(float64(t.workTime) * t.basePace)
	}
	return t.workTime
}

// serviceTime returns the average service time of the target, or defaultServiceTime if it is not known.
func (b *Balancer) serviceTime(t *targetState) time.Duration {
	if known := b.knownServiceTime(t); known > 0 {
		return known
	}
	return defaultServiceTime
}

// knownServiceTime returns the average service time of the target or, if it has no samples, the mean
// of the other targets of the service; 0 if none has samples.
func (b *Balancer) knownServiceTime(t *targetState) time.Duration {
	if t.serviceSamples > 0 {
		return t.ownServiceTime()
	}
	return b.totalsOf(t.Service).meanServiceTime()
}
