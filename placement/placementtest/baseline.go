package placementtest

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/boragegate/boragegate/placement"
)

// Baseline is a policy without slot limits or a move budget. Its owners are a function of
// the usable targets; the last result is cached. At least one target must be usable.
type Baseline struct {
	// owners returns the index of the target of each partition.
	owners       func(ts []placement.Target, partitions int) []int
	lastTargets  []placement.Target
	cachedOwners []int
}

// Plan implements placement.Policy. It moves every partition to its computed owner at once.
func (b *Baseline) Plan(in placement.Input) placement.Plan {
	var usable []placement.Target
	for _, t := range in.Targets {
		if t.Usable && !t.Lost && !t.Leaving && t.Weight > 0 {
			usable = append(usable, t)
		}
	}
	if !slices.Equal(usable, b.lastTargets) {
		b.lastTargets, b.cachedOwners = usable, b.owners(usable, len(in.Assignment.Owner))
	}
	var plan placement.Plan
	for p, o := range b.cachedOwners {
		if name := usable[o].Name; in.Assignment.OwnerOf(p) != name {
			plan.Urgent = append(plan.Urgent, placement.Change{Partition: p, Target: name})
		}
	}
	return plan
}

// Modulo returns a policy that assigns partition p to target p mod n, where n is the number
// of usable targets.
func Modulo() *Baseline {
	return &Baseline{owners: func(ts []placement.Target, partitions int) []int {
		owners := make([]int, partitions)
		for p := range owners {
			owners[p] = p % len(ts)
		}
		return owners
	}}
}

// virtualNodes is the number of points of a target of weight 1 on the hash ring.
const virtualNodes = 100

// ConsistentHash returns a policy that assigns partitions on a hash ring with virtual nodes
// in proportion to weight.
func ConsistentHash() *Baseline {
	type point struct {
		hash   uint64
		target int
	}
	return &Baseline{owners: func(ts []placement.Target, partitions int) []int {
		var ring []point
		for i, t := range ts {
			for v := range int(virtualNodes * t.Weight) {
				ring = append(ring, point{xxhash.Sum64String(t.Name + "#" + strconv.Itoa(v)), i})
			}
		}
		slices.SortFunc(ring, func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
		owners := make([]int, partitions)
		for p := range owners {
			i, _ := slices.BinarySearchFunc(ring, mix(uint64(p)), func(q point, h uint64) int { return cmp.Compare(q.hash, h) }) //nolint:gosec // not negative
			owners[p] = ring[i%len(ring)].target
		}
		return owners
	}}
}

// Rendezvous returns a policy that assigns partitions by weighted rendezvous hashing.
func Rendezvous() *Baseline {
	return &Baseline{owners: func(ts []placement.Target, partitions int) []int {
		seeds := make([]uint64, len(ts))
		for i, t := range ts {
			seeds[i] = xxhash.Sum64String(t.Name)
		}
		owners := make([]int, partitions)
		for p := range owners {
			best := math.Inf(1)
			for i, t := range ts {
				u := (float64(mix(seeds[i]^mix(uint64(p)))>>11) + 0.5) / (1 << 53) //nolint:gosec // not negative
				if score := -math.Log(u) / t.Weight; score < best {
					best, owners[p] = score, i
				}
			}
		}
		return owners
	}}
}

// mix returns a hash of x, with the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
