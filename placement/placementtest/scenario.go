package placementtest

import (
	"fmt"
	"slices"
	"time"

	"github.com/boragegate/boragegate/placement"
)

// Fleet is a set of targets with its traffic.
type Fleet struct {
	Name      string
	Targets   func() []placement.Target
	Traffic   func(seed uint64) *Traffic
	Stability bool
	// Quiet is the length of the quiet period.
	Quiet time.Duration
}

// Result is one row of the table.
type Result struct {
	Fleet, Policy string
	// Steady is the largest imbalance of a 1-minute window in the quiet period.
	Steady float64
	// QuietMoves is the number of partitions that moved in the quiet period.
	QuietMoves int
	// Join, Leave, Weight and Loss are keys moved over the least that any plan must move.
	Join, Leave, Weight, Loss float64
	// Filled is the load of the joined target over its share.
	Filled float64
	// After is the largest imbalance at the end of those four changes.
	After float64
	// Recovery is the time to an imbalance under 1.2 after the 17 hottest keys change; negative if never.
	Recovery time.Duration
	// Shifted is the imbalance right after that change, HotMoves the partitions that moved for it.
	Shifted  float64
	HotMoves int
}

// Header and String make a table.
func Header() string {
	return fmt.Sprintf("%-38s %-16s %7s %6s %6s %6s %6s %6s %6s %6s %7s %8s %6s", "fleet", "policy",
		"steady", "moves", "join", "filled", "leave", "weight", "loss", "after", "shifted", "to <1.2", "moves")
}

// String formats one row.
func (r Result) String() string {
	recovery := "never"
	if r.Recovery >= 0 {
		recovery = r.Recovery.String()
	}
	return fmt.Sprintf("%-38s %-16s %7.3f %6d %6.3f %6.3f %6.3f %6.3f %6.3f %6.3f %7.3f %8s %6d", r.Fleet, r.Policy,
		r.Steady, r.QuietMoves, r.Join, r.Filled, r.Leave, r.Weight, r.Loss, r.After, r.Shifted, recovery, r.HotMoves)
}

const (
	// warmUp is the time before the quiet period.
	warmUp = 20 * time.Minute
	// settle is the time after a change at which its effect is measured: longer than hold-down and the budget's delay.
	settle = 6 * time.Minute
	// hotKeys is the number of hottest keys that change together.
	hotKeys = 17
	// goal is the imbalance to reach after that.
	goal = 1.2
)

// MeasureFleet runs all changes, one after the other, in one service.
func MeasureFleet(f Fleet, name string, policy placement.Policy, seed uint64) Result {
	s := NewSim(seed, policy, f.Traffic(seed), f.Targets(), f.Stability)
	r := Result{Fleet: f.Name, Policy: name}
	warm := warmUp
	if _, ok := policy.(*Baseline); ok {
		// Baselines settle at once and have no state that the load changes.
		warm, s.settle = time.Minute, 2*Step
	}
	s.Run(warm)
	s.Stale, s.Misleading = 0.1, 0.002
	s.Reset()
	s.Run(f.Quiet)
	r.Steady, r.QuietMoves = slices.Max(s.Imbalance), s.Count()
	s.Stale, s.Misleading = 0, 0
	r.Join = s.Change(&r, Join)
	r.Filled = s.fill(len(s.In.Targets) - 1)
	r.Leave = s.Change(&r, Leave)
	r.Weight = s.Change(&r, Weight)
	r.Loss = s.Change(&r, Lose)
	s.Reset()
	s.Shift(hotKeys)
	r.Shifted, r.Recovery = s.Current(), -1
	for t := Step; t <= 3*time.Minute; t += Step {
		if s.Run(Step); r.Recovery < 0 && s.Current() < goal {
			r.Recovery = t
		}
	}
	r.HotMoves = s.Count()
	return r
}

// Change makes a change, lets it settle and returns the churn.
func (s *Sim) Change(r *Result, change func(*Sim) float64) float64 {
	s.Reset()
	least := change(s)
	s.Run(s.settle)
	r.After = max(r.After, s.Current())
	return s.Moved / least
}

// Join adds a target like the first and returns the keys that it must get.
func Join(s *Sim) float64 {
	t := s.In.Targets[0]
	t.Name = fmt.Sprintf("t%03d", len(s.In.Targets))
	s.In.Targets = append(slices.Clone(s.In.Targets), t)
	return s.keys("") * s.part(len(s.In.Targets)-1)
}

// Leave drains the second target and returns the keys that must move.
func Leave(s *Sim) float64 {
	s.In.Targets = slices.Clone(s.In.Targets)
	s.In.Targets[1].Leaving, s.In.Targets[1].Usable = true, false
	return s.leastWithout(1)
}

// Weight raises the third target's weight by half and returns the keys that it must get.
func Weight(s *Sim) float64 {
	s.In.Targets = slices.Clone(s.In.Targets)
	before := s.part(2)
	s.In.Targets[2].Weight *= 1.5
	return s.keys("") * (s.part(2) - before)
}

// Lose loses the fourth target and returns the keys that must move.
func Lose(s *Sim) float64 {
	s.In.Targets = slices.Clone(s.In.Targets)
	s.In.Targets[3].Lost, s.In.Targets[3].Usable = true, false
	return s.leastWithout(3)
}

// part is the part of the keys that the target should have by weight.
func (s *Sim) part(i int) float64 {
	sum := 0.0
	for _, t := range s.In.Targets {
		if t.Usable {
			sum += t.Weight
		}
	}
	return s.In.Targets[i].Weight / sum
}

// fill is the expected load of the target over its share by weight.
func (s *Sim) fill(i int) float64 {
	load := 0.0
	for p, rate := range s.rates {
		if s.In.Assignment.OwnerOf(p) == s.In.Targets[i].Name {
			load += rate
		}
	}
	return load / (s.part(i) * s.Traffic.Load)
}

// keys is the number of keys of the target, or of all if the name is empty.
func (s *Sim) keys(target string) float64 {
	sum := 0.0
	for p, k := range s.Traffic.Keys {
		if target == "" || s.In.Assignment.OwnerOf(p) == target {
			sum += k
		}
	}
	return sum
}

// Day is the result of a day of changes.
type Day struct {
	Failures, Restarts int
	// Churn is the keys moved for losses, drains and returns over the least,
	// Load the partitions moved for load, Worst the largest imbalance before an event.
	Churn, Worst float64
	Load         int
}

// RunDay runs failures and restarts of targets, each followed by a change of
// the hottest keys. Quiet time in between is skipped.
func RunDay(f Fleet, seed uint64, failures, restarts int) Day {
	s := NewSim(seed, placement.NewWeighted(placement.Settings{}), f.Traffic(seed), f.Targets(), f.Stability)
	s.Run(warmUp / 2)
	d := Day{Failures: failures, Restarts: restarts}
	least, moved := 0.0, 0.0
	for e := range failures + restarts {
		i := e * 31 % len(s.In.Targets)
		d.Worst = max(d.Worst, s.Current())
		s.Reset()
		least += s.outage(i, e < failures)
		moved += s.Moved
		s.Reset()
		s.Shift(hotKeys)
		s.Run(2 * time.Minute)
		d.Load += s.Count()
	}
	d.Churn = moved / least
	return d
}

// outage drains or loses a target, brings it back and returns the keys that must move.
func (s *Sim) outage(i int, fails bool) float64 {
	s.In.Targets = slices.Clone(s.In.Targets)
	t := &s.In.Targets[i]
	t.Usable, t.Leaving, t.Lost = false, !fails, fails
	least := s.leastWithout(i)
	s.Run(2 * Step)
	t.Lost = true
	s.Run(4 * Step)
	t.Usable, t.Leaving, t.Lost = true, false, false
	s.Run(9 * Step)
	return least + s.keys("")*s.part(i)
}

// Damping is what a policy moves without need.
type Damping struct {
	// Quiet counts moves in an hour with noise, stale and misleading reports
	// only, Alternating in an hour in which the hottest keys go to and fro each minute.
	Quiet, Alternating int
}

// MeasureDamping counts needless moves with the settings.
func MeasureDamping(f Fleet, set placement.Settings, seed uint64) Damping {
	s := NewSim(seed, placement.NewWeighted(set), f.Traffic(seed), f.Targets(), f.Stability)
	s.Run(warmUp)
	s.Reset()
	s.Stale, s.Misleading = 0.1, 0.02
	s.Run(time.Hour)
	d := Damping{Quiet: s.Count()}
	s.Stale, s.Misleading = 0, 0
	s.Reset()
	for range 60 {
		s.Traffic.Swap(hotKeys, 1000)
		s.rates = s.Traffic.Rates()
		s.Run(time.Minute)
	}
	d.Alternating = s.Count()
	return d
}

// Zone is what the loss and the return of a zone move.
type Zone struct {
	// Loss is the keys moved over those of the zone's targets, Back the keys
	// moved after the return over the zone's share.
	Loss, Back float64
	// After is the imbalance after the loss, Refilled the time from the return until it is under 1.2 again.
	After    float64
	Refilled time.Duration
}

// MeasureZone loses all targets of one zone at once and brings them back.
func MeasureZone(f Fleet, seed uint64) Zone {
	s := NewSim(seed, placement.NewWeighted(placement.Settings{}), f.Traffic(seed), f.Targets(), f.Stability)
	s.Run(warmUp)
	s.Reset()
	lost, zone := 0.0, s.In.Targets[1].Zone
	for _, t := range s.In.Targets {
		if t.Zone == zone {
			lost += s.keys(t.Name)
		}
	}
	s.setZone(zone, true)
	s.Run(time.Minute)
	z := Zone{Loss: s.Moved / lost, After: s.Current(), Refilled: -1}
	s.Reset()
	s.setZone(zone, false)
	share := 0.0
	for i, t := range s.In.Targets {
		if t.Zone == zone {
			share += s.part(i) * s.keys("")
		}
	}
	for t := Step; t <= 2*settle; t += Step {
		if s.Run(Step); z.Refilled < 0 && s.Current() < goal {
			z.Refilled = t
		}
	}
	z.Back = s.Moved / share
	return z
}

func (s *Sim) setZone(zone string, lost bool) {
	s.In.Targets = slices.Clone(s.In.Targets)
	for i := range s.In.Targets {
		if t := &s.In.Targets[i]; t.Zone == zone {
			t.Lost, t.Usable = lost, !lost
		}
	}
}
