package placement

import (
	"cmp"
	"slices"
	"sort"
)

// rebalancer selects single moves from targets above their fair share, the donors, to
// targets below it, the receivers. Each move reduces the sum of squared deviations from the
// fair shares, so moves cannot form a cycle.
type rebalancer struct {
	b         *board
	donors    *ranking
	receivers *ranking
	// sortedPartitions are the partitions of each donor by ascending cost, computed when
	// first needed.
	lists [][]int32
	// groupStart and grouped are the partitions grouped by owner: those of target i are
	// grouped[groupStart[i]:groupStart[i+1]].
	start, index []int32
	// tolerance is the fraction of the fair share by which a load may deviate from it
	// without a move.
	tolerance float64
	// fillReceivers also moves partitions to receivers below their fair share when no donor
	// is far above it, and prefers partitions whose cost fills the load and the number of
	// partitions of the receiver together. Without it, only donors above their fair share
	// are relieved, of the largest partitions that fit, which moves the fewest keys.
	fillUp bool
	// keepExcess leaves donors above their fair share as they are once the receivers are
	// filled.
	keepExcess bool
	// excessTolerance is the fraction of its fair share by which a receiver may exceed it.
	overfill float64
	// meanCost is the mean cost of a partition.
	mean float64
}

// newRebalancer returns a rebalancer that moves partitions from the donors to the
// receivers.
func newRebalancer(b *board, tolerance float64, fillUp bool, donors, receivers []int) *rebalancer {
	n := len(b.nodes)
	r := &rebalancer{
		b: b, donors: newRanking(n), receivers: newRanking(n), lists: make([][]int32, n),
		tolerance: tolerance, fillUp: fillUp, mean: b.total / float64(max(1, len(b.cost))),
	}
	for _, i := range donors {
		r.donors.set(i, r.urgency(i))
	}
	for _, i := range receivers {
		r.receivers.set(i, r.need(&b.nodes[i]))
	}
	return r
}

// receiverPriority ranks receivers by their free capacity. To fill receivers, it is
// relative to the allowed deviation.
func (r *rebalancer) need(n *node) float64 {
	if r.fillUp {
		return (n.load - n.share) / r.slack(n)
	}
	return n.load - n.share
}

// donorPriority ranks donors by their load ratio. To fill receivers, it ranks them by their
// excess relative to the allowed deviation.
func (r *rebalancer) urgency(i int) float64 {
	n := &r.b.nodes[i]
	if r.fillUp {
		return (n.share - n.load) / r.slack(n)
	}
	return -n.fill()
}

// allowedDeviation returns the deviation from the fair share, as a cost, up to which a
// target counts as balanced. It is at least half the mean cost of a partition, because only
// whole partitions can move.
func (r *rebalancer) slack(n *node) float64 { return max(r.tolerance*n.share, r.mean/2) }

// nextMove makes one move in the plan state and returns it. It returns false if no further
// move helps.
func (r *rebalancer) next() (p int, from, to int32, ok bool) {
	for {
		d, v := r.donors.top(), r.receivers.top()
		if d < 0 || v < 0 || d == v {
			return 0, 0, 0, false
		}
		donor, receiver := &r.b.nodes[d], &r.b.nodes[v]
		over := donor.load-donor.share > r.slack(donor) && !r.keepExcess
		under := receiver.share-receiver.load > r.slack(receiver) && r.fillUp
		if !over && !under {
			r.donors.remove(d)
			continue
		}
		if p = r.pick(d, receiver); p < 0 {
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
	if r.donors.pos[i] >= 0 {
		r.donors.set(i, r.urgency(i))
	}
	if n := &r.b.nodes[i]; r.receivers.pos[i] >= 0 {
		r.receivers.set(i, r.need(n))
	}
}

// takePartition removes the partition to move to the receiver from the list of the donor
// and returns it, or -1 if no move helps.
func (r *rebalancer) pick(d int, receiver *node) int {
	donor := &r.b.nodes[d]
	list := r.list(d)
	if len(list) == 0 || donor.share <= 0 || receiver.share <= 0 {
		return -1
	}
	excess, room := donor.load-donor.share, receiver.share-receiver.load
	// A move reduces the sum of squared deviations if its cost is below the sum of excess
	// and room. Without fillReceivers, the cost stays below half of that sum; otherwise
	// donor and receiver would merely exchange their deviations.
	gain := (excess + room) / 2
	i := 0
	if r.fillUp {
		gain *= 2
		i = r.nearest(list, min(r.ordinary(receiver), gain))
	} else {
		i = max(0, r.last(list, min(excess, room+r.overfill*receiver.share)))
	}
	if r.b.cost[list[i]] >= gain && i > 0 {
		i--
	}
	if r.b.cost[list[i]] >= gain {
		return -1
	}
	p := int(list[i])
	r.lists[d] = slices.Delete(list, i, i+1)
	return p
}

// fillingCost returns the cost per partition that fills the load and the number of
// partitions of the receiver together, at least the mean cost. A receiver with few but
// heavy partitions is thus not filled with many light ones, which would be churn.
func (r *rebalancer) ordinary(receiver *node) float64 {
	count := receiver.share/r.mean - float64(receiver.count)
	if count < 1 {
		return r.mean
	}
	return max(r.mean, (receiver.share-receiver.load)/count)
}

// largestAtMost returns the index of the most expensive partition in the list that costs at
// most bound, or -1.
func (r *rebalancer) last(list []int32, bound float64) int {
	return sort.Search(len(list), func(i int) bool { return r.b.cost[list[i]] > bound }) - 1
}

// closestTo returns the index of the partition whose cost is closest to the given one.
func (r *rebalancer) nearest(list []int32, cost float64) int {
	i := r.last(list, cost)
	if i < 0 || i+1 < len(list) && r.b.cost[list[i+1]]-cost < cost-r.b.cost[list[i]] {
		return i + 1
	}
	return i
}

// partitionsByCost returns the partitions of a donor by ascending cost.
func (r *rebalancer) list(donor int) []int32 {
	if r.lists[donor] != nil {
		return r.lists[donor]
	}
	if r.index == nil {
		r.start, r.index = r.b.group()
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
