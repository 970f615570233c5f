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

// newTargets returns n usable targets in the given number of zones.
func newTargets(n, zones int) []placement.Target {
	ts := make([]placement.Target, n)
	for i := range ts {
		ts[i] = placement.Target{
			Name: fmt.Sprintf("t%03d", i), Zone: fmt.Sprintf("z%d", i%zones), Weight: 1, Slots: 6, Usable: true,
		}
	}
	return ts
}

// testService is a service whose plans take effect at once.
type testService struct {
	policy placement.Policy
	input  placement.Input
}

func newTestService(partitions int, ts []placement.Target) *testService {
	r := &testService{policy: placement.NewWeighted(placement.Settings{})}
	r.input.Assignment = placement.NewAssignment("route", partitions)
	r.input.Targets = ts
	return r
}

// planAndApply plans once and applies the urgent changes and the moves.
func (r *testService) planAndApply() placement.Plan {
	plan := r.policy.Plan(r.input)
	r.apply(plan)
	return plan
}

func (r *testService) apply(plan placement.Plan) {
	changes := append([]placement.Change{}, plan.Urgent...)
	for _, m := range plan.Moves {
		changes = append(changes, m.Change)
	}
	if len(changes) > 0 {
		r.input.Assignment = r.input.Assignment.WithChanges(r.input.Assignment.Version+1, changes)
	}
}

// partitionCounts returns the number of partitions of each target.
func (r *testService) partitionCounts() map[string]int {
	c := map[string]int{}
	for p := range r.input.Assignment.Owner {
		c[r.input.Assignment.OwnerOf(p)]++
	}
	return c
}
