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
	state     *planState
	donors    *indexedHeap
	receivers *indexedHeap
	// sortedPartitions are the partitions of each donor by ascending cost, computed when
	// first needed.
	sortedPartitions [][]int32
	// groupStart and grouped are the partitions grouped by owner: those of target i are
	// grouped[groupStart[i]:groupStart[i+1]].
	groupStart, grouped []int32
	// tolerance is the fraction of the fair share by which a load may deviate from it
	// without a move.
	tolerance float64
	// fillReceivers also moves partitions to receivers below their fair share when no donor
	// is far above it, and prefers partitions whose cost fills the load and the number of
	// partitions of the receiver together. Without it, only donors above their fair share
	// are relieved, of the largest partitions that fit, which moves the fewest keys.
	fillReceivers bool
	// keepExcess leaves donors above their fair share as they are once the receivers are
	// filled.
	keepExcess bool
	// excessTolerance is the fraction of its fair share by which a receiver may exceed it.
	excessTolerance float64
	// meanCost is the mean cost of a partition.
	meanCost float64
}

// newRebalancer returns a rebalancer that moves partitions from the donors to the
// receivers.
func newRebalancer(state *planState, tolerance float64, fillReceivers bool, donors, receivers []int) *rebalancer {
	n := len(state.targets)
	r := &rebalancer{
		state: state, donors: newIndexedHeap(n), receivers: newIndexedHeap(n), sortedPartitions: make([][]int32, n),
		tolerance: tolerance, fillReceivers: fillReceivers, meanCost: state.totalCost / float64(max(1, len(state.cost))),
	}
	for _, i := range donors {
		r.donors.set(i, r.donorPriority(i))
	}
	for _, i := range receivers {
		r.receivers.set(i, r.receiverPriority(&state.targets[i]))
	}
	return r
}

// receiverPriority ranks receivers by their free capacity. To fill receivers, it is
// relative to the allowed deviation.
func (r *rebalancer) receiverPriority(t *targetState) float64 {
	if r.fillReceivers {
		return (t.load - t.fairShare) / r.allowedDeviation(t)
	}
	return t.load - t.fairShare
}

// donorPriority ranks donors by their load ratio. To fill receivers, it ranks them by their
// excess relative to the allowed deviation.
func (r *rebalancer) donorPriority(i int) float64 {
	t := &r.state.targets[i]
	if r.fillReceivers {
		return (t.fairShare - t.load) / r.allowedDeviation(t)
	}
	return -t.loadRatio()
}

// allowedDeviation returns the deviation from the fair share, as a cost, up to which a
// target counts as balanced. It is at least half the mean cost of a partition, because only
// whole partitions can move.
func (r *rebalancer) allowedDeviation(t *targetState) float64 {
	return max(r.tolerance*t.fairShare, r.meanCost/2)
}

// nextMove makes one move in the plan state and returns it. It returns false if no further
// move helps.
func (r *rebalancer) nextMove() (p int, from, to int32, ok bool) {
	for {
		d, v := r.donors.top(), r.receivers.top()
		if d < 0 || v < 0 || d == v {
			return 0, 0, 0, false
		}
		donor, receiver := &r.state.targets[d], &r.state.targets[v]
		overloaded := donor.load-donor.fairShare > r.allowedDeviation(donor) && !r.keepExcess
		underloaded := receiver.fairShare-receiver.load > r.allowedDeviation(receiver) && r.fillReceivers
		if !overloaded && !underloaded {
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
	if t := &r.state.targets[i]; r.receivers.position[i] >= 0 {
		r.receivers.set(i, r.receiverPriority(t))
	}
}

// takePartition removes the partition to move to the receiver from the list of the donor
// and returns it, or -1 if no move helps.
func (r *rebalancer) takePartition(d int, receiver *targetState) int {
	donor := &r.state.targets[d]
	list := r.partitionsByAscendingCost(d)
	if len(list) == 0 || donor.fairShare <= 0 || receiver.fairShare <= 0 {
		return -1
	}
	excess, freeCapacity := donor.load-donor.fairShare, receiver.fairShare-receiver.load
	// A move reduces the sum of squared deviations if its cost is below the sum of excess
	// and free capacity. Without fillReceivers, the cost must be below half of that sum, so
	// that donor and receiver do not merely exchange their deviations.
	costLimit := (excess + freeCapacity) / 2
	i := 0
	if r.fillReceivers {
		costLimit *= 2
		i = r.closestTo(list, min(r.fillingCost(receiver), costLimit))
	} else {
		i = max(0, r.largestAtMost(list, min(excess, freeCapacity+r.excessTolerance*receiver.fairShare)))
	}
	if r.state.cost[list[i]] >= costLimit && i > 0 {
		i--
	}
	if r.state.cost[list[i]] >= costLimit {
		return -1
	}
	p := int(list[i])
	r.sortedPartitions[d] = slices.Delete(list, i, i+1)
	return p
}

// fillingCost returns the cost per partition that fills the load and the number of
// partitions of the receiver together, at least the mean cost. A receiver with few but
// expensive partitions is thus not filled with many cheap ones, which would be churn.
func (r *rebalancer) fillingCost(receiver *targetState) float64 {
	count := receiver.fairShare/r.meanCost - float64(receiver.count)
	if count < 1 {
		return r.meanCost
	}
	return max(r.meanCost, (receiver.fairShare-receiver.load)/count)
}

// largestAtMost returns the index of the most expensive partition in the list that costs at
// most bound, or -1.
func (r *rebalancer) largestAtMost(list []int32, bound float64) int {
	return sort.Search(len(list), func(i int) bool { return r.state.cost[list[i]] > bound }) - 1
}

// closestTo returns the index of the partition whose cost is closest to the given one.
func (r *rebalancer) closestTo(list []int32, cost float64) int {
	i := r.largestAtMost(list, cost)
	if i < 0 || i+1 < len(list) && r.state.cost[list[i+1]]-cost < cost-r.state.cost[list[i]] {
		return i + 1
	}
	return i
}

// partitionsByAscendingCost returns the partitions of a donor by ascending cost.
func (r *rebalancer) partitionsByAscendingCost(donor int) []int32 {
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
