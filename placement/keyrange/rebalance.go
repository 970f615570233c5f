package keyrange

import (
	"github.com/boragegate/boragegate/routing"
)

// mergeLightRanges moves light ranges to the holder of an adjacent range, which merges the two,
// so that the number of leases does not grow with every cut. The lightest ones are moved first.
func (p *planner) mergeLightRanges() {
	for merges := 0; merges < maxMergesPerPlan && len(p.ranges)-merges > mergeAboveRangesPerTarget*len(p.targets); merges++ {
		lightest, to := -1, 0
		for i, r := range p.ranges {
			holder, usable := p.targetIndex[r.Holder]
			if r.Pinned || !usable || r.load > lightRangeFraction*p.fairShare(holder) || lightest >= 0 && r.load >= p.ranges[lightest].load {
				continue
			}
			if n := p.mergeTarget(i, holder); n >= 0 {
				lightest, to = i, n
			}
		}
		if lightest < 0 {
			return
		}
		r := &p.ranges[lightest]
		p.targetLoads[p.targetIndex[r.Holder]] -= r.load
		p.assign(r.Span, r.load, to)
		r.Pinned = true
	}
}

// mergeTarget returns the index of another target that holds a range adjacent to range i and
// would stay within its fair share if it got range i too, or -1.
func (p *planner) mergeTarget(i, holder int) int {
	for _, j := range []int{i - 1, i + 1} {
		if j < 0 || j >= len(p.ranges) || p.ranges[j].Pinned {
			continue
		}
		if to, ok := p.targetIndex[p.ranges[j].Holder]; ok && to != holder && p.targetLoads[to]+p.ranges[i].load <= p.fairShare(to) {
			return to
		}
	}
	return -1
}

// rebalance moves windows, each of them a part of one range, from the target with the highest
// utilisation to the one with the lowest, as long as the former needs relief or the latter is
// idle.
func (p *planner) rebalance() {
	exhausted := map[int]bool{}  // targets from which nothing more is moved in this plan
	alreadyCut := map[int]bool{} // ranges that were already cut in this plan
	for len(p.moves)+p.movesInProgress < maxConcurrentMoves+len(p.targets)/targetsPerExtraMove {
		busiest := -1
		for i := range p.targets {
			if !exhausted[i] && (busiest < 0 || p.utilisation(i) > p.utilisation(busiest)) {
				busiest = i
			}
		}
		if busiest < 0 {
			return
		}
		leastUtilised := p.leastUtilised(0)
		idle, needsRelief := p.isIdle(leastUtilised), p.needsRelief(busiest)
		if busiest == leastUtilised || !idle && !needsRelief {
			return
		}
		if needsRelief && p.moveHotKey(busiest, alreadyCut) {
			exhausted[busiest] = true
			continue
		}
		wantedLoad := min(p.targetLoads[busiest]-p.fairShare(busiest), p.fairShare(leastUtilised)-p.targetLoads[leastUtilised])
		if idle { // one move then gives both the same utilisation
			wantedLoad = max(wantedLoad, p.equalisingLoad(busiest, leastUtilised))
		}
		if !p.moveWindow(busiest, leastUtilised, wantedLoad, alreadyCut) {
			exhausted[busiest] = true
		}
	}
}

// equalisingLoad returns the load that must move between two targets to give them the same
// utilisation.
func (p *planner) equalisingLoad(busiest, leastUtilised int) float64 {
	busiestCapacity, leastUtilisedCapacity := p.targets[busiest].Capacity, p.targets[leastUtilised].Capacity
	return (p.targetLoads[busiest]*leastUtilisedCapacity - p.targetLoads[leastUtilised]*busiestCapacity) / (busiestCapacity + leastUtilisedCapacity)
}

// moveHotKey moves the busiest key of a target to the fastest target if the key takes at least
// hotKeyCapacityFraction of its holder's capacity and the other target is faster by at least
// minSpeedup. It reports whether it did.
func (p *planner) moveHotKey(busiest int, alreadyCut map[int]bool) bool {
	fastest := busiest
	for i, t := range p.targets {
		if t.Capacity > p.targets[fastest].Capacity {
			fastest = i
		}
	}
	capacity := p.targets[busiest].Capacity
	if p.targets[fastest].Capacity < minSpeedup*capacity {
		return false
	}
	hotRangeIndex, offset, load := -1, 0, 0.0
	p.forEachMovable(busiest, alreadyCut, func(i int, r weightedRange) {
		for j, rate := range r.keyRates {
			if rate >= hotKeyCapacityFraction*capacity && rate > load {
				hotRangeIndex, offset, load = i, j, rate
			}
		}
	})
	if hotRangeIndex < 0 {
		return false
	}
	alreadyCut[hotRangeIndex] = true
	key := routing.Span{From: p.ranges[hotRangeIndex].From + offset, To: p.ranges[hotRangeIndex].From + offset}
	p.splitRange(hotRangeIndex, key)
	p.targetLoads[busiest] -= load
	p.assign(key, load, fastest)
	return true
}

// moveWindow moves the narrowest window of about the wanted load from one target to
// another or, if there is none, the heaviest window up to that load. It reports whether it
// moved one.
func (p *planner) moveWindow(busiest, leastUtilised int, wantedLoad float64, alreadyCut map[int]bool) bool {
	best, window, load := p.findNarrowestWindow(busiest, wantedLoad, alreadyCut)
	if best < 0 {
		best, window, load = p.findHeaviestWindow(busiest, wantedLoad, alreadyCut)
	}
	if best < 0 {
		return false
	}
	alreadyCut[best] = true
	p.splitRange(best, window)
	p.targetLoads[busiest] -= load
	p.assign(window, load, leastUtilised)
	return true
}

// forEachMovable calls f for each range of a target that may still be cut in this plan.
func (p *planner) forEachMovable(holder int, alreadyCut map[int]bool, f func(i int, r weightedRange)) {
	for i, r := range p.ranges {
		if !r.Pinned && !alreadyCut[i] && r.Holder == p.targets[holder].Lifetime {
			f(i, r)
		}
	}
}

func (p *planner) findNarrowestWindow(holder int, wantedLoad float64, alreadyCut map[int]bool) (best int, window routing.Span, load float64) {
	best, bestCost := -1, 0
	p.forEachMovable(holder, alreadyCut, func(i int, r weightedRange) {
		w, l, ok := narrowestWindow(r, wantedLoad)
		if !ok {
			return
		}
		cost := w.Len()
		if w.From != r.From && w.To != r.To {
			cost += interiorCutPenaltyKeys
		}
		if best < 0 || cost < bestCost {
			best, bestCost, window, load = i, cost, w, l
		}
	})
	return best, window, load
}

func (p *planner) findHeaviestWindow(holder int, wantedLoad float64, alreadyCut map[int]bool) (best int, window routing.Span, load float64) {
	best = -1
	p.forEachMovable(holder, alreadyCut, func(i int, r weightedRange) {
		if w, l := heaviestWindow(r, wantedLoad); l > load && l > minMoveFraction*wantedLoad {
			best, window, load = i, w, l
		}
	})
	return best, window, load
}

// splitRange replaces a range by the parts that remain beside the window, so that one plan can
// cut a busy range more than once.
func (p *planner) splitRange(i int, window routing.Span) {
	r := p.ranges[i]
	rest := []weightedRange{}
	add := func(from, to int) {
		if from > to {
			return
		}
		piece := r
		piece.Span = routing.Span{From: from, To: to}
		piece.keyRates = r.keyRates[from-r.From : to-r.From+1]
		piece.load = 0
		for _, rate := range piece.keyRates {
			piece.load += rate
		}
		rest = append(rest, piece)
	}
	add(r.From, window.From-1)
	add(window.To+1, r.To)
	p.ranges[i].Pinned = true
	p.ranges = append(p.ranges, rest...)
}

// narrowestWindow returns the window with the fewest keys whose load is about the wanted one,
// and its load. The whole range is not a window. It returns false if there is no window, for
// example because a single key has more load.
func narrowestWindow(r weightedRange, wantedLoad float64) (routing.Span, float64, bool) {
	minLoad, maxLoad := wantedLoad*(1-loadTolerance), wantedLoad*(1+loadTolerance)
	var found routing.Span
	foundLoad, ok := 0.0, false
	end, load := 0, 0.0
	for start := range r.keyRates {
		for end < len(r.keyRates) && load < minLoad {
			load += r.keyRates[end]
			end++
		}
		if load < minLoad {
			break
		}
		if load <= maxLoad && (!ok || end-start < found.Len()) && end-start < len(r.keyRates) {
			found, foundLoad, ok = routing.Span{From: r.From + start, To: r.From + end - 1}, load, true
		}
		load -= r.keyRates[start]
	}
	return found, foundLoad, ok
}

// heaviestWindow returns the window with the highest load up to the limit, which may be the
// whole range, and its load. The load is 0 if there is no window.
func heaviestWindow(r weightedRange, limit float64) (routing.Span, float64) {
	var found routing.Span
	foundLoad, load, start := 0.0, 0.0, 0
	for end, rate := range r.keyRates {
		load += rate
		for load > limit && start <= end {
			load -= r.keyRates[start]
			start++
		}
		if start <= end && load > foundLoad {
			found, foundLoad = routing.Span{From: r.From + start, To: r.From + end}, load
		}
	}
	return found, foundLoad
}
