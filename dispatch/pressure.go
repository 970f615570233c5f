package dispatch

import (
	"math"
	"time"

	"github.com/boragegate/boragegate/routing"
)

const (
	// pressureLife is the age up to which a published offered load is valid. It is measured
	// and published several times a second while the overload lasts.
	pressureLife = time.Second
	// admittedLoad is the load, relative to the capacity of a target, that is admitted while
	// more is offered. At 1.4, its queue is full and every request that it serves is late.
	admittedLoad = 1.0
)

// lateShareWeight is the weight of one request in the moving average of the late fraction.
const lateShareWeight = 0.05

// GoldenRatio generates a low-discrepancy sequence: the fractional parts of its successive
// multiples are spread evenly over [0, 1).
const GoldenRatio = 0.6180339887498949

// Pressure is the load that all instances together offer to a target, relative to its
// capacity. A single instance of many sees only a small part of it.
type Pressure struct {
	routing.Lifetime
	Offered float64 `msgpack:"o"`
}

// SetPhase sets the offset, from 0 to 1, of the sequence that replaces random numbers in
// the decisions. It must differ between instances, or all of them admit their first
// request.
func (b *Board) SetPhase(phase float64) {
	b.phase = phase
	b.seed = math.Float64bits(phase)
}

// turnOf returns element n of the sequence of this instance, spread evenly over [0, 1).
func (b *Board) turnOf(n int) float64 {
	_, turn := math.Modf(b.phase + float64(n)*GoldenRatio)
	return turn
}

// SetPressure replaces the offered load of all targets. Targets that are not listed are
// not overloaded.
func (b *Board) SetPressure(now time.Duration, list []Pressure) {
	for _, t := range b.byID {
		t.pressure = 0
	}
	for _, p := range list {
		if t := b.byID[p.Lifetime]; t != nil {
			t.pressure, t.pressureAt = p.Offered, now
		}
	}
}

// pressureKnown reports whether a valid offered load exceeds the capacity of the target.
func (t *target) pressureKnown(now time.Duration) bool {
	return t.pressure > admittedLoad && now-t.pressureAt <= pressureLife
}

// full records that a target had no capacity. All instances together would try it again
// before it has served its queue, so each backs off for its part of that time.
func (b *Board) full(now time.Duration, t *target) {
	share := time.Duration(float64(b.instances) * float64(b.serviceTime(t)) / float64(max(t.Slots, 1)))
	if share <= reportHalfLife || !b.policy.On(FullShare) { // the reports to this instance are more accurate
		t.fullUntil, t.queueFull = now+shedPause, false
		return
	}
	b.turn++
	pause := time.Duration(float64(min(share, longestFull)) * (0.5 + b.turnOf(b.turn)/2))
	t.fullUntil, t.queueFull = max(t.fullUntil, now+pause), true
}

// admitted is the fraction of requests that are sent to an overloaded target. Requests
// that can still meet their objective take precedence; late ones get the remaining
// capacity.
func admitted(pressure, lateShare float64, late bool) float64 {
	fresh := pressure * (1 - lateShare)
	if !late {
		return min(admittedLoad/max(fresh, admittedLoad), 1)
	}
	if fresh >= admittedLoad {
		return 0
	}
	return min((admittedLoad-fresh)/(pressure-fresh), 1)
}

// underPressure rejects the fraction of the requests for an overloaded target that exceeds
// its capacity. It spreads the retry delays, so that callers do not return together.
func (b *Board) underPressure(now time.Duration, t *target, r *Request) (Decision, bool) {
	if r.Repeat {
		return Decision{}, false
	}
	turn := b.turnOf(t.turns)
	t.turns++
	late := b.policy.On(LateLast) && r.late(b.serviceTime(t))
	share := 0.0
	if late {
		share = 1
	}
	t.lateShare += lateShareWeight * (share - t.lateShare)
	if turn < admitted(t.pressure, t.lateShare, late) {
		return Decision{}, false
	}
	d := b.expect(now, t)
	d.Load = max(d.Load, t.pressure*float64(t.Slots))
	after := time.Duration((0.5 + turn) * t.pressure * float64(b.serviceTime(t)))
	return reject(r, "target_pressed", after, d), true
}
