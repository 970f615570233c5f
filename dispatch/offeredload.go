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

// SetSeed sets the offset, from 0 to 1, of the sequence that replaces random numbers
// in the decisions. It must differ between instances, or all of them admit their first
// request.
func (b *Balancer) SetSeed(offset float64) {
	b.sequenceOffset = offset
	b.seed = math.Float64bits(offset)
}

// quasiRandom returns element n of the sequence of this instance, spread evenly over [0, 1).
func (b *Balancer) quasiRandom(n int) float64 {
	_, fraction := math.Modf(b.sequenceOffset + float64(n)*GoldenRatio)
	return fraction
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
	backoff := time.Duration(float64(b.instanceCount) * float64(b.serviceTime(t)) / float64(max(t.Slots, 1)))
	if backoff <= reportHalfLife || !b.policy.Enabled(FullTargetBackoff) { // the reports to this instance are more accurate
		t.avoidUntil, t.fullByQueue = now+shedBackoff, false
		return
	}
	b.sequenceIndex++
	jittered := time.Duration(float64(min(backoff, maxFullDuration)) * (0.5 + b.quasiRandom(b.sequenceIndex)/2))
	t.avoidUntil, t.fullByQueue = max(t.avoidUntil, now+jittered), true
}

// admittedFraction is the fraction of requests that are sent to an overloaded target. Requests
// that can still meet their objective take precedence; late ones get the remaining capacity.
func admittedFraction(offeredLoad, lateFraction float64, late bool) float64 {
	onTimeLoad := offeredLoad * (1 - lateFraction)
	if !late {
		return min(maxAdmittedLoad/max(onTimeLoad, maxAdmittedLoad), 1)
	}
	if onTimeLoad >= maxAdmittedLoad {
		return 0
	}
	return min((maxAdmittedLoad-onTimeLoad)/(offeredLoad-onTimeLoad), 1)
}

// rejectOverload rejects the fraction of the requests for an overloaded target that exceeds its
// capacity. It spreads the retry delays, so that callers do not return together.
func (b *Balancer) rejectOverload(now time.Duration, t *targetState, r *Request) (Decision, bool) {
	if r.IsRetry {
		return Decision{}, false
	}
	draw := b.quasiRandom(t.admissionIndex)
	t.admissionIndex++
	late := b.policy.Enabled(OnTimeFirst) && r.missesObjective(b.serviceTime(t))
	lateSample := 0.0
	if late {
		lateSample = 1
	}
	t.lateFraction += lateFractionWeight * (lateSample - t.lateFraction)
	if draw < admittedFraction(t.offeredLoad, t.lateFraction, late) {
		return Decision{}, false
	}
	d := b.estimate(now, t)
	d.Load = max(d.Load, t.offeredLoad*float64(t.Slots))
	delay := time.Duration((0.5 + draw) * t.offeredLoad * float64(b.serviceTime(t)))
	return reject(r, "target_pressed", delay, d), true
}
