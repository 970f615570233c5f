package placement_test

import (
	"math"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/boragegate/boragegate/placement"
)

// changeRandomly changes a few targets at random.
func (r *testService) changeRandomly(t *rapid.T) {
	r.input.Targets = append([]placement.Target{}, r.input.Targets...)
	for range rapid.IntRange(0, 3).Draw(t, "changes") {
		x := &r.input.Targets[rapid.IntRange(0, len(r.input.Targets)-1).Draw(t, "target")]
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
	r.input.Now += time.Duration(rapid.IntRange(1, 60_000).Draw(t, "ms")) * time.Millisecond
	if rapid.Bool().Draw(t, "reported") {
		load := make([]float64, len(r.input.Assignment.Owner))
		for p := range load {
			load[p] = rapid.Float64Range(-0.01, 1).Draw(t, "load")
		}
		load[0] = rapid.SampledFrom([]float64{0, 20, math.NaN(), math.Inf(1)}).Draw(t, "odd load")
		r.input.Load = load
	}
}

func drawService(t *rapid.T) *testService {
	ts := newTargets(rapid.IntRange(1, 9).Draw(t, "targets"), rapid.IntRange(1, 4).Draw(t, "zones"))
	r := newTestService(rapid.IntRange(1, 40).Draw(t, "partitions"), ts)
	r.input.PreferStability = rapid.Bool().Draw(t, "stability")
	return r
}

// target returns the target with that name, or an empty one.
func (r *testService) target(name string) placement.Target {
	for _, t := range r.input.Targets {
		if t.Name == name {
			return t
		}
	}
	return placement.Target{}
}

// checkPlan checks what holds for every plan: nobody moves without a reason,
// twice, to a target that may not receive, or while a lost owner keeps it.
func (r *testService) checkPlan(t *rapid.T, plan placement.Plan) {
	seen := map[int]bool{}
	receive := func(p int, name string) {
		x := r.target(name)
		if seen[p] || !x.Usable || x.Lost || x.Leaving || x.Weight <= 0 {
			t.Fatalf("partition %d to %+v, twice %v", p, x, seen[p])
		}
		seen[p] = true
	}
	for _, u := range plan.Urgent {
		receive(u.Partition, u.Target)
		if owner := r.input.Assignment.OwnerOf(u.Partition); owner != "" && !r.target(owner).Lost {
			t.Fatalf("urgent partition %d has the living owner %s", u.Partition, owner)
		}
	}
	for _, m := range plan.Moves {
		receive(m.Partition, m.Target)
		from := r.target(m.From)
		if m.From != r.input.Assignment.OwnerOf(m.Partition) || from.Lost || m.From == m.Target || m.Reason == "" ||
			m.Reason == placement.ReasonLeaving && !from.Leaving {
			t.Fatalf("move %+v from %+v", m, from)
		}
	}
}

// Guards against partitions left without an owner, moves without a reason, and
// plans that depend on anything but the inputs or the order of the targets.
func TestPlanProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := drawService(t)
		twin := placement.NewWeighted(placement.Settings{})
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			r.changeRandomly(t)
			in := r.input
			in.Targets = append([]placement.Target{}, in.Targets...)
			for i, j := 0, len(in.Targets)-1; i < j; i, j = i+1, j-1 {
				in.Targets[i], in.Targets[j] = in.Targets[j], in.Targets[i]
			}
			before := r.input.Assignment
			plan := r.policy.Plan(r.input)
			if other := twin.Plan(in); !reflect.DeepEqual(plan, other) {
				t.Fatalf("plans differ: %+v and %+v", plan, other)
			}
			r.checkPlan(t, plan)
			r.apply(plan)
			r.checkOwners(t)
			for p := range before.Owner {
				placement.NewWeighted(placement.Settings{}).Explain(before, plan, p)
			}
		}
	})
}

// checkOwners checks that no partition stays without a living owner while a target can receive it.
func (r *testService) checkOwners(t *rapid.T) {
	for _, x := range r.input.Targets {
		if !x.Usable || x.Lost || x.Leaving || x.Weight <= 0 {
			continue
		}
		for p := range r.input.Assignment.Owner {
			if owner := r.input.Assignment.OwnerOf(p); owner == "" || r.target(owner).Lost {
				t.Fatalf("partition %d has owner %q, target %s is usable", p, owner, x.Name)
			}
		}
	}
}

// Guards against shares that ignore weights: without load and after enough
// time, each target has its share to within one partition.
func TestWeightsAreRespected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := drawService(t)
		for range 3 {
			r.changeRandomly(t)
			r.input.Load = nil
			r.planAndApply()
		}
		for i := range r.input.Targets {
			x := &r.input.Targets[i]
			x.Lost, x.Leaving, x.Usable = false, false, true
		}
		for range 80 {
			r.input.Now += 10 * time.Second
			r.planAndApply()
		}
		sum := 0.0
		for _, x := range r.input.Targets {
			sum += x.Weight
		}
		for _, x := range r.input.Targets {
			if want := x.Weight / sum * float64(len(r.input.Assignment.Owner)); math.Abs(float64(r.partitionCounts()[x.Name])-want) > 1.01 && sum > 0 {
				t.Fatalf("%s has %d partitions, its share is %v of %v", x.Name, r.partitionCounts()[x.Name], want, r.partitionCounts())
			}
		}
	})
}
