package dispatch

import (
	"math"
	"time"

	"github.com/boragegate/boragegate/routing"
)

const (
	// pressureLife is the age up to which a measured pressure counts. It is measured
	// and told several times a second while it lasts.
	pressureLife = time.Second
	// admittedLoad is the load relative to a target's capacity that is admitted to it
	// while more is offered. With 1.4, its queue is full and all that it serves is late.
	admittedLoad = 1.0
)

// lateShareWeight is the weight of one request in the share of late ones.
const lateShareWeight = 0.05

// GoldenRatio times successive numbers, without the whole part, is spread evenly
// from 0 to 1.
const GoldenRatio = 0.6180339887498949

// Pressure is what is offered to a target by all instances, relative to what it
// can serve. One instance of many sees only a small part of that.
type Pressure struct {
	routing.Lifetime
	Offered float64 `msgpack:"o"`
}

// SetPhase sets where the turns of this instance begin, from 0 to 1. Instances need
// different ones, or all admit their first request.
func (b *Board) SetPhase(phase float64) {
	b.phase = phase
	b.seed = math.Float64bits(phase)
}

// turnOf spreads the turns of this instance evenly from 0 to 1.
func (b *Board) turnOf(n int) float64 {
	_, turn := math.Modf(b.phase + float64(n)*GoldenRatio)
	return turn
}

// SetPressure replaces the pressure of all targets; those not listed have room.
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

// pressureKnown reports whether more is offered to a target than it can serve, as was told lately.
func (t *target) pressureKnown(now time.Duration) bool {
	return t.pressure > admittedLoad && now-t.pressureAt <= pressureLife
}

// full notes that a target had no room. All instances together would ask it again
// sooner than it has served its queue, so each waits for its share of that.
func (b *Board) full(now time.Duration, t *target) {
	share := time.Duration(float64(b.instances) * float64(b.serviceTime(t)) / float64(max(t.Slots, 1)))
	if share <= reportHalfLife || !b.policy.On(FullShare) { // what it reports to this instance says more
		t.fullUntil, t.queueFull = now+shedPause, false
		return
	}
	b.turn++
	pause := time.Duration(float64(min(share, longestFull)) * (0.5 + b.turnOf(b.turn)/2))
	t.fullUntil, t.queueFull = max(t.fullUntil, now+pause), true
}

// admitted is the share of requests that are sent to a target under pressure. Those that
// can still be on time go first; those that are late get what is left.
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

// underPressure rejects so many of the requests for a target that the rest is
// what it can serve. The others come back at different times, not together.
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
