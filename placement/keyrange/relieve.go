package keyrange

import (
	"github.com/boragegate/boragegate/routing"
)

// mergeLightRanges gives light ranges to the holder of a neighbouring one, so that the number
// of leases does not grow with every cut.
func (p *planner) mergeLightRanges() {
	for joins := 0; joins < maxMergesPerPlan && len(p.ranges)-joins > mergeAboveRangesPerTarget*len(p.targets); joins++ {
		best, to := -1, 0
		for i, r := range p.ranges {
			own, usable := p.targetIndex[r.Holder]
			if r.Pinned || !usable || r.load > lightRangeFraction*p.fairShare(own) || best >= 0 && r.load >= p.ranges[best].load {
				continue
			}
			if n := p.mergeTarget(i, own); n >= 0 {
				best, to = i, n
			}
		}
		if best < 0 {
			return
		}
		r := &p.ranges[best]
		p.targetLoads[p.targetIndex[r.Holder]] -= r.load
		p.assign(r.Span, r.load, to)
		r.Pinned = true
	}
}

// mergeTarget returns a holder beside the part that has room for it, or -1.
func (p *planner) mergeTarget(i, own int) int {
	for _, j := range []int{i - 1, i + 1} {
		if j < 0 || j >= len(p.ranges) || p.ranges[j].Pinned {
			continue
		}
		if to, ok := p.targetIndex[p.ranges[j].Holder]; ok && to != own && p.targetLoads[to]+p.ranges[i].load <= p.fairShare(to) {
			return to
		}
	}
	return -1
}

// rebalance moves busy parts from targets above the mean to targets below it.
func (p *planner) rebalance() {
	spent := map[int]bool{}
	taken := map[int]bool{} // parts that already lost a piece in this plan
	for len(p.moves)+p.movesInProgress < maxConcurrentMoves+len(p.targets)/targetsPerExtraMove {
		high := -1
		for i := range p.targets {
			if !spent[i] && (high < 0 || p.utilisation(i) > p.utilisation(high)) {
				high = i
			}
		}
		if high < 0 {
			return
		}
		low := p.leastUtilised(0)
		idle, strained := p.isIdle(low), p.needsRelief(high)
		if high == low || !idle && !strained {
			return
		}
		if strained && p.moveHotKey(high, taken) {
			spent[high] = true
			continue
		}
		want := min(p.targetLoads[high]-p.fairShare(high), p.fairShare(low)-p.targetLoads[low])
		if idle { // one cut is enough to make the two alike
			want = max(want, p.equalisingLoad(high, low))
		}
		if !p.moveWindow(high, low, want, taken) {
			spent[high] = true
		}
	}
}

// equalisingLoad is the load that has to move between two targets to give them the same utilisation.
func (p *planner) equalisingLoad(high, low int) float64 {
	h, l := p.targets[high].Capacity, p.targets[low].Capacity
	return (p.targetLoads[high]*l - p.targetLoads[low]*h) / (h + l)
}

// moveHotKey moves a key that alone takes much of a target's capacity to the
// fastest target, if that one is much faster.
func (p *planner) moveHotKey(high int, taken map[int]bool) bool {
	fastest := high
	for i, t := range p.targets {
		if t.Capacity > p.targets[fastest].Capacity {
			fastest = i
		}
	}
	capacity := p.targets[high].Capacity
	if p.targets[fastest].Capacity < minSpeedup*capacity {
		return false
	}
	hot, at, load := -1, 0, 0.0
	p.forEachMovable(high, taken, func(i int, r weightedRange) {
		for j, w := range r.keyRates {
			if w >= hotKeyCapacityFraction*capacity && w > load {
				hot, at, load = i, j, w
			}
		}
	})
	if hot < 0 {
		return false
	}
	taken[hot] = true
	key := routing.Span{From: p.ranges[hot].From + at, To: p.ranges[hot].From + at}
	p.splitRange(hot, key)
	p.targetLoads[high] -= load
	p.assign(key, load, fastest)
	return true
}

// moveWindow moves the narrowest part of about the wanted load from one target to
// another, or the heaviest that is lighter if there is none.
func (p *planner) moveWindow(high, low int, want float64, taken map[int]bool) bool {
	best, window, load := p.findNarrowestWindow(high, want, taken)
	if best < 0 {
		best, window, load = p.findHeaviestWindow(high, want, taken)
	}
	if best < 0 {
		return false
	}
	taken[best] = true
	p.splitRange(best, window)
	p.targetLoads[high] -= load
	p.assign(window, load, low)
	return true
}

// forEachMovable calls f for each part of a target that may be cut.
func (p *planner) forEachMovable(holder int, taken map[int]bool, f func(i int, r weightedRange)) {
	for i, r := range p.ranges {
		if !r.Pinned && !taken[i] && r.Holder == p.targets[holder].Lifetime {
			f(i, r)
		}
	}
}

func (p *planner) findNarrowestWindow(holder int, want float64, taken map[int]bool) (best int, window routing.Span, load float64) {
	best, bestCost := -1, 0
	p.forEachMovable(holder, taken, func(i int, r weightedRange) {
		w, l, ok := narrowestWindow(r, want)
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

func (p *planner) findHeaviestWindow(holder int, want float64, taken map[int]bool) (best int, window routing.Span, load float64) {
	best = -1
	p.forEachMovable(holder, taken, func(i int, r weightedRange) {
		if w, l := heaviestWindow(r, want); l > load && l > minMoveFraction*want {
			best, window, load = i, w, l
		}
	})
	return best, window, load
}

// splitRange replaces a part by what is left of it, so that one plan can relieve a
// busy span more than once.
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
		for _, w := range piece.keyRates {
			piece.load += w
		}
		rest = append(rest, piece)
	}
	add(r.From, window.From-1)
	add(window.To+1, r.To)
	p.ranges[i].Pinned = true
	p.ranges = append(p.ranges, rest...)
}

// narrowestWindow returns the window with the fewest keys whose load is near the
// wanted one. It reports false if no window is, for example because one key
// alone carries more.
func narrowestWindow(r weightedRange, want float64) (routing.Span, float64, bool) {
	least, most := want*(1-loadTolerance), want*(1+loadTolerance)
	var found routing.Span
	foundLoad, ok := 0.0, false
	end, load := 0, 0.0
	for start := range r.keyRates {
		for end < len(r.keyRates) && load < least {
			load += r.keyRates[end]
			end++
		}
		if load < least {
			break
		}
		if load <= most && (!ok || end-start < found.Len()) && end-start < len(r.keyRates) {
			found, foundLoad, ok = routing.Span{From: r.From + start, To: r.From + end - 1}, load, true
		}
		load -= r.keyRates[start]
	}
	return found, foundLoad, ok
}

// heaviestWindow returns the window with the highest load that does not exceed the limit.
func heaviestWindow(r weightedRange, limit float64) (routing.Span, float64) {
	var found routing.Span
	foundLoad, load, start := 0.0, 0.0, 0
	for end, w := range r.keyRates {
		load += w
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
