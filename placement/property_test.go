package placement_test

import (
	"math"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/boragegate/boragegate/placement"
)

// changeRandomly changes up to three targets, advances the time and may report a load,
// which can contain invalid values.
func (s *testService) changeRandomly(t *rapid.T) {
	s.input.Targets = append([]placement.Target{}, s.input.Targets...)
	for range rapid.IntRange(0, 3).Draw(t, "changes") {
		x := &s.input.Targets[rapid.IntRange(0, len(s.input.Targets)-1).Draw(t, "target")]
		switch rapid.IntRange(0, 5).Draw(t, "change") {
		case 0:
			x.Lost, x.Usable = true, false
		case 1:
			x.Leaving, x.Usable = true, false
		case 2:
			x.Usable = false
		case 3:
			x.Weight = float64(rapid.IntRange(0, 4).Draw(t, "weight"))
		default:
			x.Lost, x.Leaving, x.Usable = false, false, true
		}
	}
	s.input.Now += time.Duration(rapid.IntRange(1, 60_000).Draw(t, "ms")) * time.Millisecond
	if rapid.Bool().Draw(t, "reported") {
		load := make([]float64, len(s.input.Assignment.Owner))
		for p := range load {
			load[p] = rapid.Float64Range(-0.01, 1).Draw(t, "load")
		}
		load[0] = rapid.SampledFrom([]float64{0, 20, math.NaN(), math.Inf(1)}).Draw(t, "odd load")
		s.input.Load = load
	}
}

func drawService(t *rapid.T) *testService {
	ts := newTargets(rapid.IntRange(1, 9).Draw(t, "targets"), rapid.IntRange(1, 4).Draw(t, "zones"))
	s := newTestService(rapid.IntRange(1, 40).Draw(t, "partitions"), ts)
	s.input.PreferStability = rapid.Bool().Draw(t, "stability")
	return s
}

// target returns the target with the given name, or an empty one.
func (s *testService) target(name string) placement.Target {
	for _, t := range s.input.Targets {
		if t.Name == name {
			return t
		}
	}
	return placement.Target{}
}

// checkPlan checks that no partition of a plan moves without a reason, twice, to a target
// that cannot receive partitions, or urgently away from an owner that is not lost.
func (s *testService) checkPlan(t *rapid.T, plan placement.Plan) {
	seen := map[int]bool{}
	receive := func(p int, name string) {
		x := s.target(name)
		if seen[p] || !x.Usable || x.Lost || x.Leaving || x.Weight <= 0 {
			t.Fatalf("partition %d assigned to unusable target %+v, or twice: %v", p, x, seen[p])
		}
		seen[p] = true
	}
	for _, u := range plan.Urgent {
		receive(u.Partition, u.Target)
		if owner := s.input.Assignment.OwnerOf(u.Partition); owner != "" && !s.target(owner).Lost {
			t.Fatalf("partition %d reassigned urgently although its owner %s is not lost", u.Partition, owner)
		}
	}
	for _, m := range plan.Moves {
		receive(m.Partition, m.Target)
		from := s.target(m.From)
		if m.From != s.input.Assignment.OwnerOf(m.Partition) || from.Lost || m.From == m.Target || m.Reason == "" ||
			m.Reason == placement.ReasonLeaving && !from.Leaving {
			t.Fatalf("invalid move %+v from target %+v", m, from)
		}
	}
}

// TestPlanProperties guards against partitions left without an owner, moves without a
// reason, and plans that depend on anything but the inputs, or on the order of the targets.
// It also guards against a panic in Explain for a policy that has not planned yet.
func TestPlanProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawService(t)
		second := placement.NewWeighted(placement.Settings{})
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			s.changeRandomly(t)
			in := s.input
			in.Targets = append([]placement.Target{}, in.Targets...)
			for i, j := 0, len(in.Targets)-1; i < j; i, j = i+1, j-1 {
				in.Targets[i], in.Targets[j] = in.Targets[j], in.Targets[i]
			}
			before := s.input.Assignment
			plan := s.policy.Plan(s.input)
			if other := second.Plan(in); !reflect.DeepEqual(plan, other) {
				t.Fatalf("plans for the same input differ: %+v and %+v", plan, other)
			}
			s.checkPlan(t, plan)
			s.apply(plan)
			s.checkOwners(t)
			for p := range before.Owner {
				placement.NewWeighted(placement.Settings{}).Explain(before, plan, p)
			}
		}
	})
}

// checkOwners checks that no partition is left without an owner, or with a lost one, while
// a target can receive it.
func (s *testService) checkOwners(t *rapid.T) {
	for _, x := range s.input.Targets {
		if !x.Usable || x.Lost || x.Leaving || x.Weight <= 0 {
			continue
		}
		for p := range s.input.Assignment.Owner {
			if owner := s.input.Assignment.OwnerOf(p); owner == "" || s.target(owner).Lost {
				t.Fatalf("partition %d has owner %q although target %s is usable", p, owner, x.Name)
			}
		}
	}
}

// TestWeightsAreRespected guards against fair shares that ignore weights. Without load and
// after enough time, each target must have its fair share to within one partition.
func TestWeightsAreRespected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawService(t)
		for range 3 {
			s.changeRandomly(t)
			s.input.Load = nil
			s.planAndApply()
		}
		for i := range s.input.Targets {
			x := &s.input.Targets[i]
			x.Lost, x.Leaving, x.Usable = false, false, true
		}
		for range 80 {
			s.input.Now += 10 * time.Second
			s.planAndApply()
		}
		sum := 0.0
		for _, x := range s.input.Targets {
			sum += x.Weight
		}
		for _, x := range s.input.Targets {
			if want := x.Weight / sum * float64(len(s.input.Assignment.Owner)); math.Abs(float64(s.partitionCounts()[x.Name])-want) > 1.01 && sum > 0 {
				t.Fatalf("target %s has %d partitions, fair share %v, of %v", x.Name, s.partitionCounts()[x.Name], want, s.partitionCounts())
			}
		}
	})
}
