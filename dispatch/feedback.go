package dispatch

import (
	"time"

	"github.com/boragegate/boragegate/routing"
)

// Result is the outcome of an attempt at a target.
type Result int

// Outcomes of an attempt.
const (
	// Answered means that the target ran the request and returned a response that is no
	// server error.
	Answered Result = iota
	// Failed means that the target returned an error of its own.
	Failed
	// Shed means that the target refused the request because of its load.
	Shed
	// Misdirected means that the target does not serve the key or is not the expected
	// server.
	Misdirected
	// Reset means that the target reset a new connection: it accepts no more of them.
	Reset
	// Broken means that there was no usable response.
	Broken
	// Abandoned means that this side ended the attempt; the target is not to blame.
	Abandoned
)

// String returns the name of the result in logs and metrics.
func (r Result) String() string {
	return [...]string{"answered", "failed", "shed", "misdirected", "reset", "broken", "abandoned"}[r]
}

// Report is the load that a target reports in a response: the numbers of requests that run
// and that wait in its queue.
type Report struct {
	Running, Waiting int
}

// Started records that an attempt was sent to a target.
func (b *Board) Started(id routing.Lifetime) {
	if t := b.byID[id]; t != nil {
		t.inFlight++
	}
}

// Finished records the result and the duration of an attempt. The report is nil if the
// target sent none.
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
		} else { // refused for another reason
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

// answered records the duration of a successful attempt as a sample of the service time.
// If the target has more requests than slots, only the part that was not spent in the
// queue counts.
func (b *Board) answered(t *target, took time.Duration, load int) {
	if load > t.Slots {
		working := took * time.Duration(t.Slots) / time.Duration(load)
		// The queue may have been shorter when the request arrived. Without a lower bound, a
		// target whose queue fills would appear fast and receive even more.
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

// Sample is the work that a target completed since the last call of Samples.
type Sample struct {
	routing.Lifetime
	Served int           `msgpack:"s"`
	Busy   time.Duration `msgpack:"b"`
}

// Samples returns and resets the work completed by the targets of partitioned services.
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
