package keyrange

import (
	"cmp"
	"math"

	"github.com/boragegate/boragegate/routing"
)

const (
	// imbalanceThreshold is the load relative to a fair share above which a target is
	// relieved, provided that requests wait there and the excess is larger than the
	// measurement noise.
	imbalanceThreshold = 1.2
	// busyUtilisation is the utilisation from which busyImbalanceThreshold replaces
	// imbalanceThreshold: close to saturation, a small excess makes most requests late.
	busyUtilisation        = 0.95
	busyImbalanceThreshold = 1.08
	// imbalanceSigmas is the number of standard errors of a fair share that count as noise
	// when the loads of targets are compared. noiseSigmas is the corresponding number for
	// the fast rates of KeyRates.
	imbalanceSigmas = 1.5
	// minReliefUtilisation is the utilisation up to which a target needs no relief, because
	// requests do not wait there.
	minReliefUtilisation = 0.45
	// idleFraction is the fraction of its fair share below which a target counts as idle,
	// for example after it has just joined.
	idleFraction = 0.5
	// overloadThreshold is the utilisation above which a target is reported as overloaded.
	// A smaller excess lies within the error of the load and capacity estimates.
	overloadThreshold = 1.25
	// maxConcurrentMoves, plus one for every targetsPerExtraMove targets, is the number of
	// spans being moved, including those of this plan, from which rebalance plans no more
	// moves. Requests for a span wait while it is being moved.
	maxConcurrentMoves  = 8
	targetsPerExtraMove = 8
	// maxUnownedCuts is the approximate maximum number of cuts in all unowned ranges of one
	// former holder together. They are cut so that several other targets share their load.
	maxUnownedCuts = 6
	// interiorCutPenaltyKeys is added to the number of keys of a window that does not touch an
	// edge of its range when windows are compared, because moving it leaves one more range.
	// Each range has a lease that must be renewed. With the penalty, 150 targets have about
	// 300 ranges; without it, 1,500.
	interiorCutPenaltyKeys = 1024
	// mergeAboveRangesPerTarget is the average number of ranges per target above which
	// light ranges are merged. Each range has a lease that is renewed about every second.
	mergeAboveRangesPerTarget = 3
	// lightRangeFraction is the fraction of its holder's fair share up to which a range is
	// light enough to be merged into a neighbouring one.
	lightRangeFraction = 0.3
	// maxMergesPerPlan bounds the number of merges in one plan.
	maxMergesPerPlan = 4
	// hotKeyCapacityFraction is the fraction of its holder's capacity from which a single
	// key counts as hot. A key cannot be divided, so it moves to a faster target, and the
	// other keys of that target move away from it.
	hotKeyCapacityFraction = 0.5
	// minSpeedup is the minimum ratio of capacities for a hot key to move to the faster
	// target.
	minSpeedup = 1.3
	// minMoveFraction is the fraction of the wanted load that a window must exceed to be
	// moved if no window has about the wanted load.
	minMoveFraction = 0.1
	// loadTolerance is the relative deviation up to which the load of a window is about the
	// wanted load.
	loadTolerance = 0.3
)

// Target is a target that may hold keys.
type Target struct {
	routing.Lifetime
	// Capacity is the number of requests per second that the target can serve on time. It is
	// greater than 0.
	Capacity float64
	// Saturation is the number of requests per second that the target can serve at all; 0 if it is
	// the same as Capacity.
	Saturation float64
}

// Range is a span with its current holder.
type Range struct {
	routing.Span
	// Holder is the zero Lifetime if the span has no holder.
	Holder routing.Lifetime
	// Pinned excludes the range from planning, because it is already being moved. Plan also
	// sets it in its own copies, for ranges that it has planned to move.
	Pinned bool
}

// Move assigns a span to a new holder.
type Move struct {
	routing.Span
	// Target is the new holder.
	Target routing.Lifetime
	// Load is the estimated load of the span in requests per second.
	Load float64
}

// Result is the outcome of a call of Plan.
type Result struct {
	Moves []Move
	// MeanUtilisation is the utilisation that every target would have if the load were
	// divided in proportion to capacity.
	MeanUtilisation float64
	// Busiest is the target with the highest utilisation before the moves, and
	// HighestUtilisation is its utilisation.
	Busiest            routing.Lifetime
	HighestUtilisation float64
	// TotalLoad is the estimated load of all keys in requests per second.
	TotalLoad float64
	// Overloaded lists the targets whose load before the moves is more than a quarter above
	// their saturation.
	Overloaded []Utilisation
}

// Utilisation is the load of a target relative to its saturation.
type Utilisation struct {
	routing.Lifetime
	// Ratio is 1 if the load equals the saturation.
	Ratio float64
	// Key is the key with the highest load, and KeyRatio its part of Ratio.
	Key      int
	KeyRatio float64
}

// Plan returns the moves that give every span that is not pinned a holder in targets, merge
// light ranges, and relieve targets whose load is far above their fair share. The ranges must
// be ordered and cover all keys; the targets are those that may hold keys. Without targets,
// the result is empty.
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
		saturation := cmp.Or(t.Saturation, t.Capacity)
		if u := p.targetLoads[i] / saturation; u > overloadThreshold {
			key, rate := p.busiestKey(t.Lifetime)
			r.Overloaded = append(r.Overloaded, Utilisation{t.Lifetime, u, key, rate / saturation})
		}
	}
	p.reassignUnowned()
	p.mergeLightRanges()
	p.rebalance()
	r.Moves = p.moves
	return r
}

// weightedRange is a range with the load of each of its keys.
type weightedRange struct {
	Range
	keyRates []float64
	load     float64
}

// planner holds the state of one call of Plan.
type planner struct {
	targets     []Target
	targetIndex map[routing.Lifetime]int
	targetLoads []float64
	ranges      []weightedRange
	totalLoad   float64
	// measuredFraction is the fraction of the total load that comes from counted requests;
	// the remainder is the base rate.
	measuredFraction float64
	// measuredSeconds is the time that the counts of the slow rate cover.
	measuredSeconds float64
	moves           []Move
	// movesInProgress is the number of ranges that are already being moved.
	movesInProgress int
}

func newPlanner(ranges []Range, targets []Target, rates *KeyRates) *planner {
	p := &planner{targets: targets, targetIndex: map[routing.Lifetime]int{}, targetLoads: make([]float64, len(targets)), measuredSeconds: rates.slowSeconds()}
	for i, t := range targets {
		p.targetIndex[t.Lifetime] = i
	}
	baseRate := rates.baseRate()
	for _, r := range ranges {
		perKey, rangeLoad := rates.spanRates(r.Span, baseRate, noiseSigmasFor(len(ranges)))
		p.ranges = append(p.ranges, weightedRange{Range: r, keyRates: perKey, load: rangeLoad})
		p.totalLoad += rangeLoad
		if r.Pinned {
			p.movesInProgress++
		}
		if i, ok := p.targetIndex[r.Holder]; ok {
			p.targetLoads[i] += rangeLoad
		}
	}
	if p.totalLoad > 0 {
		p.measuredFraction = max(1-baseRate*routing.KeyCount/p.totalLoad, 0)
	}
	return p
}

// busiestKey returns the key of a holder with the highest rate.
func (p *planner) busiestKey(holder routing.Lifetime) (key int, rate float64) {
	for i := range p.ranges {
		if p.ranges[i].Holder != holder {
			continue
		}
		for j, keyRate := range p.ranges[i].keyRates {
			if keyRate > rate {
				key, rate = p.ranges[i].From+j, keyRate
			}
		}
	}
	return key, rate
}

func (p *planner) utilisation(i int) float64 { return p.targetLoads[i] / p.targets[i].Capacity }

// meanUtilisation returns the utilisation that every target would have if the load were
// divided in proportion to capacity.
func (p *planner) meanUtilisation() float64 {
	capacity := 0.0
	for _, t := range p.targets {
		capacity += t.Capacity
	}
	return p.totalLoad / capacity
}

// leastUtilised returns the index of the target whose utilisation would be lowest if it got
// the extra load.
func (p *planner) leastUtilised(extraLoad float64) int {
	best := 0
	for i, t := range p.targets {
		if (p.targetLoads[i]+extraLoad)/t.Capacity < (p.targetLoads[best]+extraLoad)/p.targets[best].Capacity {
			best = i
		}
	}
	return best
}

// assign plans the move of a span to the target with the index to.
func (p *planner) assign(s routing.Span, load float64, to int) {
	p.targetLoads[to] += load
	p.moves = append(p.moves, Move{Span: s, Target: p.targets[to].Lifetime, Load: load})
}

// reassignUnowned assigns the unowned ranges, whose holder is not usable, to other targets.
// All ranges of one former holder together are cut at most about maxUnownedCuts times.
func (p *planner) reassignUnowned() {
	unownedLoads := map[routing.Lifetime]float64{}
	for _, r := range p.ranges {
		if p.isUnowned(r) {
			unownedLoads[r.Holder] += r.load
		}
	}
	for _, r := range p.ranges {
		if !p.isUnowned(r) {
			continue
		}
		pieceLoad := unownedLoads[r.Holder] / maxUnownedCuts
		if r.Holder == (routing.Lifetime{}) {
			pieceLoad = p.totalLoad / float64(len(p.targets))
		}
		p.reassignUnownedRange(r, pieceLoad)
	}
}

func (p *planner) isUnowned(r weightedRange) bool {
	_, usable := p.targetIndex[r.Holder]
	return !usable && !r.Pinned
}

// reassignUnownedRange cuts the range into pieces of about the given load in requests per
// second and assigns each to the target whose utilisation stays lowest. Adjacent pieces
// with the same new holder become one move.
func (p *planner) reassignUnownedRange(r weightedRange, wantedLoad float64) {
	from, load := r.From, 0.0
	pieceLoad := p.pieceLoad(r.Holder, wantedLoad)
	for i, rate := range r.keyRates {
		load += rate
		key := r.From + i
		if key < r.To && load < pieceLoad {
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
		pieceLoad = p.pieceLoad(r.Holder, wantedLoad)
	}
}

// pieceLoad returns the load of the next piece of an unowned range. It is wantedLoad if the
// range had a holder. Keys that never had a holder are divided in proportion to capacity, one
// piece per target, and wantedLoad is ignored.
func (p *planner) pieceLoad(holder routing.Lifetime, wantedLoad float64) float64 {
	if holder != (routing.Lifetime{}) {
		return wantedLoad
	}
	return p.fairShare(p.leastUtilised(p.totalLoad / float64(len(p.targets))))
}

// fairShare returns the load that a target would have if the load were divided in
// proportion to capacity.
func (p *planner) fairShare(i int) float64 { return p.meanUtilisation() * p.targets[i].Capacity }

// standardError returns the standard error of the measured load of a target with a fair
// share.
func (p *planner) standardError(i int) float64 {
	return math.Sqrt(p.fairShare(i) * p.measuredFraction / p.measuredSeconds)
}

// isIdle reports whether a target gets far less load than its fair share.
func (p *planner) isIdle(i int) bool {
	return p.targetLoads[i] == 0 || p.targetLoads[i]+p.standardError(i) < idleFraction*p.fairShare(i)
}

// needsRelief reports whether requests wait at a target whose load is significantly above
// its fair share.
func (p *planner) needsRelief(i int) bool {
	threshold := imbalanceThreshold
	if p.utilisation(i) > busyUtilisation {
		threshold = busyImbalanceThreshold
	}
	return p.utilisation(i) > minReliefUtilisation && p.targetLoads[i]-imbalanceSigmas*p.standardError(i) > threshold*p.fairShare(i)
}
