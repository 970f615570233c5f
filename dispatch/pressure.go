package dispatch

import (
	"math"
	"time"

	"github.com/boragegate/boragegate/routing"
)

const (
	// offeredLoadTTL is the age up to which a measured pressure counts. It is measured
	// and told several times a second while it lasts.
	offeredLoadTTL = time.Second
	// maxAdmittedLoad is the load relative to a target's capacity that is admitted to it
	// while more is offered. With 1.4, its queue is full and all that it serves is late.
	maxAdmittedLoad = 1.0
)

// lateFractionWeight is the weight of one request in the share of late ones.
const lateFractionWeight = 0.05

// GoldenRatio times successive numbers, without the whole part, is spread evenly
// from 0 to 1.
const GoldenRatio = 0.6180339887498949

// OfferedLoad is what is offered to a target by all instances, relative to what it
// can serve. One instance of many sees only a small part of that.
type OfferedLoad struct {
	routing.Lifetime
	Ratio float64 `msgpack:"o"`
}

// SetSequenceOffset sets where the turns of this instance begin, from 0 to 1. Instances need
// different ones, or all admit their first request.
func (b *Balancer) SetSequenceOffset(phase float64) {
	b.sequenceOffset = phase
	b.seed = math.Float64bits(phase)
}

// sequenceValue spreads the turns of this instance evenly from 0 to 1.
func (b *Balancer) sequenceValue(n int) float64 {
	_, turn := math.Modf(b.sequenceOffset + float64(n)*GoldenRatio)
	return turn
}

// SetOfferedLoad replaces the pressure of all targets; those not listed have room.
func (b *Balancer) SetOfferedLoad(now time.Duration, list []OfferedLoad) {
	for _, t := range b.byID {
		t.offeredLoad = 0
	}
	for _, p := range list {
		if t := b.byID[p.Lifetime]; t != nil {
			t.offeredLoad, t.offeredLoadAt = p.Ratio, now
		}
	}
}

// isOverloaded reports whether more is offered to a target than it can serve, as was told lately.
func (t *targetState) isOverloaded(now time.Duration) bool {
	return t.offeredLoad > maxAdmittedLoad && now-t.offeredLoadAt <= offeredLoadTTL
}

// markFull notes that a target had no room. All instances together would ask it again
// sooner than it has served its queue, so each waits for its share of that.
func (b *Balancer) markFull(now time.Duration, t *targetState) {
	share := time.Duration(float64(b.instanceCount) * float64(b.serviceTime(t)) / float64(max(t.Slots, 1)))
	if share <= reportHalfLife || !b.policy.Enabled(FullTargetBackoff) { // what it reports to this instance says more
		t.fullUntil, t.fullByQueue = now+shedBackoff, false
		return
	}
	b.sequenceIndex++
	pause := time.Duration(float64(min(share, maxFullDuration)) * (0.5 + b.sequenceValue(b.sequenceIndex)/2))
	t.fullUntil, t.fullByQueue = max(t.fullUntil, now+pause), true
}

// admittedFraction is the share of requests that are sent to a target under pressure. Those that
// can still be on time go first; those that are late get what is left.
func admittedFraction(pressure, lateShare float64, late bool) float64 {
	fresh := pressure * (1 - lateShare)
	if !late {
		return min(maxAdmittedLoad/max(fresh, maxAdmittedLoad), 1)
	}
	if fresh >= maxAdmittedLoad {
		return 0
	}
	return min((maxAdmittedLoad-fresh)/(pressure-fresh), 1)
}

// shedOverload rejects so many of the requests for a target that the rest is
// what it can serve. The others come back at different times, not together.
func (b *Balancer) shedOverload(now time.Duration, t *targetState, r *Request) (Decision, bool) {
	if r.IsRetry {
		return Decision{}, false
	}
	turn := b.sequenceValue(t.admissionIndex)
	t.admissionIndex++
	late := b.policy.Enabled(OnTimeFirst) && r.missesObjective(b.serviceTime(t))
	share := 0.0
	if late {
		share = 1
	}
	t.lateFraction += lateFractionWeight * (share - t.lateFraction)
	if turn < admittedFraction(t.offeredLoad, t.lateFraction, late) {
		return Decision{}, false
	}
	d := b.estimate(now, t)
	d.Load = max(d.Load, t.offeredLoad*float64(t.Slots))
	after := time.Duration((0.5 + turn) * t.offeredLoad * float64(b.serviceTime(t)))
	return reject(r, "target_pressed", after, d), true
}
