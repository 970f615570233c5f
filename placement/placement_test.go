package placement_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragegate/boragegate/placement"
)

// suite is the test that runs the specs. It fails if a golden file differs.
var suite *testing.T

func TestPlacement(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

// newTargets returns n usable targets, distributed over the given number of zones.
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
	s := &testService{policy: placement.NewWeighted(placement.Settings{})}
	s.input.Assignment = placement.NewAssignment("route", partitions)
	s.input.Targets = ts
	return s
}

// planAndApply makes one plan and applies its urgent changes and moves.
func (s *testService) planAndApply() placement.Plan {
	plan := s.policy.Plan(s.input)
	s.apply(plan)
	return plan
}

func (s *testService) apply(plan placement.Plan) {
	changes := append([]placement.Change{}, plan.Urgent...)
	for _, m := range plan.Moves {
		changes = append(changes, m.Change)
	}
	if len(changes) > 0 {
		s.input.Assignment = s.input.Assignment.WithChanges(s.input.Assignment.Version+1, changes)
	}
}

// partitionCounts returns the number of partitions of each target.
func (s *testService) partitionCounts() map[string]int {
	c := map[string]int{}
	for p := range s.input.Assignment.Owner {
		c[s.input.Assignment.OwnerOf(p)]++
	}
	return c
}
