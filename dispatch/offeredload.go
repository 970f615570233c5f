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
	// more is offered. A higher value fills the queue: at 1.0, with 75 instances and 3 slots a
	// target, a third of the responses is late, and at 1.4 all of them are.
	maxAdmittedLoad = 0.9
)

// lateFractionWeight is the weight of one request in the moving average of the late fraction.
const lateFractionWeight = 0.05

// GoldenRatio generates a quasi-random (low-discrepancy) sequence: the fractional parts of its
// successive multiples are spread evenly over [0, 1).
const GoldenRatio = 0.6180339887498949

// OfferedLoad is the load that all instances together offer to a target, relative to its
// capacity. A single instance of many sees only a small part of it.
type OfferedLoad struct {
	routing.Lifetime
	Ratio float64 `msgpack:"o"`
	// HotKey is the key with the highest load, and HotKeyRatio its part of Ratio. HotKeyRatio is 0 if no key stands out,
	// and from leaders of earlier versions.
	HotKey      int     `msgpack:"k,omitempty"`
	HotKeyRatio float64 `msgpack:"h,omitempty"`
}

// SetSeed sets the offset, from 0 to 1, of the quasi-random sequence that decisions use in
// place of random numbers, and the seed of the hash that selects the subset of targets. It must
// differ between instances. With equal offsets, all instances would make the same decision
// about their first request to an overloaded target, for example to admit it, and would prefer
// the same targets.
func (b *Balancer) SetSeed(offset float64) {
	b.sequenceOffset = offset
	b.seed = math.Float64bits(offset)
}

// quasiRandom returns element n of the quasi-random sequence of this instance. The elements are
// spread evenly over [0, 1).
func (b *Balancer) quasiRandom(n int) float64 {
	_, fraction := math.Modf(b.sequenceOffset + float64(n)*GoldenRatio)
	return fraction
}

// SetOfferedLoad replaces the offered load of all targets. Targets that are not listed are not
// overloaded.
func (b *Balancer) SetOfferedLoad(now time.Duration, list []OfferedLoad) {
	for _, t := range b.byID {
		t.offeredLoad, t.hotKeyLoad = 0, 0
	}
	for _, offered := range list {
		if t := b.byID[offered.Lifetime]; t != nil {
			t.offeredLoad, t.offeredLoadAt = offered.Ratio, now
			t.publishedHotKey, t.hotKeyLoad = offered.HotKey, min(offered.HotKeyRatio, offered.Ratio)
		}
	}
}

// isOverloaded reports whether a valid offered load exceeds the capacity of the target.
func (t *targetState) isOverloaded(now time.Duration) bool {
	return t.offeredLoad > maxAdmittedLoad && now-t.offeredLoadAt <= offeredLoadTTL
}

// markFull records that a target had no capacity. If each instance tried it again after a short
// delay, their requests together would fill the queue again before the target has served it. So
// the backoff grows with the number of instances: together they send about as many requests as
// the target serves.
func (b *Balancer) markFull(now time.Duration, t *targetState) {
	backoff := time.Duration(float64(b.instanceCount) * float64(b.serviceTime(t)) / float64(max(t.Slots, 1)))
	// For up to reportHalfLife, the load that the target has just reported is a better basis for
	// decisions than this backoff.
	if backoff <= reportHalfLife || !b.policy.Enabled(FullTargetBackoff) {
		t.avoidUntil, t.fullByQueue = now+shedBackoff, false
		return
	}
	b.sequenceIndex++
	jittered := time.Duration(float64(min(backoff, maxFullDuration)) * (0.5 + b.quasiRandom(b.sequenceIndex)/2))
	t.avoidUntil, t.fullByQueue = max(t.avoidUntil, now+jittered), true
}

// admittedFraction returns the fraction of the requests that is sent to an overloaded target:
// of those that can still meet their objective or, if late is set, of the others. The former
// take precedence; late ones get the remaining capacity.
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
// capacity. It returns false if the request is admitted; retries are always admitted, and requests that
// wait for room have been. It spreads the retry delays, so that callers do not return together.
func (b *Balancer) rejectOverload(now time.Duration, t *targetState, r *Request) (Decision, bool) {
	if r.IsRetry || r.waitsForRoom() {
		return Decision{}, false
	}
	offered, index := b.offeredLoadFor(now, t, r)
	admissionValue := b.quasiRandom(*index)
	*index++
	late := b.policy.Enabled(OnTimeFirst) && r.missesObjective(b.serviceTime(t))
	lateSample := 0.0
	if late {
		lateSample = 1
	}
	lateFraction := b.lateFractions[t.Service]
	lateFraction += lateFractionWeight * (lateSample - lateFraction)
	b.lateFractions[t.Service] = lateFraction
	if admissionValue < admittedFraction(offered, lateFraction, late) {
		return Decision{}, false
	}
	d := b.estimate(now, t)
	d.Load = max(d.Load, t.offeredLoad*float64(t.Slots))
	delay := spreadRetryAfter(r, t.offeredLoad*float64(b.serviceTime(t)), admissionValue)
	return reject(r, "target_pressed", delay, d), true
}
