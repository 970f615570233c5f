package keyrange

import (
	"math"

	"github.com/boragegate/boragegate/routing"
)

const (
	// imbalance is the load relative to a fair share above which a target is relieved,
	// provided that requests wait there and the excess is larger than the measurement
	// noise.
	imbalance = 1.2
	// balanceSigmas is the number of standard errors of a fair share that count as noise
	// when targets are compared.
	balanceSigmas = 1.5
	// lowUtilisation is the utilisation up to which a target needs no relief, because
	// requests do not wait there.
	lowUtilisation = 0.45
	// idleShare is the fraction of its fair share below which a target counts as idle, for
	// example after it has just joined.
	idleShare = 0.5
	// overload is the utilisation above which a target is reported as overloaded. A
	// smaller excess lies within the error of the load and capacity estimates.
	overload = 1.25
	// maxMoves, plus one for every targetsPerMove targets, is the number of spans being
	// moved from which balancing starts no further moves. Requests for a span wait while
	// it is being moved.
	maxMoves       = 8
	targetsPerMove = 8
	// orphanParts is the maximum number of pieces into which the ranges of a lost target
	// are cut, so that several other targets share its load.
	orphanParts = 6
	// interiorCost is the number of keys by which a cut inside a range must be narrower
	// than a cut at its edge to be preferred, because it leaves one more range whose lease
	// must be renewed. Cuts at the edges keep 150 targets at 300 ranges instead of 1,500.
	interiorCost = 1024
	// rangesPerTarget is the average number of ranges per target above which light ranges
	// are merged. Each range has a lease that is renewed every second.
	rangesPerTarget = 3
	// lightShare is the fraction of its holder's fair share up to which a range is light
	// enough to be merged into a neighbouring one.
	lightShare = 0.3
	// maxJoins bounds the number of merges in one plan.
	maxJoins = 4
	// hotKeyShare is the fraction of its holder's capacity from which a single key counts
	// as hot. A key cannot be divided, so it moves to a faster target, and the other keys
	// of that target move away from it.
	hotKeyShare = 0.5
	// fasterBy is the minimum ratio of capacities for a hot key to move to the faster
	// target.
	fasterBy = 1.3
	// worthMoving is the fraction of the wanted load that a move must exceed to be
	// worthwhile.
	worthMoving = 0.1
	// tolerance is the relative deviation from the wanted load that is accepted for a
	// move.
	tolerance = 0.3
)

// Target is a target that may hold keys.
type Target struct {
	routing.Lifetime
	// Capacity is the number of requests per second that the target can serve. It is
	// greater than 0.
	Capacity float64
}

// Range is a span with its current holder.
type Range struct {
	routing.Span
	// Holder is the zero Lifetime if the span has no holder.
	Holder routing.Lifetime
	// Fixed excludes the range from planning, for example because it is already being
	// moved.
	Fixed bool
}

// Move assigns a span to a new holder.
type Move struct {
	routing.Span
	// Target is the new holder.
	Target routing.Lifetime
	// Load is the measured load of the span in requests per second.
	Load float64
}

// Result is the outcome of a planning round.
type Result struct {
	Moves []Move
	// Mean is the utilisation that every target would have if the load were divided in
	// proportion to capacity.
	Mean float64
	// Busiest is the target with the highest utilisation before the moves, and Highest is
	// its utilisation.
	Busiest routing.Lifetime
	Highest float64
	// Load is the load of all keys in requests per second.
	Load float64
	// Overloaded lists the targets whose load is far above their capacity before the
	// moves.
	Overloaded []Utilisation
}

// Utilisation is the load of a target relative to its capacity.
type Utilisation struct {
	routing.Lifetime
	Ratio float64
}

// Plan returns the moves that give every span a usable holder and relieve targets whose
// load is far above their fair share. The ranges are ordered and cover all keys; the
// targets are those that may hold keys. Without targets, the result is empty.
func Plan(ranges []Range, targets []Target, rates *Rates) Result {
	if len(targets) == 0 {
		return Result{}
	}
	p := newPlanner(ranges, targets, rates)
	r := Result{Mean: p.mean(), Load: p.total}
	for i, t := range targets {
		if u := p.utilisation(i); u >= r.Highest {
			r.Busiest, r.Highest = t.Lifetime, u
		}
		if u := p.utilisation(i); u > overload {
			r.Overloaded = append(r.Overloaded, Utilisation{t.Lifetime, u})
		}
	}
	p.placeOrphans()
	p.join()
	p.relieve()
	r.Moves = p.moves
	return r
}

type part struct {
	Range
	weights []float64
	load    float64
}

type planner struct {
	targets []Target
	index   map[routing.Lifetime]int
	load    []float64
	parts   []part
	total   float64
	// measured is the fraction of the total load that comes from counted requests.
	measured float64
	// seconds is the length of the measurement in seconds.
	seconds float64
	moves   []Move
	// moving is the number of ranges that are already being moved.
	moving int
}

func newPlanner(ranges []Range, targets []Target, rates *Rates) *planner {
	p := &planner{targets: targets, index: map[routing.Lifetime]int{}, load: make([]float64, len(targets)), seconds: rates.slowTime()}
	for i, t := range targets {
		p.index[t.Lifetime] = i
	}
	unseen := rates.unseen()
	for _, r := range ranges {
		w, sum := rates.weights(r.Span, unseen, sigmas(len(ranges)))
		p.parts = append(p.parts, part{Range: r, weights: w, load: sum})
		p.total += sum
		if r.Fixed {
			p.moving++
		}
		if i, ok := p.index[r.Holder]; ok {
			p.load[i] += sum
		}
	}
	if p.total > 0 {
		p.measured = max(1-unseen*routing.Keys/p.total, 0)
	}
	return p
}

func (p *planner) utilisation(i int) float64 { return p.load[i] / p.targets[i].Capacity }

// mean returns the utilisation that every target would have if the load were divided in
// proportion to capacity.
func (p *planner) mean() float64 {
	capacity := 0.0
	for _, t := range p.targets {
		capacity += t.Capacity
	}
	return p.total / capacity
}

// emptiest returns the index of the target whose utilisation would be lowest if it got the
// extra load.
func (p *planner) emptiest(extra float64) int {
	best := 0
	for i, t := range p.targets {
		if (p.load[i]+extra)/t.Capacity < (p.load[best]+extra)/p.targets[best].Capacity {
			best = i
		}
	}
	return best
}

func (p *planner) give(s routing.Span, load float64, to int) {
	p.load[to] += load
	p.moves = append(p.moves, Move{Span: s, Target: p.targets[to].Lifetime, Load: load})
}

// placeOrphans assigns the ranges whose holder is not usable to other targets. All ranges
// of one lost holder are cut into about orphanParts pieces in total.
func (p *planner) placeOrphans() {
	orphaned := map[routing.Lifetime]float64{}
	for _, r := range p.parts {
		if p.orphan(r) {
			orphaned[r.Holder] += r.load
		}
	}
	for _, r := range p.parts {
		if !p.orphan(r) {
			continue
		}
		size := orphaned[r.Holder] / orphanParts
		if r.Holder == (routing.Lifetime{}) {
			size = p.total / float64(len(p.targets))
		}
		p.placeOrphan(r, size)
	}
}

func (p *planner) orphan(r part) bool {
	_, usable := p.index[r.Holder]
	return !usable && !r.Fixed
}

// placeOrphan cuts the range into pieces of about the given load in requests per second
// and assigns each to the target whose utilisation stays lowest. Adjacent pieces with the
// same new holder become one move.
func (p *planner) placeOrphan(r part, size float64) {
	from, load := r.From, 0.0
	piece := p.pieceSize(r.Holder, size)
	for i, w := range r.weights {
		load += w
		key := r.From + i
		if key < r.To && load < piece {
			continue
		}
		to := p.emptiest(load)
		if last := len(p.moves) - 1; last >= 0 && p.moves[last].Target == p.targets[to].Lifetime && p.moves[last].To == from-1 && from > r.From {
			p.moves[last].To = key
			p.moves[last].Load += load
			p.load[to] += load
		} else {
			p.give(routing.Span{From: from, To: key}, load, to)
		}
		from, load = key+1, 0
		piece = p.pieceSize(r.Holder, size)
	}
}

// pieceSize returns the load of the next piece. Keys that never had a holder are divided
// in proportion to capacity, one piece per target.
func (p *planner) pieceSize(holder routing.Lifetime, size float64) float64 {
	if holder != (routing.Lifetime{}) {
		return size
	}
	return p.fair(p.emptiest(p.total / float64(len(p.targets))))
}

// fair returns the load that a target would have if the load were divided in proportion to
// capacity.
func (p *planner) fair(i int) float64 { return p.mean() * p.targets[i].Capacity }

// noise returns the standard error of the measured load of a target with a fair share.
func (p *planner) noise(i int) float64 {
	return math.Sqrt(p.fair(i) * p.measured / p.seconds)
}

// idle reports whether a target gets far less load than its fair share.
func (p *planner) idle(i int) bool {
	return p.load[i] == 0 || p.load[i]+p.noise(i) < idleShare*p.fair(i)
}

// strained reports whether requests wait at a target whose load is significantly above its
// fair share.
func (p *planner) strained(i int) bool {
	return p.utilisation(i) > lowUtilisation && p.load[i]-balanceSigmas*p.noise(i) > imbalance*p.fair(i)
}
