package dispatch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// instancesPerTarget is the number of instances that each target is normally used by. With
	// fewer targets per instance, an instance knows their load from its own requests and reuses
	// its connections before they time out.
	instancesPerTarget = 6
	// pairInterval is the number of requests of which one is offered to a pair of the subset first. If all were, two
	// targets would often both have a queue while others of the subset are idle.
	pairInterval = 8
	// minSubsetSize is the minimum number of targets in a subset that are in the zone of the
	// instance, if the zone has as many.
	minSubsetSize = 6
	// remoteZoneRatio is the number of targets from other zones for each target from the zone of
	// the instance.
	remoteZoneRatio = 0.5
	// subsettingThreshold is the number of targets up to which an instance uses all of them: it
	// sends to each often enough.
	subsettingThreshold = 24
	// subsetLatencyFraction is the fraction of the objective above which the expected latency
	// makes an instance consider more targets: the whole subset instead of a pair of it, and then
	// all targets.
	subsetLatencyFraction = 0.5
)

// subset is the set of targets of one service that an instance normally uses.
type subset struct {
	targets       []*targetState
	localCount    int  // number of targets in the zone of the instance, which come first; 0 if the subset has all
	hasAllTargets bool // set if the subset has all targets of the service
	stale         bool // set if the targets or the number of instances have changed
}

// SetInstanceCount sets the number of instances that share the targets.
func (b *Balancer) SetInstanceCount(n int) {
	if n == b.instanceCount {
		return
	}
	b.instanceCount = n
	for _, s := range b.subsets {
		s.stale = true
	}
}

// subsetFor returns the subset of this instance for a service: the targets with the highest
// hash of target and instance (rendezvous hashing), preferably from the zone of the instance.
// Each target is in about the same number of subsets, and a target that joins or leaves changes
// few of them.
func (b *Balancer) subsetFor(service string) *subset {
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
	localCount := len(all)
	if b.instanceCount > 0 {
		localCount = max((instancesPerTarget*len(all)+b.instanceCount-1)/b.instanceCount, minSubsetSize)
	}
	remoteCount := int(remoteZoneRatio * float64(localCount))
	if len(all) <= max(localCount+remoteCount, subsettingThreshold) || !b.policy.Enabled(Subsetting) {
		s.targets, s.localCount, s.hasAllTargets = all, 0, true
		return s
	}
	local, remote := []*targetState{}, []*targetState{}
	for _, t := range all {
		switch {
		case t.Draining, t.leavingAt > 0:
		case t.Zone == b.zone:
			local = append(local, t)
		default:
			remote = append(remote, t)
		}
	}
	if b.policy.Enabled(Spillover) {
		localCount += remoteCount // usually, the targets in other zones are not used
	}
	local = b.highestRanked(local, localCount)
	s.localCount = len(local)
	s.targets, s.hasAllTargets = slices.Concat(local, b.highestRanked(remote, localCount+remoteCount-len(local))), false
	return s
}

// exceedsSubsetLatency reports whether the expected latency is high enough to consider more
// targets.
func exceedsSubsetLatency(r *Request, d Decision) bool {
	return r.Objective > 0 && float64(d.ExpectedLatency) > subsetLatencyFraction*float64(r.Objective)
}

// nextPair returns two targets of the list, which differ with pairIndex.
func (b *Balancer) nextPair(list []*targetState) []*targetState {
	if len(list) < 2 {
		return list
	}
	first := int(b.quasiRandom(b.pairIndex) * float64(len(list)))
	second := first + 1 + b.pairIndex%(len(list)-1)
	return []*targetState{list[first], list[second%len(list)]}
}

// highestRanked returns the n targets with the highest hash of target and instance.
func (b *Balancer) highestRanked(list []*targetState, n int) []*targetState {
	for _, t := range list {
		t.subsetRank = xxhash.Sum64String(t.ID) ^ b.seed
		t.subsetRank *= 0x9E3779B97F4A7C15 // diffuses the bits that differ between instances
		t.subsetRank ^= t.subsetRank >> 32
	}
	slices.SortFunc(list, func(x, y *targetState) int { return cmp.Compare(y.subsetRank, x.subsetRank) })
	return list[:min(n, len(list))]
}
