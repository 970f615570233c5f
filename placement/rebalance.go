package placement

import (
	"cmp"
	"slices"
	"sort"
)

// rebalancer finds single moves from nodes above their share to nodes below it.
type rebalancer struct {
	b         *board
	donors    *ranking
	receivers *ranking
	// lists are the partitions of each donor by rising cost, made when first needed.
	lists [][]int32
	// start and index are the partitions grouped by owner: those of node i are index[start[i]:start[i+1]].
	start, index []int32
	// tolerance is the deviation from the share, as a part of it, that is left alone.
	tolerance float64
	// typical prefers partitions of ordinary cost, which keeps key counts in
	// proportion; otherwise the largest that fit are taken, which moves fewest keys.
	typical bool
	// mean is the mean cost of a partition.
	mean float64
}

func newRebalancer(b *board, tolerance float64, typical bool) *rebalancer {
	n := len(b.nodes)
	r := &rebalancer{
		b: b, donors: newRanking(n), receivers: newRanking(n), lists: make([][]int32, n),
		tolerance: tolerance, typical: typical, mean: b.total / float64(max(1, len(b.cost))),
	}
	for i := range b.nodes {
		if b.nodes[i].receives {
			r.donors.set(i, -b.nodes[i].fill())
			r.receivers.set(i, b.nodes[i].fill())
		}
	}
	return r
}

// slack is the deviation in cost at which a node counts as balanced. It is at
// least half a partition, since whole partitions move.
func (r *rebalancer) slack(n *node) float64 { return max(r.tolerance*n.share, r.mean/2) }

// next makes one move on the board. It returns false if none helps.
func (r *rebalancer) next() (p int, from, to int32, ok bool) {
	for {
		d, v := r.donors.top(), r.receivers.top()
		if d < 0 || v < 0 || d == v {
			return 0, 0, 0, false
		}
		donor, receiver := &r.b.nodes[d], &r.b.nodes[v]
		if donor.load-donor.share <= r.slack(donor) {
			return 0, 0, 0, false
		}
		p = r.pick(d, donor.load-donor.share, receiver.share-receiver.load)
		if p < 0 {
			r.donors.remove(d)
			continue
		}
		r.b.give(p, int32(v)) //nolint:gosec // fewer than 65536 targets
		r.rank(d)
		r.rank(v)
		return p, int32(d), int32(v), true //nolint:gosec // as above
	}
}

func (r *rebalancer) rank(i int) {
	fill := r.b.nodes[i].fill()
	if r.donors.pos[i] >= 0 {
		r.donors.set(i, -fill)
	}
	if r.receivers.pos[i] >= 0 {
		r.receivers.set(i, fill)
	}
}

// pick takes a partition from the donor's list: one that fits in both the
// excess and the room, or else the smallest whose move still lowers the sum of
// deviations, which holds up to twice the smaller of the two. It returns -1 if none does.
func (r *rebalancer) pick(donor int, excess, room float64) int {
	list := r.list(donor)
	fits := min(excess, room)
	if len(list) == 0 || fits <= 0 {
		return -1
	}
	bound := fits
	if r.typical {
		bound = min(fits, r.b.cost[list[len(list)/2]])
	}
	i := sort.Search(len(list), func(i int) bool { return r.b.cost[list[i]] > bound }) - 1
	if i < 0 {
		i = 0
	}
	if r.b.cost[list[i]] >= 2*fits {
		return -1
	}
	p := int(list[i])
	r.lists[donor] = slices.Delete(list, i, i+1)
	return p
}

// list returns the donor's partitions by rising cost.
func (r *rebalancer) list(donor int) []int32 {
	if r.lists[donor] != nil {
		return r.lists[donor]
	}
	if r.index == nil {
		r.group()
	}
	list := slices.Clone(r.index[r.start[donor]:r.start[donor+1]])
	slices.SortFunc(list, func(x, y int32) int {
		if c := cmp.Compare(r.b.cost[x], r.b.cost[y]); c != 0 {
			return c
		}
		return cmp.Compare(x, y)
	})
	r.lists[donor] = list
	return list
}

// group sorts the partitions by owner, by counting.
func (r *rebalancer) group() {
	r.start = make([]int32, len(r.b.nodes)+1)
	for _, o := range r.b.owner {
		if o != nobody {
			r.start[o+1]++
		}
	}
	for i := 1; i < len(r.start); i++ {
		r.start[i] += r.start[i-1]
	}
	next := slices.Clone(r.start)
	r.index = make([]int32, r.start[len(r.start)-1])
	for p, o := range r.b.owner {
		if o != nobody {
			r.index[next[o]] = int32(p) //nolint:gosec // at most 65536 partitions
			next[o]++
		}
	}
}
