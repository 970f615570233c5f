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
	// Subsets lets an instance use a part of a large service's targets, and take the
	// better of two.
	Subsets
	// ToldPressure admits to a target the share of all requests that the leader tells.
	ToldPressure
	// FullShare leaves a full target alone for this instance's share of its queue.
	FullShare
	// ColdStart takes targets that have just started for slow.
	ColdStart
	// EarlyRejection rejects requests that would miss their objective.
	EarlyRejection
	// LateLast lets requests that can still be on time go before those that cannot.
	LateLast
	// Holding keeps requests whose key is on the move instead of rejecting them.
	Holding
	mechanisms
)

var mechanismNames = [mechanisms]string{
	"hedging", "ejection", "failure-rate", "zone-cost", "subsets", "pressure", "full-share", "cold-start",
	"early-rejection", "late-last", "holding",
}

// Mechanisms returns the names of all mechanisms.
func Mechanisms() []string { return slices.Clone(mechanismNames[:]) }

// Policy says which mechanisms are switched off. The zero value has none off.
type Policy struct{ off [mechanisms]bool }

// Without returns a policy with the named mechanisms switched off.
func Without(names ...string) (Policy, error) {
	var p Policy
	for _, name := range names {
		i := slices.Index(mechanismNames[:], name)
		if i < 0 {
			return p, fmt.Errorf("unknown mechanism %q; there are %s", name, strings.Join(mechanismNames[:], ", "))
		}
		p.off[i] = true
	}
	return p, nil
}

// On reports whether a mechanism is switched on.
func (p *Policy) On(m Mechanism) bool { return !p.off[m] }
