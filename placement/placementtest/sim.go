package placementtest

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/boragegate/boragegate/placement"
)

const (
	// Step is the time between two load reports and between two plans.
	Step = 10 * time.Second
	// windowSteps is the number of steps over which the imbalance is measured.
	windowSteps = 6
)

// Sim simulates a service with a policy and traffic. Planned moves take effect one step
// later.
type Sim struct {
	Policy  placement.Policy
	Traffic *Traffic
	Input   placement.Input
	// StaleProbability is the probability that the report on a target is missing, so that
	// the planner receives the previous one again. MisleadingProbability is the probability
	// that a report contains twice the load.
	StaleProbability, MisleadingProbability float64
	// KeysMoved is the number of keys that moved from one owner to another. MovesByReason
	// counts the planned moves by reason, and the urgent changes as "urgent".
	KeysMoved     float64
	MovesByReason map[string]int
	// WindowImbalances holds the imbalance of each 1-minute window.
	WindowImbalances []float64

	// settleTime is the time between a change and the measurement of its effect.
	settleTime    time.Duration
	rng           *rand.Rand
	expectedLoads []float64
	steps         int
	windowLoads   map[string]float64
	pendingMoves  []placement.Change
}

// NewSim returns a simulation of a service whose partitions have no owners.
func NewSim(seed uint64, policy placement.Policy, traffic *Traffic, targets []placement.Target, stability bool) *Sim {
	s := &Sim{Policy: policy, Traffic: traffic, MovesByReason: map[string]int{}, windowLoads: map[string]float64{}, settleTime: settleTime}
	s.rng = rand.New(rand.NewPCG(seed, 2)) //nolint:gosec // repeatable traces
	s.Input.Assignment = placement.NewAssignment("service", len(traffic.KeyCounts))
	s.Input.Targets, s.Input.PreferStability, s.Input.KeyCounts = targets, stability, traffic.KeyCounts
	s.expectedLoads = traffic.ExpectedLoads()
	return s
}

// Targets returns n usable targets, distributed over the zones. The weights are used in
// turn. Each target has the given number of slots per unit of weight.
func Targets(n, zones, slots int, weights ...float64) []placement.Target {
	ts := make([]placement.Target, n)
	for i := range ts {
		w := weights[i%len(weights)]
		ts[i] = placement.Target{
			Name: fmt.Sprintf("t%03d", i), Zone: fmt.Sprintf("z%d", i%zones), Weight: w, Slots: slots * int(w), Usable: true,
		}
	}
	return ts
}

// Run simulates the given time, rounded down to whole steps.
func (s *Sim) Run(d time.Duration) {
	for range int(d / Step) {
		s.step()
	}
}

// ReplaceHottestKeys replaces the k hottest keys with others.
func (s *Sim) ReplaceHottestKeys(k int) {
	s.Traffic.ReplaceHottest(k)
	s.expectedLoads = s.Traffic.ExpectedLoads()
}

// ResetMeasurements discards all measurements.
func (s *Sim) ResetMeasurements() {
	s.KeysMoved, s.MovesByReason, s.WindowImbalances = 0, map[string]int{}, nil
	s.windowLoads, s.steps = map[string]float64{}, 0
}

// MoveCount returns the number of planned moves and urgent changes since the last call of
// ResetMeasurements.
func (s *Sim) MoveCount() int {
	n := 0
	for _, k := range s.MovesByReason {
		n += k
	}
	return n
}

func (s *Sim) step() {
	s.Input.Now += Step
	s.Input.MovesInFlight = 0
	s.apply(s.pendingMoves)
	plan := s.Policy.Plan(s.Input)
	s.apply(plan.Urgent)
	s.MovesByReason["urgent"] += len(plan.Urgent)
	s.pendingMoves = s.pendingMoves[:0]
	for _, m := range plan.Moves {
		s.pendingMoves = append(s.pendingMoves, m.Change)
		s.MovesByReason[m.Reason]++
	}
	load := s.Traffic.SampleLoads(s.expectedLoads, Step.Seconds())
	s.measureImbalance(load)
	s.reportLoad(load)
}

// apply makes the changes and counts the keys that had an owner before.
func (s *Sim) apply(changes []placement.Change) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		if s.Input.Assignment.Owner[c.Partition] != placement.NoOwner {
			s.KeysMoved += s.Traffic.KeyCounts[c.Partition]
		}
	}
	s.Input.Assignment = s.Input.Assignment.WithChanges(s.Input.Assignment.Version+1, changes)
}

// measureImbalance adds the load of a step to the current window.
func (s *Sim) measureImbalance(load []float64) {
	a := s.Input.Assignment
	byOwner := make([]float64, len(a.Targets))
	for p, o := range a.Owner {
		if o != placement.NoOwner {
			byOwner[o] += load[p]
		}
	}
	for i, x := range byOwner {
		s.windowLoads[a.Targets[i]] += x
	}
	if s.steps++; s.steps%windowSteps == 0 {
		s.WindowImbalances = append(s.WindowImbalances, Imbalance(s.windowLoads, s.Input.Targets))
		s.windowLoads = map[string]float64{}
	}
}

// Imbalance returns the largest ratio of the load of a usable target to its fair share by
// weight.
func Imbalance(load map[string]float64, targets []placement.Target) float64 {
	sum, weights, highest := 0.0, 0.0, 0.0
	for _, t := range targets {
		sum += load[t.Name]
		if t.Usable {
			weights += t.Weight
		}
	}
	for _, t := range targets {
		if t.Usable && t.Weight > 0 {
			highest = max(highest, load[t.Name]/(sum*t.Weight/weights))
		}
	}
	return highest
}

// CurrentImbalance returns the imbalance of the expected load under the current assignment.
func (s *Sim) CurrentImbalance() float64 {
	load := map[string]float64{}
	for p, partitionLoad := range s.expectedLoads {
		load[s.Input.Assignment.OwnerOf(p)] += partitionLoad
	}
	return Imbalance(load, s.Input.Targets)
}

// reportLoad makes the load the input of the next plan. For each target, the report is
// correct, repeats that of the previous step, or is misleading.
func (s *Sim) reportLoad(load []float64) {
	a := s.Input.Assignment
	next := make([]float64, len(load))
	draws := make([]float64, len(a.Targets))
	for i := range draws {
		draws[i] = s.rng.Float64()
	}
	for p, o := range a.Owner {
		switch {
		case o == placement.NoOwner:
		case draws[o] < s.StaleProbability && s.Input.Load != nil:
			next[p] = s.Input.Load[p]
		case draws[o] < s.StaleProbability+s.MisleadingProbability:
			next[p] = 2 * load[p]
		default:
			next[p] = load[p]
		}
	}
	s.Input.Load = next
}
