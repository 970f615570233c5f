package placement

import (
	"cmp"
	"slices"
)

// noTarget is the node of a partition that has no living owner.
const noTarget = int32(-1)

// targetState is a target during one plan.
type targetState struct {
	Target
	// history is what the policy remembers of the target.
	history *targetHistory
	// load is the cost of the partitions that the target owns, with started moves counted as done.
	load float64
	// count is the number of those partitions.
	count int
	// fairShare is the cost that the target should have.
	fairShare float64
	// canReceive says that the target may get partitions in this plan.
	canReceive bool
	// frozen says that the target keeps what it has: it cannot receive for the
	// moment, but neither is it lost or leaving.
	frozen bool
}

// loadRatio is the load relative to the share. A target without a share is infinitely full.
func (n *targetState) loadRatio() float64 { return n.loadRatioWith(0) }

func (n *targetState) loadRatioWith(cost float64) float64 {
	if n.fairShare <= 0 {
		return maxLoadRatio
	}
	return (n.load + cost) / n.fairShare
}

// maxLoadRatio is the fill of a target that should have nothing.
const maxLoadRatio = 1e18

// planState is the state of one plan: targets, owners and costs. A plan changes
// the board as it goes, so that later choices see the earlier ones. The memory
// is used again by the next plan.
type planState struct {
	// targets are ordered by name, so that a plan does not depend on the order of the input.
	targets []targetState
	// owner is the node of each partition.
	owner []int32
	// pinned partitions have a new owner in this plan or a move under way.
	pinned []bool
	// cost is what each partition adds to the load of its owner.
	cost []float64
	// totalCost is the sum of cost.
	totalCost float64
}

// reset orders the targets and resolves the owners. Partitions of lost or
// unlisted targets get nobody as owner and are returned.
func (b *planState) reset(in Input) (orphans []int32) {
	b.targets = b.targets[:0]
	for _, t := range in.Targets {
		b.targets = append(b.targets, targetState{Target: t})
	}
	slices.SortFunc(b.targets, func(x, y targetState) int { return cmp.Compare(x.Name, y.Name) })
	living := b.liveTargets(in.Assignment.Targets)
	if n := len(in.Assignment.Owner); len(b.owner) != n {
		b.owner, b.pinned, b.cost = make([]int32, n), make([]bool, n), make([]float64, n)
	}
	clear(b.pinned)
	for p, o := range in.Assignment.Owner {
		n := noTarget
		if int(o) < len(living) {
			n = living[o]
		}
		if b.owner[p] = n; n == noTarget {
			orphans = append(orphans, int32(p)) //nolint:gosec // at most 65536 partitions
		}
	}
	return orphans
}

// liveTargets maps the assignment's target indexes to nodes.
func (b *planState) liveTargets(names []string) []int32 {
	living := make([]int32, len(names))
	for i, name := range names {
		living[i] = noTarget
		if n := b.targetIndex(name); n != noTarget && !b.targets[n].Lost {
			living[i] = n
		}
	}
	return living
}

// targetIndex returns the node with that name, or nobody.
func (b *planState) targetIndex(name string) int32 {
	i, ok := slices.BinarySearchFunc(b.targets, name, func(n targetState, s string) int { return cmp.Compare(n.Name, s) })
	if !ok {
		return noTarget
	}
	return int32(i) //nolint:gosec // fewer than 65536 targets
}

// sumLoads computes the loads from owners and costs.
func (b *planState) sumLoads() {
	for i := range b.targets {
		b.targets[i].load, b.targets[i].count = 0, 0
	}
	for p, o := range b.owner {
		if o != noTarget {
			b.targets[o].load += b.cost[p]
			b.targets[o].count++
		}
	}
}

// assign makes the node the owner of the partition, which is not moved again in this plan.
func (b *planState) assign(p int, to int32) {
	if from := b.owner[p]; from != noTarget {
		b.targets[from].load -= b.cost[p]
		b.targets[from].count--
	}
	b.owner[p], b.pinned[p] = to, true
	b.targets[to].load += b.cost[p]
	b.targets[to].count++
}

// sortByCost orders partitions by falling cost, then by number.
func (b *planState) sortByCost(ps []int32) {
	slices.SortFunc(ps, func(x, y int32) int {
		if c := cmp.Compare(b.cost[y], b.cost[x]); c != 0 {
			return c
		}
		return cmp.Compare(x, y)
	})
}

// groupByOwner sorts the partitions that are not pinned by owner, by counting. Those of node i are
// index[start[i]:start[i+1]], in rising order.
func (b *planState) groupByOwner() (start, index []int32) {
	start = make([]int32, len(b.targets)+1)
	for p, o := range b.owner {
		if o != noTarget && !b.pinned[p] {
			start[o+1]++
		}
	}
	for i := 1; i < len(start); i++ {
		start[i] += start[i-1]
	}
	next := slices.Clone(start)
	index = make([]int32, start[len(start)-1])
	for p, o := range b.owner {
		if o != noTarget && !b.pinned[p] {
			index[next[o]] = int32(p) //nolint:gosec // at most 65536 partitions
			next[o]++
		}
	}
	return start, index
}
