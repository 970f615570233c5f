package placement

import (
	"cmp"
	"slices"
	"sort"
)

// rebalancer finds single moves from nodes above their share to nodes below it.
// Each move lowers the sum of squared deviations from the shares, so the
// moves cannot go round in circles.
type rebalancer struct {
	state     *planState
	donors    *indexedHeap
	receivers *indexedHeap
	// sortedPartitions are the partitions of each donor by rising cost, made when first needed.
	sortedPartitions [][]int32
	// groupStart and index are the partitions grouped by owner: those of node i are index[start[i]:start[i+1]].
	groupStart, grouped []int32
	// tolerance is the deviation from the share, as a part of it, that is left alone.
	tolerance float64
	// fillReceivers also moves partitions to receivers below their share when no donor is
	// far above it, and prefers partitions whose cost fills
	// load and number of partitions together. Otherwise only donors above their share are relieved,
	// of the largest partitions that fit, which moves fewest keys.
	fillReceivers bool
	// keepExcess leaves donors above their share alone once the receivers are filled.
	keepExcess bool
	// excessTolerance is the part of its share by which a receiver may exceed it.
	excessTolerance float64
	// meanCost is the mean cost of a partition.
	meanCost float64
}

// newRebalancer returns a rebalancer that takes from the donors and gives to the receivers.
func newRebalancer(b *planState, tolerance float64, fillUp bool, donors, receivers []int) *rebalancer {
	n := len(b.targets)
	r := &rebalancer{
		state: b, donors: newIndexedHeap(n), receivers: newIndexedHeap(n), sortedPartitions: make([][]int32, n),
		tolerance: tolerance, fillReceivers: fillUp, meanCost: b.totalCost / float64(max(1, len(b.cost))),
	}
	for _, i := range donors {
		r.donors.set(i, r.donorPriority(i))
	}
	for _, i := range receivers {
		r.receivers.set(i, r.receiverPriority(&b.targets[i]))
	}
	return r
}

// receiverPriority ranks receivers by their room; for filling up, relative to their slack.
func (r *rebalancer) receiverPriority(n *targetState) float64 {
	if r.fillReceivers {
		return (n.load - n.fairShare) / r.allowedDeviation(n)
	}
	return n.load - n.fairShare
}

// donorPriority ranks donors: overloaded ones by their fill, else by the excess relative to their slack.
func (r *rebalancer) donorPriority(i int) float64 {
	n := &r.state.targets[i]
	if r.fillReceivers {
		return (n.fairShare - n.load) / r.allowedDeviation(n)
	}
	return -n.loadRatio()
}

// allowedDeviation is the deviation in cost at which a node counts as balanced. It is at
// least half a partition, since whole partitions move.
func (r *rebalancer) allowedDeviation(n *targetState) float64 {
	return max(r.tolerance*n.fairShare, r.meanCost/2)
}

// nextMove makes one move on the board. It returns false if none helps.
func (r *rebalancer) nextMove() (p int, from, to int32, ok bool) {
	for {
		d, v := r.donors.top(), r.receivers.top()
		if d < 0 || v < 0 || d == v {
			return 0, 0, 0, false
		}
		donor, receiver := &r.state.targets[d], &r.state.targets[v]
		over := donor.load-donor.fairShare > r.allowedDeviation(donor) && !r.keepExcess
		under := receiver.fairShare-receiver.load > r.allowedDeviation(receiver) && r.fillReceivers
		if !over && !under {
			r.donors.remove(d)
			continue
		}
		if p = r.takePartition(d, receiver); p < 0 {
			r.donors.remove(d)
			continue
		}
		r.state.assign(p, int32(v)) //nolint:gosec // fewer than 65536 targets
		r.updatePriorities(d)
		r.updatePriorities(v)
		return p, int32(d), int32(v), true //nolint:gosec // as above
	}
}

func (r *rebalancer) updatePriorities(i int) {
	if r.donors.position[i] >= 0 {
		r.donors.set(i, r.donorPriority(i))
	}
	if n := &r.state.targets[i]; r.receivers.position[i] >= 0 {
		r.receivers.set(i, r.receiverPriority(n))
	}
}

// takePartition takes a partition from the donor's list, or returns -1 if no move helps.
func (r *rebalancer) takePartition(d int, receiver *targetState) int {
	donor := &r.state.targets[d]
	list := r.partitionsByCost(d)
	if len(list) == 0 || donor.fairShare <= 0 || receiver.fairShare <= 0 {
		return -1
	}
	excess, room := donor.load-donor.fairShare, receiver.fairShare-receiver.load
	// A move lowers the sum of squared deviations if its cost is below the sum of
	// excess and room. Relief stays below half of it, so that it does not only
	// exchange the parts of donor and receiver.
	gain := (excess + room) / 2
	i := 0
	if r.fillReceivers {
		gain *= 2
		i = r.closestTo(list, min(r.fillingCost(receiver), gain))
	} else {
		i = max(0, r.largestAtMost(list, min(excess, room+r.excessTolerance*receiver.fairShare)))
	}
	if r.state.cost[list[i]] >= gain && i > 0 {
		i--
	}
	if r.state.cost[list[i]] >= gain {
		return -1
	}
	p := int(list[i])
	r.sortedPartitions[d] = slices.Delete(list, i, i+1)
	return p
}

// fillingCost is the cost per partition that fills the receiver's load and its
// number of partitions together, at least the mean: a receiver of few but heavy
// partitions is not filled up with many light ones, which would be churn.
func (r *rebalancer) fillingCost(receiver *targetState) float64 {
	count := receiver.fairShare/r.meanCost - float64(receiver.count)
	if count < 1 {
		return r.meanCost
	}
	return max(r.meanCost, (receiver.fairShare-receiver.load)/count)
}

// largestAtMost returns the place of the largest partition that costs at most bound, or -1.
func (r *rebalancer) largestAtMost(list []int32, bound float64) int {
	return sort.Search(len(list), func(i int) bool { return r.state.cost[list[i]] > bound }) - 1
}

// closestTo returns the place of the partition whose cost is nearest to the wanted one.
func (r *rebalancer) closestTo(list []int32, cost float64) int {
	i := r.largestAtMost(list, cost)
	if i < 0 || i+1 < len(list) && r.state.cost[list[i+1]]-cost < cost-r.state.cost[list[i]] {
		return i + 1
	}
	return i
}

// partitionsByCost returns the donor's partitions by rising cost.
func (r *rebalancer) partitionsByCost(donor int) []int32 {
	if r.sortedPartitions[donor] != nil {
		return r.sortedPartitions[donor]
	}
	if r.grouped == nil {
		r.groupStart, r.grouped = r.state.groupByOwner()
	}
	list := slices.Clone(r.grouped[r.groupStart[donor]:r.groupStart[donor+1]])
	slices.SortFunc(list, func(x, y int32) int {
		if c := cmp.Compare(r.state.cost[x], r.state.cost[y]); c != 0 {
			return c
		}
		return cmp.Compare(x, y)
	})
	r.sortedPartitions[donor] = list
	return list
}
