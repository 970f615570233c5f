package dispatch

import (
	"fmt"
	"slices"
	"strings"
)

// Mechanism is a part of the decision logic that can be disabled to measure its effect on a
// deployment. All are enabled by default.
type Mechanism int

// Mechanisms that can be disabled.
const (
	// Hedging sends a second attempt of an idempotent request when the first takes clearly
	// longer than expected.
	Hedging Mechanism = iota
	// Ejection excludes targets that did not respond to several consecutive requests.
	Ejection
	// FailureRate sends fewer requests to targets that return errors.
	FailureRate
	// ZoneCost prefers targets in the availability zone of the instance.
	ZoneCost
	// Subsetting limits an instance to a subset of the targets of a large service, in which it
	// chooses the better of two.
	Subsetting
	// OfferedLoadAdmission limits the requests for an overloaded target to a fraction that
	// follows from the offered load published by the leader.
	OfferedLoadAdmission
	// FullTargetBackoff backs off from a full target for the time in which the target serves one
	// request of each instance. If it is disabled, the backoff is short and does not depend on the
	// number of instances.
	FullTargetBackoff
	// ColdStart assumes a longer service time for targets that have just started.
	ColdStart
	// EarlyRejection rejects requests that are expected to miss their objective.
	EarlyRejection
	// OnTimeFirst gives requests that can still meet their objective priority over those that
	// cannot.
	OnTimeFirst
	// Holding holds requests whose key is being moved instead of rejecting them.
	Holding
	// Pace prefers targets at which work takes as long as usual over those that report a slow stretch.
	Pace
	// WarmUpRate keeps all instances together to the rate of a service while its target warms up.
	WarmUpRate
	// Priority keeps requests out of queues in which more urgent requests of the same service would be late.
	Priority
	// HotKeys keeps a key with more load than its holder serves from affecting the other keys of
	// that holder.
	HotKeys
	// Spillover keeps requests without a key in the zone of the instance as long as its targets have capacity, and
	// lets a fraction of them leave otherwise.
	Spillover
	// Profiles uses what other instances have measured when this instance starts, and turns late requests away until it
	// has had the first load report.
	Profiles
	mechanismCount
)

// mechanismNames has the names by which operators disable mechanisms. Some differ from those of
// the constants; they are part of the interface to operators.
var mechanismNames = [mechanismCount]string{
	"hedging", "ejection", "failure-rate", "zone-cost", "subsets", "pressure", "full-share", "cold-start",
	"early-rejection", "late-last", "holding", "pace", "warm-up-rate", "priority", "hot-keys", "spillover", "profiles",
}

// MechanismNames returns the names of all mechanisms, as NewPolicyWithout accepts them.
func MechanismNames() []string { return slices.Clone(mechanismNames[:]) }

// Policy is the set of disabled mechanisms. The zero value enables all.
type Policy struct{ disabled [mechanismCount]bool }

// NewPolicyWithout returns a policy in which the named mechanisms are disabled. It returns an
// error for an unknown name.
func NewPolicyWithout(names ...string) (Policy, error) {
	var p Policy
	for _, name := range names {
		i := slices.Index(mechanismNames[:], name)
		if i < 0 {
			return p, fmt.Errorf("unknown mechanism %q; known mechanisms are %s", name, strings.Join(mechanismNames[:], ", "))
		}
		p.disabled[i] = true
	}
	return p, nil
}

// Enabled reports whether a mechanism is enabled.
func (p *Policy) Enabled(m Mechanism) bool { return !p.disabled[m] }
