package keyrange

import (
	"math"

	"github.com/boragegate/boragegate/routing"
)

const (
	// imbalanceThreshold is the load relative to an even share above which a target is
	// relieved, if it is strained and the excess is beyond the noise of the measurement.
	imbalanceThreshold = 1.2
	// imbalanceSigmas is the number of standard errors of an even share that are taken
	// for noise when targets are compared.
	imbalanceSigmas = 1.5
	// minReliefUtilisation is the utilisation below which a target is not strained:
	// requests do not wait there.
	minReliefUtilisation = 0.45
	// idleFraction of an even share marks a target that hardly gets requests, for
	// example one that has just joined.
	idleFraction = 0.5
	// overloadThreshold is the load relative to a target's capacity from which it is told. Below
	// it, the excess is within the error of both estimates.
	overloadThreshold = 1.25
	// maxConcurrentMoves bounds the spans that are on the move for their load at a time, together
	// with one more for each targetsPerExtraMove targets: requests for them wait meanwhile.
	maxConcurrentMoves  = 8
	targetsPerExtraMove = 8
	// maxUnownedPieces is the number of parts into which the ranges of a lost target
	// are cut at most, so that several others share them.
	maxUnownedPieces = 6
	// interiorCutPenaltyKeys is the number of keys by which a cut inside a range has to be
	// narrower than one at its edge, because it leaves one range more to renew.
	// With the wider cuts, 150 targets have 300 ranges instead of 1,500.
	interiorCutPenaltyKeys = 1024
	// mergeAboveRangesPerTarget is the number of ranges a target from which light ranges are
	// joined: each is a lease that is renewed every second.
	mergeAboveRangesPerTarget = 3
	// lightRangeFraction of an even share makes a range light enough to join it to another.
	lightRangeFraction = 0.3
	// maxMergesPerPlan bounds the joins of one plan.
	maxMergesPerPlan = 4
	// hotKeyCapacityFraction of its holder's capacity makes a single key a hot one. It cannot
	// be divided, so it goes to a faster target, and all else leaves its holder.
	hotKeyCapacityFraction = 0.5
	// minSpeedup is the factor by which the other target must be faster.
	minSpeedup = 1.3
	// minMoveFraction is the part of the wanted load that a move has to bring at least.
	minMoveFraction = 0.1
	// loadTolerance is the deviation from the wanted load that a cut may have.
	loadTolerance = 0.3
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
	// Pinned ranges are already on the move and are left alone.
	Pinned bool
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
	// MeanUtilisation is the utilisation that all targets would have if the load were divided evenly.
	MeanUtilisation float64
	// Busiest is the target with the highest utilisation before the moves, Highest its utilisation.
	Busiest            routing.Lifetime
	HighestUtilisation float64
	// TotalLoad is the requests per second of all keys.
	TotalLoad float64
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
func Plan(ranges []Range, targets []Target, rates *KeyRates) Result {
	if len(targets) == 0 {
		return Result{}
	}
	p := newPlanner(ranges, targets, rates)
	r := Result{MeanUtilisation: p.meanUtilisation(), TotalLoad: p.totalLoad}
	for i, t := range targets {
		if u := p.utilisation(i); u >= r.HighestUtilisation {
			r.Busiest, r.HighestUtilisation = t.Lifetime, u
		}
		if u := p.utilisation(i); u > overloadThreshold {
			r.Overloaded = append(r.Overloaded, Utilisation{t.Lifetime, u})
		}
	}
	p.reassignUnowned()
	p.mergeLightRanges()
	p.rebalance()
	r.Moves = p.moves
	return r
}

type weightedRange struct {
	Range
	keyRates []float64
	load     float64
}

type planner struct {
	targets     []Target
	targetIndex map[routing.Lifetime]int
	targetLoads []float64
	ranges      []weightedRange
	totalLoad   float64
	// measuredFraction is the part of the total that was measured.
	measuredFraction float64
	// measuredSeconds is the time over which it was measured.
	measuredSeconds float64
	moves           []Move
	// movesInProgress is the number of spans that are on the move already.
	movesInProgress int
}

func newPlanner(ranges []Range, targets []Target, rates *KeyRates) *planner {
	p := &planner{targets: targets, targetIndex: map[routing.Lifetime]int{}, targetLoads: make([]float64, len(targets)), measuredSeconds: rates.slowSeconds()}
	for i, t := range targets {
		p.targetIndex[t.Lifetime] = i
	}
	unseen := rates.baseRate()
	for _, r := range ranges {
		w, sum := rates.spanRates(r.Span, unseen, noiseSigmasFor(len(ranges)))
		p.ranges = append(p.ranges, weightedRange{Range: r, keyRates: w, load: sum})
		p.totalLoad += sum
		if r.Pinned {
			p.movesInProgress++
		}
		if i, ok := p.targetIndex[r.Holder]; ok {
			p.targetLoads[i] += sum
		}
	}
	if p.totalLoad > 0 {
		p.measuredFraction = max(1-unseen*routing.KeyCount/p.totalLoad, 0)
	}
	return p
}

func (p *planner) utilisation(i int) float64 { return p.targetLoads[i] / p.targets[i].Capacity }

// meanUtilisation is the utilisation that all targets would have if the load were divided evenly.
func (p *planner) meanUtilisation() float64 {
	capacity := 0.0
	for _, t := range p.targets {
		capacity += t.Capacity
	}
	return p.totalLoad / capacity
}

// leastUtilised returns the target that would have the lowest utilisation with the extra load.
func (p *planner) leastUtilised(extra float64) int {
	best := 0
	for i, t := range p.targets {
		if (p.targetLoads[i]+extra)/t.Capacity < (p.targetLoads[best]+extra)/p.targets[best].Capacity {
			best = i
		}
	}
	return best
}

func (p *planner) assign(s routing.Span, load float64, to int) {
	p.targetLoads[to] += load
	p.moves = append(p.moves, Move{Span: s, Target: p.targets[to].Lifetime, Load: load})
}

// reassignUnowned gives the spans of holders that cannot be used to others. All
// spans of one holder together make at most about maxUnownedPieces cuts.
func (p *planner) reassignUnowned() {
	orphaned := map[routing.Lifetime]float64{}
	for _, r := range p.ranges {
		if p.isUnowned(r) {
			orphaned[r.Holder] += r.load
		}
	}
	for _, r := range p.ranges {
		if !p.isUnowned(r) {
			continue
		}
		size := orphaned[r.Holder] / maxUnownedPieces
		if r.Holder == (routing.Lifetime{}) {
			size = p.totalLoad / float64(len(p.targets))
		}
		p.reassignUnownedRange(r, size)
	}
}

func (p *planner) isUnowned(r weightedRange) bool {
	_, usable := p.targetIndex[r.Holder]
	return !usable && !r.Pinned
}

// reassignUnownedRange cuts the span into pieces of about size requests per second and
// gives each to the target with the most room. Neighbouring pieces that get the
// same holder stay one span.
func (p *planner) reassignUnownedRange(r weightedRange, size float64) {
	from, load := r.From, 0.0
	piece := p.pieceLoad(r.Holder, size)
	for i, w := range r.keyRates {
		load += w
		key := r.From + i
		if key < r.To && load < piece {
			continue
		}
		to := p.leastUtilised(load)
		if last := len(p.moves) - 1; last >= 0 && p.moves[last].Target == p.targets[to].Lifetime && p.moves[last].To == from-1 && from > r.From {
			p.moves[last].To = key
			p.moves[last].Load += load
			p.targetLoads[to] += load
		} else {
			p.assign(routing.Span{From: from, To: key}, load, to)
		}
		from, load = key+1, 0
		piece = p.pieceLoad(r.Holder, size)
	}
}

// pieceLoad is the load of the next piece. Keys that never had a holder are
// divided in proportion to capacity, one piece a target.
func (p *planner) pieceLoad(holder routing.Lifetime, size float64) float64 {
	if holder != (routing.Lifetime{}) {
		return size
	}
	return p.fairShare(p.leastUtilised(p.totalLoad / float64(len(p.targets))))
}

// fairShare is the load that a target would have if the load were divided evenly.
func (p *planner) fairShare(i int) float64 { return p.meanUtilisation() * p.targets[i].Capacity }

// standardError is the standard error of the measurement of an even share.
func (p *planner) standardError(i int) float64 {
	return math.Sqrt(p.fairShare(i) * p.measuredFraction / p.measuredSeconds)
}

// isIdle reports whether a target hardly gets requests.
func (p *planner) isIdle(i int) bool {
	return p.targetLoads[i] == 0 || p.targetLoads[i]+p.standardError(i) < idleFraction*p.fairShare(i)
}

// needsRelief reports whether requests wait at a target that has more than its share.
func (p *planner) needsRelief(i int) bool {
	return p.utilisation(i) > minReliefUtilisation && p.targetLoads[i]-imbalanceSigmas*p.standardError(i) > imbalanceThreshold*p.fairShare(i)
}
