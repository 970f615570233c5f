package placement

import (
	"cmp"
	"slices"
)

// nobody is the node of a partition that has no living owner.
const nobody = int32(-1)

// node is a target during one plan.
type node struct {
	Target
	// hist is what the policy remembers of the target.
	hist *history
	// load is the cost of the partitions that the target owns, with started moves counted as done.
	load float64
	// count is the number of those partitions.
	count int
	// share is the cost that the target should have.
	share float64
	// receives says that the target may get partitions in this plan.
	receives bool
	// frozen says that the target keeps what it has: it cannot receive for the
	// moment, but neither is it lost or leaving.
	frozen bool
}

// fill is the load relative to the share. A target without a share is infinitely full.
func (n *node) fill() float64 { return n.fillWith(0) }

func (n *node) fillWith(cost float64) float64 {
	if n.share <= 0 {
		return maxFill
	}
	return (n.load + cost) / n.share
}

// maxFill is the fill of a target that should have nothing.
const maxFill = 1e18

// board is the state of one plan: targets, owners and costs. A plan changes
// the board as it goes, so that later choices see the earlier ones. The memory
// is used again by the next plan.
type board struct {
	// nodes are ordered by name, so that a plan does not depend on the order of the input.
	nodes []node
	// owner is the node of each partition.
	owner []int32
	// pinned partitions have a new owner in this plan or a move under way.
	pinned []bool
	// cost is what each partition adds to the load of its owner.
	cost []float64
	// total is the sum of cost.
	total float64
}

// reset orders the targets and resolves the owners. Partitions of lost or
// unlisted targets get nobody as owner and are returned.
func (b *board) reset(in Input) (orphans []int32) {
	b.nodes = b.nodes[:0]
	for _, t := range in.Targets {
		b.nodes = append(b.nodes, node{Target: t})
	}
	slices.SortFunc(b.nodes, func(x, y node) int { return cmp.Compare(x.Name, y.Name) })
	living := b.livingNodes(in.Assignment.Targets)
	if n := len(in.Assignment.Owner); len(b.owner) != n {
		b.owner, b.pinned, b.cost = make([]int32, n), make([]bool, n), make([]float64, n)
	}
	clear(b.pinned)
	for p, o := range in.Assignment.Owner {
		n := nobody
		if int(o) < len(living) {
			n = living[o]
		}
		if b.owner[p] = n; n == nobody {
			orphans = append(orphans, int32(p)) //nolint:gosec // at most 65536 partitions
		}
	}
	return orphans
}

// livingNodes maps the assignment's target indexes to nodes.
func (b *board) livingNodes(names []string) []int32 {
	living := make([]int32, len(names))
	for i, name := range names {
		living[i] = nobody
		if n := b.find(name); n != nobody && !b.nodes[n].Lost {
			living[i] = n
		}
	}
	return living
}

// find returns the node with that name, or nobody.
func (b *board) find(name string) int32 {
	i, ok := slices.BinarySearchFunc(b.nodes, name, func(n node, s string) int { return cmp.Compare(n.Name, s) })
	if !ok {
		return nobody
	}
	return int32(i) //nolint:gosec // fewer than 65536 targets
}

// sum computes the loads from owners and costs.
func (b *board) sum() {
	for i := range b.nodes {
		b.nodes[i].load, b.nodes[i].count = 0, 0
	}
	for p, o := range b.owner {
		if o != nobody {
			b.nodes[o].load += b.cost[p]
			b.nodes[o].count++
		}
	}
}

// give makes the node the owner of the partition, which is not moved again in this plan.
func (b *board) give(p int, to int32) {
	if from := b.owner[p]; from != nobody {
		b.nodes[from].load -= b.cost[p]
		b.nodes[from].count--
	}
	b.owner[p], b.pinned[p] = to, true
	b.nodes[to].load += b.cost[p]
	b.nodes[to].count++
}

// byCost orders partitions by falling cost, then by number.
func (b *board) byCost(ps []int32) {
	slices.SortFunc(ps, func(x, y int32) int {
		if c := cmp.Compare(b.cost[y], b.cost[x]); c != 0 {
			return c
		}
		return cmp.Compare(x, y)
	})
}

// group sorts the partitions that are not pinned by owner, by counting. Those of node i are
// index[start[i]:start[i+1]], in rising order.
func (b *board) group() (start, index []int32) {
	start = make([]int32, len(b.nodes)+1)
	for p, o := range b.owner {
		if o != nobody && !b.pinned[p] {
			start[o+1]++
		}
	}
	for i := 1; i < len(start); i++ {
		start[i] += start[i-1]
	}
	next := slices.Clone(start)
	index = make([]int32, start[len(start)-1])
	for p, o := range b.owner {
		if o != nobody && !b.pinned[p] {
			index[next[o]] = int32(p) //nolint:gosec // at most 65536 partitions
			next[o]++
		}
	}
	return start, index
}
