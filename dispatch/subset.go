package dispatch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// instancesPerTarget is the number of instances that use one target as a rule. With fewer
	// targets for each instance, an instance knows their load from its own requests, and
	// its connections are used again before they lapse.
	instancesPerTarget = 6
	// minSubsetSize is the least number of targets of the own zone that an instance uses.
	minSubsetSize = 6
	// remoteZoneRatio is the number of targets of other zones for each one of the own zone.
	remoteZoneRatio = 0.5
	// subsettingThreshold is the number of targets up to which an instance uses all of them: it
	// meets each often enough.
	subsettingThreshold = 24
	// subsetLatencyFraction of the objective is the expected time at all targets of the subset
	// from which the others are looked at too.
	subsetLatencyFraction = 0.5
)

// subset has the targets of one service that an instance uses as a rule.
type subset struct {
	targets       []*targetState
	hasAllTargets bool // the list has all targets
	stale         bool // the targets or the number of instances have changed
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

// subsetFor returns the targets that this instance uses for a service: those with
// the highest hash of target and instance, so that each target is used by about as
// many instances, and few choices change with the list.
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
	own := len(all)
	if b.instanceCount > 0 {
		own = max((instancesPerTarget*len(all)+b.instanceCount-1)/b.instanceCount, minSubsetSize)
	}
	away := int(remoteZoneRatio * float64(own))
	if len(all) <= max(own+away, subsettingThreshold) || !b.policy.Enabled(Subsetting) {
		s.targets, s.hasAllTargets = all, true
		return s
	}
	near, far := []*targetState{}, []*targetState{}
	for _, t := range all {
		switch {
		case t.Draining, t.leavingAt > 0:
		case t.Zone == b.zone:
			near = append(near, t)
		default:
			far = append(far, t)
		}
	}
	near = b.highestRanked(near, own)
	s.targets, s.hasAllTargets = slices.Concat(near, b.highestRanked(far, own+away-len(near))), false
	return s
}

// exceedsSubsetLatency reports whether a request would end late enough to look for another target.
func exceedsSubsetLatency(r *Request, d Decision) bool {
	return r.Objective > 0 && float64(d.ExpectedLatency) > subsetLatencyFraction*float64(r.Objective)
}

// nextPair returns two targets of the list, in turn and in pairs that change.
func (b *Balancer) nextPair(list []*targetState) []*targetState {
	if len(list) < 2 {
		return list
	}
	b.pairIndex++
	first := int(b.sequenceValue(b.pairIndex) * float64(len(list)))
	second := first + 1 + b.pairIndex%(len(list)-1)
	return []*targetState{list[first], list[second%len(list)]}
}

// highestRanked returns the n targets with the highest hash of target and instance.
func (b *Balancer) highestRanked(list []*targetState, n int) []*targetState {
	for _, t := range list {
		t.rank = xxhash.Sum64String(t.ID) ^ b.seed
		t.rank *= 0x9E3779B97F4A7C15 // spreads the bits that differ between instances
		t.rank ^= t.rank >> 32
	}
	slices.SortFunc(list, func(x, y *targetState) int { return cmp.Compare(y.rank, x.rank) })
	return list[:min(n, len(list))]
}
