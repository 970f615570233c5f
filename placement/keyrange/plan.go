package keyrange

import (
	"math"

	"github.com/boragegate/boragegate/routing"
)

const (
	// imbalance is the load relative to an even share above which a target is
	// relieved, if it is strained and the excess is beyond the noise of the measurement.
	imbalance = 1.2
	// balanceSigmas is the number of standard errors of an even share that are taken
	// for noise when targets are compared.
	balanceSigmas = 1.5
	// lowUtilisation is the utilisation below which a target is not strained:
	// requests do not wait there.
	lowUtilisation = 0.45
	// idleShare of an even share marks a target that hardly gets requests, for
	// example one that has just joined.
	idleShare = 0.5
	// overload is the load relative to a target's capacity from which it is told. Below
	// it, the excess is within the error of both estimates.
	overload = 1.25
	// maxMoves bounds the spans that are on the move for their load at a time, together
	// with one more for each targetsPerMove targets: requests for them wait meanwhile.
	maxMoves       = 8
	targetsPerMove = 8
	// orphanParts is the number of parts into which the ranges of a lost target
	// are cut at most, so that several others share them.
	orphanParts = 6
	// interiorCost is the number of keys by which a cut inside a range has to be
	// narrower than one at its edge, because it leaves one range more to renew.
	// With the wider cuts, 150 targets have 300 ranges instead of 1,500.
	interiorCost = 1024
	// rangesPerTarget is the number of ranges a target from which light ranges are
	// joined: each is a lease that is renewed every second.
	rangesPerTarget = 3
	// lightShare of an even share makes a range light enough to join it to another.
	lightShare = 0.3
	// maxJoins bounds the joins of one plan.
	maxJoins = 4
	// hotKeyShare of its holder's capacity makes a single key a hot one. It cannot
	// be divided, so it goes to a faster target, and all else leaves its holder.
	hotKeyShare = 0.5
	// fasterBy is the factor by which the other target must be faster.
	fasterBy = 1.3
	// worthMoving is the part of the wanted load that a move has to bring at least.
	worthMoving = 0.1
	// tolerance is the deviation from the wanted load that a cut may have.
	tolerance = 0.3
)

// Target is a target that can hold keys.
type Target struct {
	routing.Lifetime
	// Capacity is the number of requests per second that it can serve; above 0.
	Capacity float64
}

// Range is a span with its present holder.
type Range struct {
	routing.Span
	// Holder is the zero Lifetime if nobody holds the span.
	Holder routing.Lifetime
	// Fixed ranges are already on the move and are left alone.
	Fixed bool
}

// Move gives a span to another holder.
type Move struct {
	routing.Span
	// Target is the new holder.
	Target routing.Lifetime
	// Load is the requests per second that go with the span.
	Load float64
}

// Result is what a plan found and decided.
type Result struct {
	Moves []Move
	// Mean is the utilisation that all targets would have if the load were divided evenly.
	Mean float64
	// Busiest is the target with the highest utilisation before the moves, Highest its utilisation.
	Busiest routing.Lifetime
	Highest float64
	// Load is the requests per second of all keys.
	Load float64
	// Overloaded are the targets with much more load than capacity, before the moves.
	Overloaded []Utilisation
}

// Utilisation is the load of a target relative to its capacity.
type Utilisation struct {
	routing.Lifetime
	Ratio float64
}

// Plan returns the moves that give every span a usable holder and relieve
// targets that carry too much. Targets are those that may hold keys.
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
	// measured is the part of the total that was measured.
	measured float64
	// seconds is the time over which it was measured.
	seconds float64
	moves   []Move
	// moving is the number of spans that are on the move already.
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
		p.measured = max(1-unseen*routing.KeyCount/p.total, 0)
	}
	return p
}

func (p *planner) utilisation(i int) float64 { return p.load[i] / p.targets[i].Capacity }

// mean is the utilisation that all targets would have if the load were divided evenly.
func (p *planner) mean() float64 {
	capacity := 0.0
	for _, t := range p.targets {
		capacity += t.Capacity
	}
	return p.total / capacity
}

// emptiest returns the target that would have the lowest utilisation with the extra load.
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

// placeOrphans gives the spans of holders that cannot be used to others. All
// spans of one holder together make at most about orphanParts cuts.
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

// placeOrphan cuts the span into pieces of about size requests per second and
// gives each to the target with the most room. Neighbouring pieces that get the
// same holder stay one span.
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

// pieceSize is the load of the next piece. Keys that never had a holder are
// divided in proportion to capacity, one piece a target.
func (p *planner) pieceSize(holder routing.Lifetime, size float64) float64 {
	if holder != (routing.Lifetime{}) {
		return size
	}
	return p.fair(p.emptiest(p.total / float64(len(p.targets))))
}

// fair is the load that a target would have if the load were divided evenly.
func (p *planner) fair(i int) float64 { return p.mean() * p.targets[i].Capacity }

// noise is the standard error of the measurement of an even share.
func (p *planner) noise(i int) float64 {
	return math.Sqrt(p.fair(i) * p.measured / p.seconds)
}

// idle reports whether a target hardly gets requests.
func (p *planner) idle(i int) bool {
	return p.load[i] == 0 || p.load[i]+p.noise(i) < idleShare*p.fair(i)
}

// strained reports whether requests wait at a target that has more than its share.
func (p *planner) strained(i int) bool {
	return p.utilisation(i) > lowUtilisation && p.load[i]-balanceSigmas*p.noise(i) > imbalance*p.fair(i)
}
