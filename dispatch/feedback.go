package dispatch

import (
	"time"

	"github.com/boragegate/boragegate/routing"
)

// Result says how an attempt at a target ended.
type Result int

// Results.
const (
	// Succeeded means that the target ran the request and answered it well.
	Succeeded Result = iota
	// Failed means that the target answered with a failure of its own.
	Failed
	// Shed means that the target refused the request because it is full.
	Shed
	// Misdirected means that the target does not serve the key or is another one.
	Misdirected
	// Reset means that the target reset a new connection: it takes no more of them.
	Reset
	// NoResponse means that there was no usable answer.
	NoResponse
	// Canceled means that this side ended the attempt; it says nothing about the target.
	Canceled
)

// String returns the name of the result in logs and metrics.
func (r Result) String() string {
	return [...]string{"answered", "failed", "shed", "misdirected", "reset", "broken", "abandoned"}[r]
}

// TargetLoad is a target's own account of its load.
type TargetLoad struct {
	Running, Waiting int
}

// StartAttempt notes that a request is on its way to a target.
func (b *Balancer) StartAttempt(id routing.Lifetime) {
	if t := b.byID[id]; t != nil {
		t.inFlight++
	}
}

// FinishAttempt notes how an attempt ended, after the time took, with the target's
// report if there is one.
func (b *Balancer) FinishAttempt(now time.Duration, id routing.Lifetime, result Result, took time.Duration, report *TargetLoad) {
	t := b.byID[id]
	if t == nil {
		return
	}
	load := t.inFlight
	t.inFlight = max(t.inFlight-1, 0)
	if report != nil {
		t.reportedLoad, t.ownAtReport, t.reportedAt, t.hasReport = report.Running+report.Waiting, t.inFlight, now, true
		t.othersLoad += reportWeight * (float64(max(t.reportedLoad-t.ownAtReport, 0)) - t.othersLoad)
		load = max(load, report.Running+report.Waiting)
	}
	switch result {
	case Succeeded:
		b.recordServiceTime(t, took, load)
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
		} else { // refuses for another reason
			t.fullUntil, t.fullByQueue = now+shedBackoff, false
		}
	case NoResponse, Reset:
		if result == Reset {
			b.markFull(now, t)
		}
		t.failureRate += failureWeight * (1 - t.failureRate)
		if t.consecutiveFailures++; t.consecutiveFailures >= ejectionThreshold && b.policy.Enabled(Ejection) {
			t.ejectedUntil = now + ejectionDuration
		}
	case Misdirected, Canceled:
	}
}

// recordServiceTime takes the time of an answer as a sample of the service time. Of a
// target with more requests than slots, only the part that is not waiting counts.
func (b *Balancer) recordServiceTime(t *targetState, took time.Duration, load int) {
	if load > t.Slots {
		working := took * time.Duration(t.Slots) / time.Duration(load)
		// The queue may have been shorter when the request came: a target whose queue
		// fills must not look fast, or it gets even more.
		if t.serviceTime > 0 {
			took = max(working, time.Duration(minServiceTimeFraction*float64(t.serviceTime)))
		}
	}
	t.busyTime += took
	if t.serviceTime == 0 {
		t.serviceTime = took
		return
	}
	t.serviceTime += time.Duration(serviceTimeWeight * float64(took-t.serviceTime))
}

// ServiceSample is what a target served since the last call of Samples.
type ServiceSample struct {
	routing.Lifetime
	Served   int           `msgpack:"s"`
	BusyTime time.Duration `msgpack:"b"`
}

// TakeSamples returns and clears what targets of partitioned services served.
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
