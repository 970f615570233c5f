package placement

import (
	"cmp"
	"slices"
)

// noTarget is the index of the owner of a partition that is unowned or whose owner is lost.
const noTarget = int32(-1)

// targetState is a target with its state within one plan.
type targetState struct {
	Target
	// history is what the policy remembers of the target between plans.
	history *targetHistory
	// load is the total cost of the partitions that the target owns. Moves that have
	// started count as finished.
	load float64
	// count is the number of these partitions.
	count int
	// fairShare is the load that the target should have.
	fairShare float64
	// canReceive reports whether this plan may assign partitions to the target.
	canReceive bool
	// frozen reports whether the target keeps the partitions that it has: it can receive
	// none at present, but is neither lost nor leaving, and its weight is above zero.
	frozen bool
}

// loadRatio returns the load divided by the fair share, or maxLoadRatio if the fair share
// is zero.
func (t *targetState) loadRatio() float64 { return t.loadRatioWith(0) }

// loadRatioWith returns the load ratio after a partition of the given cost is added.
func (t *targetState) loadRatioWith(cost float64) float64 {
	if t.fairShare <= 0 {
		return maxLoadRatio
	}
	return (t.load + cost) / t.fairShare
}

// maxLoadRatio is the load ratio of a target whose fair share is zero.
const maxLoadRatio = 1e18

// planState holds the targets, owners and costs of one plan. A plan updates it with each
// move, so that later decisions take earlier ones into account. The next plan reuses its
// memory.
type planState struct {
	// targets are sorted by name, so that a plan does not depend on the order of the input.
	targets []targetState
	// owner is the index in targets of the owner of each partition, or noTarget.
	owner []int32
	// pinned marks partitions that this plan has assigned or that have a move in progress.
	// They are not moved again.
	pinned []bool
	// cost is what each partition adds to the load of its owner: its estimated load, or its
	// relative number of keys while the load is unknown.
	cost []float64
	// totalCost is the sum of cost.
	totalCost float64
}

// reset copies the targets and owners from the input. It returns the partitions whose
// owner is missing, lost or not among the targets; their owner becomes noTarget.
func (state *planState) reset(in Input) (unowned []int32) {
	state.targets = state.targets[:0]
	for _, t := range in.Targets {
		state.targets = append(state.targets, targetState{Target: t})
	}
	slices.SortFunc(state.targets, func(x, y targetState) int { return cmp.Compare(x.Name, y.Name) })
	live := state.liveTargets(in.Assignment.Targets)
	if n := len(in.Assignment.Owner); len(state.owner) != n {
		state.owner, state.pinned, state.cost = make([]int32, n), make([]bool, n), make([]float64, n)
	}
	clear(state.pinned)
	for p, o := range in.Assignment.Owner {
		target := noTarget
		if int(o) < len(live) {
			target = live[o]
		}
		if state.owner[p] = target; target == noTarget {
			unowned = append(unowned, int32(p)) //nolint:gosec // at most 65536 partitions
		}
	}
	return unowned
}

// liveTargets maps the target indexes of the assignment to indexes in targets. Lost and
// unlisted targets map to noTarget.
func (state *planState) liveTargets(names []string) []int32 {
	live := make([]int32, len(names))
	for i, name := range names {
		live[i] = noTarget
		if target := state.targetIndex(name); target != noTarget && !state.targets[target].Lost {
			live[i] = target
		}
	}
	return live
}

// targetIndex returns the index of the target with the given name, or noTarget.
func (state *planState) targetIndex(name string) int32 {
	i, ok := slices.BinarySearchFunc(state.targets, name, func(t targetState, s string) int { return cmp.Compare(t.Name, s) })
	if !ok {
		return noTarget
	}
	return int32(i) //nolint:gosec // fewer than 65536 targets
}

// sumLoads computes the load and the number of partitions of each target from owners and
// costs.
func (state *planState) sumLoads() {
	for i := range state.targets {
		state.targets[i].load, state.targets[i].count = 0, 0
	}
	for p, o := range state.owner {
		if o != noTarget {
			state.targets[o].load += state.cost[p]
			state.targets[o].count++
		}
	}
}

// assign makes a target the owner of a partition and pins the partition.
func (state *planState) assign(p int, to int32) {
	if from := state.owner[p]; from != noTarget {
		state.targets[from].load -= state.cost[p]
		state.targets[from].count--
	}
	state.owner[p], state.pinned[p] = to, true
	state.targets[to].load += state.cost[p]
	state.targets[to].count++
}

// sortByCost sorts partitions by descending cost, then by number.
func (state *planState) sortByCost(ps []int32) {
	slices.SortFunc(ps, func(x, y int32) int {
		if c := cmp.Compare(state.cost[y], state.cost[x]); c != 0 {
			return c
		}
		return cmp.Compare(x, y)
	})
}

// groupByOwner returns the partitions that are not pinned, grouped by owner with a counting
// sort. Those of target i are grouped[start[i]:start[i+1]], in ascending order.
func (state *planState) groupByOwner() (start, grouped []int32) {
	start = make([]int32, len(state.targets)+1)
	for p, o := range state.owner {
		if o != noTarget && !state.pinned[p] {
			start[o+1]++
		}
	}
	for i := 1; i < len(start); i++ {
		start[i] += start[i-1]
	}
	next := slices.Clone(start)
	grouped = make([]int32, start[len(start)-1])
	for p, o := range state.owner {
		if o != noTarget && !state.pinned[p] {
			grouped[next[o]] = int32(p) //nolint:gosec // at most 65536 partitions
			next[o]++
		}
	}
	return start, grouped
}
