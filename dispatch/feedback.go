package dispatch

import (
	"time"

	"github.com/boragegate/boragegate/routing"
)

// Result is the outcome of an attempt at a target.
type Result int

// Outcomes of an attempt.
const (
	// Succeeded means that the target ran the request and returned a response that is not a
	// server error.
	Succeeded Result = iota
	// Failed means that the target returned a server error and may have run the request.
	Failed
	// Shed means that the target refused the request without running it, usually because of its
	// load.
	Shed
	// Misdirected means that the target responded with status 421: it does not serve the key, or
	// it is not the server to which the request was addressed.
	Misdirected
	// Reset means that the target reset the connection, presumably because it is full or accepts
	// no more connections. It counts as a full queue and, at a target that has one, not as a failure.
	Reset
	// NoResponse means that there was no usable response.
	NoResponse
	// Canceled means that the instance ended the attempt, which says nothing about the target.
	Canceled
)

// String returns the name of the result in logs and metrics. These names differ from those of
// the constants; they are part of the interface to operators.
func (r Result) String() string {
	return [...]string{"answered", "failed", "shed", "misdirected", "reset", "broken", "abandoned"}[r]
}

// TargetLoad is the load that a target reports in a response: the numbers of requests that run
// and that wait in its queue.
type TargetLoad struct {
	Running, Waiting int
	// Pace is the time that work takes at the target at the moment, relative to the usual time; 0
	// if the target does not report it.
	Pace float64
}

// StartAttempt records that an attempt was sent to a target.
func (b *Balancer) StartAttempt(id routing.Lifetime) {
	if t := b.byID[id]; t != nil {
		t.inFlight++
	}
}

// FinishAttempt records the result and the duration of an attempt for which StartAttempt was
// called. The report is nil if the target sent none. Attempts at unknown targets are ignored.
func (b *Balancer) FinishAttempt(now time.Duration, id routing.Lifetime, result Result, duration time.Duration, report *TargetLoad) {
	t := b.byID[id]
	if t == nil {
		return
	}
	load := t.inFlight
	t.inFlight = max(t.inFlight-1, 0)
	if report != nil {
		t.reportedLoad, t.ownAtReport, t.reportedAt, t.hasReport = report.Running+report.Waiting, t.inFlight, now, true
		t.othersLoad += reportWeight * (float64(max(t.reportedLoad-t.ownAtReport, 0)) - t.othersLoad)
		b.recordPace(t, report.Pace)
		b.startOf(t.Service).heard = true
		t.zoneLoad.record(now, t.reportedLoad, t.Slots)
		load = max(load, report.Running+report.Waiting)
		b.recordRoom(now, t, result)
		if report.Waiting >= t.Slots {
			t.keys.congestedUntil = now + congestedTime
		}
	}
	switch result {
	case Succeeded:
		b.recordServiceTime(t, duration, load)
		t.servedCount++
		t.consecutiveFailures, t.ejectedUntil = 0, 0
		t.failureRate *= 1 - failureWeight
	case Failed:
		t.consecutiveFailures = 0
		t.failureRate += failureWeight * (1 - t.failureRate)
	case Shed:
		t.consecutiveFailures = 0
		if report != nil && report.Waiting >= t.Slots {
			b.markFull(now, t)
		} else { // refused although the queue is not full
			t.avoidUntil, t.fullByQueue = now+shedBackoff, false
		}
	case NoResponse, Reset:
		if result == Reset {
			d := b.estimate(now, t)
			b.markFull(now, t)
			if d.ExpectsQueue() {
				break
			}
		}
		t.failureRate += failureWeight * (1 - t.failureRate)
		if t.consecutiveFailures++; t.consecutiveFailures >= ejectionThreshold && b.policy.Enabled(Ejection) {
			t.ejectedUntil = now + ejectionDuration
		}
	case Misdirected, Canceled:
	}
}

// recordPace records the pace in a load report; 0 if it has none. The smallest pace is the base of the
// target, with which other paces are compared: its machine at times works much slower, but hardly faster.
func (b *Balancer) recordPace(t *targetState, pace float64) {
	t.pace = pace
	switch {
	case pace == 0:
		t.basePace = 0
		return
	case t.basePace == 0 || pace < t.basePace:
		t.basePace = pace
	default:
		t.basePace += basePaceRise * (pace - t.basePace)
	}
	totals := b.totalsOf(t.Service)
	totals.paceFactor += paceFactorWeight * (pace/t.basePace - totals.paceFactor)
}

// recordServiceTime records the duration of a successful attempt as a sample of the service
// time. If the load, the number of requests at the target, exceeds its slots, only the part that
// was presumably not spent in the queue counts.
func (b *Balancer) recordServiceTime(t *targetState, duration time.Duration, load int) {
	if load > t.Slots {
		servicePart := duration * time.Duration(t.Slots) / time.Duration(load)
		// The queue may have been shorter when the request arrived. Without a lower bound, a
		// target whose queue fills would appear fast and receive even more. The first sample of a
		// service is not reduced, because there is no known service time from which to take the bound.
		if known := b.knownServiceTime(t); known > 0 {
			duration = max(servicePart, time.Duration(minServiceTimeFraction*float64(known)))
		}
	}
	t.busyTime += duration
	work, prior := duration, serviceTimePriorSamples
	if t.basePace > 0 {
		work, prior = time.Duration(float64(duration)/t.basePace), workTimePriorSamples
	}
	totals := b.totalsOf(t.Service)
	known := t.workTime
	if t.serviceSamples == 0 {
		known = totals.meanWorkTime()
	}
	if known == 0 {
		known = work
	}
	weight := max(serviceTimeWeight, 1/float64(prior+t.serviceSamples+1))
	totals.remove(t)
	t.serviceSamples++
	t.workTime = known + time.Duration(weight*float64(work-known))
	totals.add(t)
}

// ServiceSample is the work that a target completed for this instance since the last call of
// TakeSamples.
type ServiceSample struct {
	routing.Lifetime
	// Served is the number of successful attempts, and BusyTime the sum of their service times.
	Served   int           `msgpack:"s"`
	BusyTime time.Duration `msgpack:"b"`
}

// TakeSamples returns the work completed by the targets of all services with known holders of
// keys since the last call. Targets without completed work are left out.
func (b *Balancer) TakeSamples() []ServiceSample {
	var list []ServiceSample
	for service := range b.owners {
		for _, t := range b.services[service] {
			if t.servedCount > 0 {
				list = append(list, ServiceSample{t.Lifetime(), t.servedCount, t.busyTime})
				t.servedCount, t.busyTime = 0, 0
			}
		}
	}
	return list
}
