package dispatch

import (
	"time"

	"github.com/boragegate/boragegate/routing"
)

// Result says how an attempt at a target ended.
type Result int

// Results.
const (
	// Answered means that the target ran the request and answered it well.
	Answered Result = iota
	// Failed means that the target answered with a failure of its own.
	Failed
	// Shed means that the target refused the request because it is full.
	Shed
	// Misdirected means that the target does not serve the key or is another one.
	Misdirected
	// Reset means that the target reset a new connection: it takes no more of them.
	Reset
	// Broken means that there was no usable answer.
	Broken
	// Abandoned means that this side ended the attempt; it says nothing about the target.
	Abandoned
)

// String returns the name of the result in logs and metrics.
func (r Result) String() string {
	return [...]string{"answered", "failed", "shed", "misdirected", "reset", "broken", "abandoned"}[r]
}

// Report is a target's own account of its load.
type Report struct {
	Running, Waiting int
}

// Started notes that a request is on its way to a target.
func (b *Board) Started(id routing.Lifetime) {
	if t := b.byID[id]; t != nil {
		t.inFlight++
	}
}

// Finished notes how an attempt ended, after the time took, with the target's
// report if there is one.
func (b *Board) Finished(now time.Duration, id routing.Lifetime, result Result, took time.Duration, report *Report) {
	t := b.byID[id]
	if t == nil {
		return
	}
	load := t.inFlight
	t.inFlight = max(t.inFlight-1, 0)
	if report != nil {
		t.reported, t.own, t.reportedAt, t.hasReport = report.Running+report.Waiting, t.inFlight, now, true
		t.others += averageWeight * (float64(max(t.reported-t.own, 0)) - t.others)
		load = max(load, report.Running+report.Waiting)
	}
	switch result {
	case Answered:
		b.answered(t, took, load)
		t.served++
		t.failures, t.ejected = 0, 0
		t.failureRate *= 1 - failureWeight
	case Failed:
		t.failures = 0
		t.failureRate += failureWeight * (1 - t.failureRate)
	case Shed:
		t.failures = 0
		if report != nil && report.Waiting >= t.Slots {
			b.full(now, t)
		} else { // refuses for another reason
			t.fullUntil, t.queueFull = now+shedPause, false
		}
	case Broken, Reset:
		if result == Reset {
			b.full(now, t)
		}
		t.failureRate += failureWeight * (1 - t.failureRate)
		if t.failures++; t.failures >= ejectAfter && b.policy.On(Ejection) {
			t.ejected = now + ejectTime
		}
	case Misdirected, Abandoned:
	}
}

// answered takes the time of an answer as a sample of the service time. Of a
// target with more requests than slots, only the part that is not waiting counts.
func (b *Board) answered(t *target, took time.Duration, load int) {
	if load > t.Slots {
		working := took * time.Duration(t.Slots) / time.Duration(load)
		// The queue may have been shorter when the request came: a target whose queue
		// fills must not look fast, or it gets even more.
		if t.serviceTime > 0 {
			took = max(working, time.Duration(leastWorking*float64(t.serviceTime)))
		}
	}
	t.busy += took
	if t.serviceTime == 0 {
		t.serviceTime = took
		return
	}
	t.serviceTime += time.Duration(latencyWeight * float64(took-t.serviceTime))
}

// Sample is what a target served since the last call of Samples.
type Sample struct {
	routing.Lifetime
	Served int           `msgpack:"s"`
	Busy   time.Duration `msgpack:"b"`
}

// Samples returns and clears what targets of partitioned services served.
func (b *Board) Samples() []Sample {
	var list []Sample
	for service := range b.owners {
		for _, t := range b.services[service] {
			if t.served > 0 {
				list = append(list, Sample{t.Lifetime(), t.served, t.busy})
				t.served, t.busy = 0, 0
			}
		}
	}
	return list
}
