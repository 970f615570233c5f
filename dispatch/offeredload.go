package dispatch

import (
	"math"
	"time"

	"github.com/boragegate/boragegate/routing"
)

const (
	// offeredLoadTTL is the age up to which a published offered load is valid. It is measured
	// and published several times a second while the overload lasts.
	offeredLoadTTL = time.Second
	// maxAdmittedLoad is the load, relative to the capacity of a target, that is admitted while
	// more is offered. At 1.4, its queue is full and every request that it serves is late.
	maxAdmittedLoad = 1.0
)

// lateFractionWeight is the weight of one request in the moving average of the late fraction.
const lateFractionWeight = 0.05

// GoldenRatio generates a low-discrepancy sequence: the fractional parts of its successive
// multiples are spread evenly over [0, 1).
const GoldenRatio = 0.6180339887498949

// OfferedLoad is the load that all instances together offer to a target, relative to its
// capacity. A single instance of many sees only a small part of it.
type OfferedLoad struct {
	routing.Lifetime
	Ratio float64 `msgpack:"o"`
}

// SetSequenceOffset sets the offset, from 0 to 1, of the sequence that replaces random numbers
// in the decisions. It must differ between instances, or all of them admit their first
// request.
func (b *Balancer) SetSequenceOffset(phase float64) {
	b.sequenceOffset = phase
	b.seed = math.Float64bits(phase)
}

// sequenceValue returns element n of the sequence of this instance, spread evenly over [0, 1).
func (b *Balancer) sequenceValue(n int) float64 {
	_, turn := math.Modf(b.sequenceOffset + float64(n)*GoldenRatio)
	return turn
}

// SetOfferedLoad replaces the offered load of all targets. Targets that are not listed are not
// overloaded.
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

// isOverloaded reports whether a valid offered load exceeds the capacity of the target.
func (t *targetState) isOverloaded(now time.Duration) bool {
	return t.offeredLoad > maxAdmittedLoad && now-t.offeredLoadAt <= offeredLoadTTL
}

// markFull records that a target had no capacity. All instances together would try it again
// before it has served its queue, so each backs off for its part of that time.
func (b *Balancer) markFull(now time.Duration, t *targetState) {
	share := time.Duration(float64(b.instanceCount) * float64(b.serviceTime(t)) / float64(max(t.Slots, 1)))
	if share <= reportHalfLife || !b.policy.Enabled(FullTargetBackoff) { // the reports to this instance are more accurate
		t.fullUntil, t.fullByQueue = now+shedBackoff, false
		return
	}
	b.sequenceIndex++
	pause := time.Duration(float64(min(share, maxFullDuration)) * (0.5 + b.sequenceValue(b.sequenceIndex)/2))
	t.fullUntil, t.fullByQueue = max(t.fullUntil, now+pause), true
}

// admittedFraction is the fraction of requests that are sent to an overloaded target. Requests
// that can still meet their objective take precedence; late ones get the remaining capacity.
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

// shedOverload rejects the fraction of the requests for an overloaded target that exceeds its
// capacity. It spreads the retry delays, so that callers do not return together.
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
