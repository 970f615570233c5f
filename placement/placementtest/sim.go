package placementtest

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/boragegate/boragegate/placement"
)

const (
	// Step is the time between two load reports, and between two plans.
	Step = 10 * time.Second
	// window is the number of steps over which imbalance is measured.
	window = 6
)

// Sim runs a policy against traffic. Planned moves take effect one step later.
type Sim struct {
	Policy  placement.Policy
	Traffic *Traffic
	In      placement.Input
	// Stale is the probability that a target's report is missing, so that the
	// planner sees the previous one; Misleading that it shows twice the load.
	Stale, Misleading float64
	// Moved is the number of keys that changed owner, Moves counts changes by reason.
	Moved float64
	Moves map[string]int
	// Imbalance holds the largest load over weighted share of each 1-minute window.
	Imbalance []float64

	// settle is the time after a change at which its effect is measured.
	settle  time.Duration
	rng     *rand.Rand
	rates   []float64
	steps   int
	sums    map[string]float64
	pending []placement.Change
}

// NewSim starts a service without owners.
func NewSim(seed uint64, policy placement.Policy, traffic *Traffic, targets []placement.Target, stability bool) *Sim {
	s := &Sim{Policy: policy, Traffic: traffic, Moves: map[string]int{}, sums: map[string]float64{}, settle: settle}
	s.rng = rand.New(rand.NewPCG(seed, 2)) //nolint:gosec // repeatable traces
	s.In.Assignment = placement.NewAssignment("service", len(traffic.Keys))
	s.In.Targets, s.In.PreferStability, s.In.Keys = targets, stability, traffic.Keys
	s.rates = traffic.Rates()
	return s
}

// Targets returns n usable targets in the zones. Weights are taken in turn.
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

// Run passes the given time.
func (s *Sim) Run(d time.Duration) {
	for range int(d / Step) {
		s.step()
	}
}

// Shift changes the k hottest keys.
func (s *Sim) Shift(k int) {
	s.Traffic.Shift(k)
	s.rates = s.Traffic.Rates()
}

// Reset forgets what was measured so far.
func (s *Sim) Reset() {
	s.Moved, s.Moves, s.Imbalance = 0, map[string]int{}, nil
	s.sums, s.steps = map[string]float64{}, 0
}

// Count returns the number of changes so far.
func (s *Sim) Count() int {
	n := 0
	for _, k := range s.Moves {
		n += k
	}
	return n
}

func (s *Sim) step() {
	s.In.Now += Step
	s.In.InFlight = 0
	s.apply(s.pending)
	plan := s.Policy.Plan(s.In)
	s.apply(plan.Urgent)
	s.Moves["urgent"] += len(plan.Urgent)
	s.pending = s.pending[:0]
	for _, m := range plan.Moves {
		s.pending = append(s.pending, m.Change)
		s.Moves[m.Reason]++
	}
	load := s.Traffic.Sample(s.rates, Step.Seconds())
	s.measure(load)
	s.report(load)
}

// apply makes the changes and counts the keys that had another owner before.
func (s *Sim) apply(changes []placement.Change) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		if s.In.Assignment.Owner[c.Partition] != placement.NoOwner {
			s.Moved += s.Traffic.Keys[c.Partition]
		}
	}
	s.In.Assignment = s.In.Assignment.With(s.In.Assignment.Version+1, changes)
}

// measure adds the load of a step to its window.
func (s *Sim) measure(load []float64) {
	a := s.In.Assignment
	byOwner := make([]float64, len(a.Targets))
	for p, o := range a.Owner {
		if o != placement.NoOwner {
			byOwner[o] += load[p]
		}
	}
	for i, x := range byOwner {
		s.sums[a.Targets[i]] += x
	}
	if s.steps++; s.steps%window == 0 {
		s.Imbalance = append(s.Imbalance, Imbalance(s.sums, s.In.Targets))
		s.sums = map[string]float64{}
	}
}

// Imbalance is the largest load of a target over its share by weight.
func Imbalance(load map[string]float64, targets []placement.Target) float64 {
	sum, weights, worst := 0.0, 0.0, 0.0
	for _, t := range targets {
		sum += load[t.Name]
		if t.Usable {
			weights += t.Weight
		}
	}
	for _, t := range targets {
		if t.Usable && t.Weight > 0 {
			worst = max(worst, load[t.Name]/(sum*t.Weight/weights))
		}
	}
	return worst
}

// Current is the imbalance of the expected load under the present assignment.
func (s *Sim) Current() float64 {
	load := map[string]float64{}
	for p, rate := range s.rates {
		load[s.In.Assignment.OwnerOf(p)] += rate
	}
	return Imbalance(load, s.In.Targets)
}

// report passes the load on to the next plan, per target: as it is, as in the step before, or misleading.
func (s *Sim) report(load []float64) {
	a := s.In.Assignment
	next := make([]float64, len(load))
	fate := make([]float64, len(a.Targets))
	for i := range fate {
		fate[i] = s.rng.Float64()
	}
	for p, o := range a.Owner {
		switch {
		case o == placement.NoOwner:
		case fate[o] < s.Stale && s.In.Load != nil:
			next[p] = s.In.Load[p]
		case fate[o] < s.Stale+s.Misleading:
			next[p] = 2 * load[p]
		default:
			next[p] = load[p]
		}
	}
	s.In.Load = next
}
