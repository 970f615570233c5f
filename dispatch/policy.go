package dispatch

import (
	"fmt"
	"slices"
	"strings"
)

// Mechanism is a part of the decisions that can be switched off, to measure what it is
// worth on a deployment. All are on by default.
type Mechanism int

// Mechanisms.
const (
	// Hedging sends a request that may run again once more when the first attempt takes
	// clearly longer than expected.
	Hedging Mechanism = iota
	// Ejection leaves out targets that did not answer several requests in a row.
	Ejection
	// FailureRate sends less to targets that fail.
	FailureRate
	// ZoneCost prefers targets in the own availability zone.
	ZoneCost
	// Subsetting lets an instance use a part of a large service's targets, and take the
	// better of two.
	Subsetting
	// OfferedLoadAdmission admits to a target the share of all requests that the leader tells.
	OfferedLoadAdmission
	// FullTargetBackoff leaves a full target alone for this instance's share of its queue.
	FullTargetBackoff
	// ColdStart takes targets that have just started for slow.
	ColdStart
	// EarlyRejection rejects requests that would miss their objective.
	EarlyRejection
	// OnTimeFirst lets requests that can still be on time go before those that cannot.
	OnTimeFirst
	// Holding keeps requests whose key is on the move instead of rejecting them.
	Holding
	mechanismCount
)

var mechanismNames = [mechanismCount]string{
	"hedging", "ejection", "failure-rate", "zone-cost", "subsets", "pressure", "full-share", "cold-start",
	"early-rejection", "late-last", "holding",
}

// MechanismNames returns the names of all mechanisms.
func MechanismNames() []string { return slices.Clone(mechanismNames[:]) }

// Policy says which mechanisms are switched off. The zero value has none off.
type Policy struct{ disabled [mechanismCount]bool }

// NewPolicyWithout returns a policy with the named mechanisms switched off.
func NewPolicyWithout(names ...string) (Policy, error) {
	var p Policy
	for _, name := range names {
		i := slices.Index(mechanismNames[:], name)
		if i < 0 {
			return p, fmt.Errorf("unknown mechanism %q; there are %s", name, strings.Join(mechanismNames[:], ", "))
		}
		p.disabled[i] = true
	}
	return p, nil
}

// Enabled reports whether a mechanism is switched on.
func (p *Policy) Enabled(m Mechanism) bool { return !p.disabled[m] }
