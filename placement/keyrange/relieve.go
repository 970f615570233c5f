package keyrange

import (
	"github.com/boragegate/boragegate/routing"
)

// join moves light ranges to the holder of an adjacent range, so that the number of leases
// does not grow with every cut.
func (p *planner) join() {
	for joins := 0; joins < maxJoins && len(p.parts)-joins > rangesPerTarget*len(p.targets); joins++ {
		best, to := -1, 0
		for i, r := range p.parts {
			own, usable := p.index[r.Holder]
			if r.Fixed || !usable || r.load > lightShare*p.fair(own) || best >= 0 && r.load >= p.parts[best].load {
				continue
			}
			if n := p.neighbour(i, own); n >= 0 {
				best, to = i, n
			}
		}
		if best < 0 {
			return
		}
		r := &p.parts[best]
		p.load[p.index[r.Holder]] -= r.load
		p.give(r.Span, r.load, to)
		r.Fixed = true
	}
}

// neighbour returns the index of a target that holds a range adjacent to range i and stays
// within its fair share with it, or -1.
func (p *planner) neighbour(i, own int) int {
	for _, j := range []int{i - 1, i + 1} {
		if j < 0 || j >= len(p.parts) || p.parts[j].Fixed {
			continue
		}
		if to, ok := p.index[p.parts[j].Holder]; ok && to != own && p.load[to]+p.parts[i].load <= p.fair(to) {
			return to
		}
	}
	return -1
}

// relieve moves windows of keys from the busiest targets to the least utilised one, as long
// as the busiest needs relief or the least utilised is idle.
func (p *planner) relieve() {
	spent := map[int]bool{}
	taken := map[int]bool{} // ranges that were already cut in this plan
	for len(p.moves)+p.moving < maxMoves+len(p.targets)/targetsPerMove {
		high := -1
		for i := range p.targets {
			if !spent[i] && (high < 0 || p.utilisation(i) > p.utilisation(high)) {
				high = i
			}
		}
		if high < 0 {
			return
		}
		low := p.emptiest(0)
		idle, strained := p.idle(low), p.strained(high)
		if high == low || !idle && !strained {
			return
		}
		if strained && p.relocateHotKey(high, taken) {
			spent[high] = true
			continue
		}
		want := min(p.load[high]-p.fair(high), p.fair(low)-p.load[low])
		if idle { // one move is enough to give both the same utilisation
			want = max(want, p.evenOut(high, low))
		}
		if !p.cut(high, low, want, taken) {
			spent[high] = true
		}
	}
}

// evenOut returns the load that must move between two targets to give them the same
// utilisation.
func (p *planner) evenOut(high, low int) float64 {
	h, l := p.targets[high].Capacity, p.targets[low].Capacity
	return (p.load[high]*l - p.load[low]*h) / (h + l)
}

// relocateHotKey moves the hottest key that takes a large part of a target's capacity to
// the fastest target, if that one is sufficiently faster. It reports whether it did.
func (p *planner) relocateHotKey(high int, taken map[int]bool) bool {
	fastest := high
	for i, t := range p.targets {
		if t.Capacity > p.targets[fastest].Capacity {
			fastest = i
		}
	}
	capacity := p.targets[high].Capacity
	if p.targets[fastest].Capacity < fasterBy*capacity {
		return false
	}
	hot, at, load := -1, 0, 0.0
	p.movable(high, taken, func(i int, r part) {
		for j, w := range r.weights {
			if w >= hotKeyShare*capacity && w > load {
				hot, at, load = i, j, w
			}
		}
	})
	if hot < 0 {
		return false
	}
	taken[hot] = true
	key := routing.Span{From: p.parts[hot].From + at, To: p.parts[hot].From + at}
	p.split(hot, key)
	p.load[high] -= load
	p.give(key, load, fastest)
	return true
}

// cut moves the narrowest window of about the wanted load from one target to another, or
// else the heaviest window below it. It reports whether there was one.
func (p *planner) cut(high, low int, want float64, taken map[int]bool) bool {
	best, window, load := p.narrowestOf(high, want, taken)
	if best < 0 {
		best, window, load = p.heaviestOf(high, want, taken)
	}
	if best < 0 {
		return false
	}
	taken[best] = true
	p.split(best, window)
	p.load[high] -= load
	p.give(window, load, low)
	return true
}

// movable calls f for each range of a target that may be cut.
func (p *planner) movable(holder int, taken map[int]bool, f func(i int, r part)) {
	for i, r := range p.parts {
		if !r.Fixed && !taken[i] && r.Holder == p.targets[holder].Lifetime {
			f(i, r)
		}
	}
}

func (p *planner) narrowestOf(holder int, want float64, taken map[int]bool) (best int, window routing.Span, load float64) {
	best, bestCost := -1, 0
	p.movable(holder, taken, func(i int, r part) {
		w, l, ok := narrowest(r, want)
		if !ok {
			return
		}
		cost := w.Len()
		if w.From != r.From && w.To != r.To {
			cost += interiorCost
		}
		if best < 0 || cost < bestCost {
			best, bestCost, window, load = i, cost, w, l
		}
	})
	return best, window, load
}

func (p *planner) heaviestOf(holder int, want float64, taken map[int]bool) (best int, window routing.Span, load float64) {
	best = -1
	p.movable(holder, taken, func(i int, r part) {
		if w, l := heaviest(r, want); l > load && l > worthMoving*want {
			best, window, load = i, w, l
		}
	})
	return best, window, load
}

// split replaces a range by what is left of it beside the window, so that one plan can cut
// a busy range more than once.
func (p *planner) split(i int, window routing.Span) {
	r := p.parts[i]
	rest := []part{}
	add := func(from, to int) {
		if from > to {
			return
		}
		piece := r
		piece.Span = routing.Span{From: from, To: to}
		piece.weights = r.weights[from-r.From : to-r.From+1]
		piece.load = 0
		for _, w := range piece.weights {
			piece.load += w
		}
		rest = append(rest, piece)
	}
	add(r.From, window.From-1)
	add(window.To+1, r.To)
	p.parts[i].Fixed = true
	p.parts = append(p.parts, rest...)
}

// narrowest returns the window with the fewest keys whose load is close to the wanted one.
// It returns false if there is none, for example because a single key has more load.
func narrowest(r part, want float64) (routing.Span, float64, bool) {
	least, most := want*(1-tolerance), want*(1+tolerance)
	var found routing.Span
	foundLoad, ok := 0.0, false
	end, load := 0, 0.0
	for start := range r.weights {
		for end < len(r.weights) && load < least {
			load += r.weights[end]
			end++
		}
		if load < least {
			break
		}
		if load <= most && (!ok || end-start < found.Len()) && end-start < len(r.weights) {
			found, foundLoad, ok = routing.Span{From: r.From + start, To: r.From + end - 1}, load, true
		}
		load -= r.weights[start]
	}
	return found, foundLoad, ok
}

// heaviest returns the window with the highest load up to the limit.
func heaviest(r part, limit float64) (routing.Span, float64) {
	var found routing.Span
	foundLoad, load, start := 0.0, 0.0, 0
	for end, w := range r.weights {
		load += w
		for load > limit && start <= end {
			load -= r.weights[start]
			start++
		}
		if start <= end && load > foundLoad {
			found, foundLoad = routing.Span{From: r.From + start, To: r.From + end}, load
		}
	}
	return found, foundLoad
}
