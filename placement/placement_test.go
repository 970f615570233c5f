package placement_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragegate/boragegate/placement"
)

// suite is the test that runs the specs; golden files are compared under it.
var suite *testing.T

func TestPlacement(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

// targets returns n usable targets in the given number of zones.
func targets(n, zones int) []placement.Target {
	ts := make([]placement.Target, n)
	for i := range ts {
		ts[i] = placement.Target{
			Name: fmt.Sprintf("t%03d", i), Zone: fmt.Sprintf("z%d", i%zones), Weight: 1, Slots: 6, Usable: true,
		}
	}
	return ts
}

// run is a service whose plans take effect at once.
type run struct {
	policy placement.Policy
	in     placement.Input
}

func newRun(partitions int, ts []placement.Target) *run {
	r := &run{policy: placement.NewWeighted(placement.Settings{})}
	r.in.Assignment = placement.NewAssignment("route", partitions)
	r.in.Targets = ts
	return r
}

// step plans once and applies the urgent changes and the moves.
func (r *run) step() placement.Plan {
	plan := r.policy.Plan(r.in)
	r.apply(plan)
	return plan
}

func (r *run) apply(plan placement.Plan) {
	changes := append([]placement.Change{}, plan.Urgent...)
	for _, m := range plan.Moves {
		changes = append(changes, m.Change)
	}
	if len(changes) > 0 {
		r.in.Assignment = r.in.Assignment.With(r.in.Assignment.Version+1, changes)
	}
}

// counts returns the number of partitions of each target.
func (r *run) counts() map[string]int {
	c := map[string]int{}
	for p := range r.in.Assignment.Owner {
		c[r.in.Assignment.OwnerOf(p)]++
	}
	return c
}
