package placement

import "slices"

const (
	// candidateRatioMargin is the difference to the lowest load ratio up to which targets
	// are compared by the number of partitions that they would have to give up.
	similarFill = 0.3
	// maxCandidates limits the number of targets that are compared.
	comparedNodes = 16
)

// leastDisplacing returns the target that makes room for a partition of the given cost by
// giving up the fewest partitions, or -1 if none can. A target may also move one heavy
// partition to a second target that makes room in the same way. Such a move is added to
// relocations.
func (pl *placer) cheapest(cost, fill float64) int {
	best, fewest, heavy := -1, 0, pass{p: -1}
	for _, v := range pl.similar(fill, cost) {
		load := pl.beyond(v, cost)
		if k := pl.givesUp(v, load, pl.rooms(v, v), -1); k > 0 && (best < 0 || k < fewest) {
			best, fewest, heavy.p = v, k, -1
		}
		for _, h := range pl.list(v) {
			c := pl.b.cost[h]
			if c <= pl.large {
				break
			}
			if c >= load || pl.passed(h) {
				continue
			}
			if w, k := pl.passOn(v, load-c, h); k > 0 && (best < 0 || k < fewest) {
				best, fewest, heavy = v, k, pass{h, int32(w)} //nolint:gosec // fewer than 65536 targets
			}
		}
	}
	if best >= 0 && heavy.p >= 0 {
		pl.passes = append(pl.passes, heavy)
	}
	return best
}

func (pl *placer) passed(p int32) bool {
	return slices.ContainsFunc(pl.passes, func(x pass) bool { return x.p == p })
}

// candidates returns the targets whose load ratio with the cost is near the given lowest
// one.
func (pl *placer) similar(fill, cost float64) []int {
	var is []int
	for i := range pl.b.nodes {
		if pl.ranks.pos[i] >= 0 && pl.b.nodes[i].fillWith(cost) <= fill+similarFill && len(is) < comparedNodes {
			is = append(is, i)
		}
	}
	return is
}

// bestRelocation returns the target that can take a heavy partition of v with the fewest
// moves, and their number, which includes the moves that relieve v of the rest of its
// excess.
func (pl *placer) passOn(v int, rest float64, heavy int32) (best, fewest int) {
	best = -1
	for _, w := range pl.similar(maxFill, 0) {
		if w == v {
			continue
		}
		rooms := pl.rooms(v, w)
		k := pl.givesUp(v, rest, rooms, heavy)
		if k == 0 {
			continue
		}
		l := 0
		if more := pl.beyond(w, pl.b.cost[heavy]); more > 0 {
			if l = pl.givesUp(w, more, rooms, -1); l == 0 {
				continue
			}
		}
		if best < 0 || 1+k+l < fewest {
			best, fewest = w, 1+k+l
		}
	}
	return best, fewest
}

// excessWith returns by how much target i exceeds its tolerated load with an additional
// cost.
func (pl *placer) beyond(i int, cost float64) float64 {
	n := &pl.b.nodes[i]
	return n.load + cost - (1+pl.overfill)*n.share
}

// freeCapacityExcept ranks all targets but v and w by their free capacity, as negative
// priorities. The result is valid until the next call.
func (pl *placer) rooms(v, w int) *ranking {
	if pl.room == nil {
		pl.room, pl.scratch = newRanking(len(pl.b.nodes)), newRanking(len(pl.b.nodes))
		for i := range pl.b.nodes {
			if pl.ranks.pos[i] >= 0 {
				pl.room.set(i, pl.beyond(i, 0))
			}
		}
	}
	pl.scratch.copyFrom(pl.room)
	pl.scratch.remove(v)
	pl.scratch.remove(w)
	return pl.scratch
}

// countDisplaced returns the number of partitions of target i that together have at least
// the given load and fit into the free capacities, which are reduced accordingly. It
// returns 0 if there are not enough. The partition without is left out.
func (pl *placer) givesUp(i int, load float64, rooms *ranking, without int32) int {
	count := 0
	for _, p := range pl.list(i) {
		c, v := pl.b.cost[p], rooms.top()
		if p == without || v < 0 || c > -rooms.keys[v] {
			continue
		}
		rooms.set(v, rooms.keys[v]+c)
		count++
		if load -= c; load <= 0 {
			return count
		}
	}
	return 0
}

// partitionsByCost returns the partitions of a target by descending cost.
func (pl *placer) list(i int) []int32 {
	if pl.start == nil {
		pl.start, pl.index = pl.b.group()
		pl.parts = make([][]int32, len(pl.b.nodes))
	}
	if pl.parts[i] == nil {
		pl.parts[i] = pl.index[pl.start[i]:pl.start[i+1]]
		pl.b.byCost(pl.parts[i])
	}
	return pl.parts[i]
}
