package dispatch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// coverage is the number of instances whose subset has a given target. With fewer
	// targets per instance, an instance knows their load from its own requests and reuses
	// its connections before they time out.
	coverage = 6
	// leastSubset is the minimum number of targets in a subset that are in the zone of the
	// instance.
	leastSubset = 6
	// awayShare is the number of targets from other zones for each target from the zone of
	// the instance.
	awayShare = 0.5
	// smallService is the number of targets up to which an instance uses all of them: it
	// sends to each often enough.
	smallService = 24
	// crowdedShare is the fraction of the objective above which the expected latency at the
	// best target of the subset makes an instance consider all targets.
	crowdedShare = 0.5
)

// subset is the set of targets of one service that an instance normally uses.
type subset struct {
	list  []*target
	whole bool // set if the list has all targets of the service
	stale bool // set if the targets or the number of instances have changed
}

// SetInstances sets the number of instances that share the targets.
func (b *Board) SetInstances(n int) {
	if n == b.instances {
		return
	}
	b.instances = n
	for _, s := range b.subsets {
		s.stale = true
	}
}

// usualTargets returns the subset of this instance for a service: the targets with the
// highest hash of target and instance (rendezvous hashing). Each target is in about the
// same number of subsets, and a change of the list changes few of them.
func (b *Board) usualTargets(service string) *subset {
	s := b.subsets[service]
	if s == nil {
		s = &subset{stale: true}
		b.subsets[service] = s
	}
	if !s.stale {
		return s
	}
	s.stale = false
	all := b.services[service]
	own := len(all)
	if b.instances > 0 {
		own = max((coverage*len(all)+b.instances-1)/b.instances, leastSubset)
	}
	away := int(awayShare * float64(own))
	if len(all) <= max(own+away, smallService) || !b.policy.On(Subsets) {
		s.list, s.whole = all, true
		return s
	}
	near, far := []*target{}, []*target{}
	for _, t := range all {
		switch {
		case t.Draining, t.leavingAt > 0:
		case t.Zone == b.zone:
			near = append(near, t)
		default:
			far = append(far, t)
		}
	}
	near = b.highest(near, own)
	s.list, s.whole = slices.Concat(near, b.highest(far, own+away-len(near))), false
	return s
}

// crowded reports whether the expected latency is high enough to consider targets outside
// the subset.
func crowded(r *Request, d Decision) bool {
	return r.Objective > 0 && float64(d.Expected) > crowdedShare*float64(r.Objective)
}

// two returns two targets of the list; successive calls return different pairs.
func (b *Board) two(list []*target) []*target {
	if len(list) < 2 {
		return list
	}
	b.pairs++
	first := int(b.turnOf(b.pairs) * float64(len(list)))
	second := first + 1 + b.pairs%(len(list)-1)
	return []*target{list[first], list[second%len(list)]}
}

// highest returns the n targets with the highest hash of target and instance.
func (b *Board) highest(list []*target, n int) []*target {
	for _, t := range list {
		t.rank = xxhash.Sum64String(t.ID) ^ b.seed
		t.rank *= 0x9E3779B97F4A7C15 // diffuses the bits that differ between instances
		t.rank ^= t.rank >> 32
	}
	slices.SortFunc(list, func(x, y *target) int { return cmp.Compare(y.rank, x.rank) })
	return list[:min(n, len(list))]
}
