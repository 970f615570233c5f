package placementtest

import (
	"fmt"
	"slices"
	"time"

	"github.com/boragegate/boragegate/placement"
)

// Fleet is a set of targets with its traffic.
type Fleet struct {
	Name            string
	Targets         func() []placement.Target
	Traffic         func(seed uint64) *Traffic
	PreferStability bool
	// QuietPeriod is the length of the quiet period.
	QuietPeriod time.Duration
}

// Result is one row of the table.
type Result struct {
	Fleet, Policy string
	// SteadyImbalance is the largest imbalance of a 1-minute window in the quiet period.
	SteadyImbalance float64
	// QuietMoves is the number of partitions that moved in the quiet period.
	QuietMoves int
	// JoinChurn, Leave, Weight and Loss are keys moved over the least that any plan must move.
	JoinChurn, LeaveChurn, WeightChurn, LossChurn float64
	// JoinedLoadRatio is the load of the joined target over its share.
	JoinedLoadRatio float64
	// ImbalanceAfterChanges is the largest imbalance at the end of those four changes.
	ImbalanceAfterChanges float64
	// RecoveryTime is the time to an imbalance under 1.2 after the 17 hottest keys change; negative if never.
	RecoveryTime time.Duration
	// ImbalanceAfterShift is the imbalance right after that change, HotKeyMoves the partitions that moved for it.
	ImbalanceAfterShift float64
	HotKeyMoves         int
}

// Header and String make a table.
func Header() string {
	return fmt.Sprintf("%-38s %-16s %7s %6s %6s %6s %6s %6s %6s %6s %7s %8s %6s", "fleet", "policy",
		"steady", "moves", "join", "filled", "leave", "weight", "loss", "after", "shifted", "to <1.2", "moves")
}

// String formats one row.
func (r Result) String() string {
	recovery := "never"
	if r.RecoveryTime >= 0 {
		recovery = r.RecoveryTime.String()
	}
	return fmt.Sprintf("%-38s %-16s %7.3f %6d %6.3f %6.3f %6.3f %6.3f %6.3f %6.3f %7.3f %8s %6d", r.Fleet, r.Policy,
		r.SteadyImbalance, r.QuietMoves, r.JoinChurn, r.JoinedLoadRatio, r.LeaveChurn, r.WeightChurn, r.LossChurn, r.ImbalanceAfterChanges, r.ImbalanceAfterShift, recovery, r.HotKeyMoves)
}

const (
	// warmUp is the time before the quiet period.
	warmUp = 20 * time.Minute
	// settleTime is the time after a change at which its effect is measured: longer than hold-down and the budget's delay.
	settleTime = 6 * time.Minute
	// shiftedKeys is the number of hottest keys that change together.
	shiftedKeys = 17
	// recoveredImbalance is the imbalance to reach after that.
	recoveredImbalance = 1.2
)

// MeasureFleet runs all changes, one after the other, in one service.
func MeasureFleet(f Fleet, name string, policy placement.Policy, seed uint64) Result {
	s := NewSim(seed, policy, f.Traffic(seed), f.Targets(), f.PreferStability)
	r := Result{Fleet: f.Name, Policy: name}
	warm := warmUp
	if _, ok := policy.(*Baseline); ok {
		// Baselines settle at once and have no state that the load changes.
		warm, s.settleTime = time.Minute, 2*Step
	}
	s.Run(warm)
	s.StaleProbability, s.MisleadingProbability = 0.1, 0.002
	s.ResetMeasurements()
	s.Run(f.QuietPeriod)
	r.SteadyImbalance, r.QuietMoves = slices.Max(s.WindowImbalances), s.MoveCount()
	s.StaleProbability, s.MisleadingProbability = 0, 0
	r.JoinChurn = s.MeasureChurn(&r, AddTarget)
	r.JoinedLoadRatio = s.loadRatio(len(s.Input.Targets) - 1)
	r.LeaveChurn = s.MeasureChurn(&r, DrainTarget)
	r.WeightChurn = s.MeasureChurn(&r, RaiseWeight)
	r.LossChurn = s.MeasureChurn(&r, LoseTarget)
	s.ResetMeasurements()
	s.ReplaceHottestKeys(shiftedKeys)
	r.ImbalanceAfterShift, r.RecoveryTime = s.CurrentImbalance(), -1
	for t := Step; t <= 3*time.Minute; t += Step {
		if s.Run(Step); r.RecoveryTime < 0 && s.CurrentImbalance() < recoveredImbalance {
			r.RecoveryTime = t
		}
	}
	r.HotKeyMoves = s.MoveCount()
	return r
}

// MeasureChurn makes a change, lets it settle and returns the churn.
func (s *Sim) MeasureChurn(r *Result, change func(*Sim) float64) float64 {
	s.ResetMeasurements()
	least := change(s)
	s.Run(s.settleTime)
	r.ImbalanceAfterChanges = max(r.ImbalanceAfterChanges, s.CurrentImbalance())
	return s.KeysMoved / least
}

// AddTarget adds a target like the first and returns the keys that it must get.
func AddTarget(s *Sim) float64 {
	t := s.Input.Targets[0]
	t.Name = fmt.Sprintf("t%03d", len(s.Input.Targets))
	s.Input.Targets = append(slices.Clone(s.Input.Targets), t)
	return s.keyCount("") * s.weightFraction(len(s.Input.Targets)-1)
}

// DrainTarget drains the second target and returns the keys that must move.
func DrainTarget(s *Sim) float64 {
	s.Input.Targets = slices.Clone(s.Input.Targets)
	s.Input.Targets[1].Leaving, s.Input.Targets[1].Usable = true, false
	return s.minKeysToMove(1)
}

// RaiseWeight raises the third target's weight by half and returns the keys that it must get.
func RaiseWeight(s *Sim) float64 {
	s.Input.Targets = slices.Clone(s.Input.Targets)
	before := s.weightFraction(2)
	s.Input.Targets[2].Weight *= 1.5
	return s.keyCount("") * (s.weightFraction(2) - before)
}

// LoseTarget loses the fourth target and returns the keys that must move.
func LoseTarget(s *Sim) float64 {
	s.Input.Targets = slices.Clone(s.Input.Targets)
	s.Input.Targets[3].Lost, s.Input.Targets[3].Usable = true, false
	return s.minKeysToMove(3)
}

// weightFraction is the part of the keys that the target should have by weight.
func (s *Sim) weightFraction(i int) float64 {
	sum := 0.0
	for _, t := range s.Input.Targets {
		if t.Usable {
			sum += t.Weight
		}
	}
	return s.Input.Targets[i].Weight / sum
}

// loadRatio is the expected load of the target over its share by weight.
func (s *Sim) loadRatio(i int) float64 {
	load := 0.0
	for p, rate := range s.expectedLoads {
		if s.Input.Assignment.OwnerOf(p) == s.Input.Targets[i].Name {
			load += rate
		}
	}
	return load / (s.weightFraction(i) * s.Traffic.TotalLoad)
}

// keyCount is the number of keys of the target, or of all if the name is empty.
func (s *Sim) keyCount(target string) float64 {
	sum := 0.0
	for p, k := range s.Traffic.KeyCounts {
		if target == "" || s.Input.Assignment.OwnerOf(p) == target {
			sum += k
		}
	}
	return sum
}

// DayResult is the result of a day of changes.
type DayResult struct {
	Failures, Restarts int
	// Churn is the keys moved for losses, drains and returns over the least,
	// Load the partitions moved for load, Worst the largest imbalance before an event.
	Churn, WorstImbalance float64
	LoadMoves             int
}

// MeasureDay runs failures and restarts of targets, each followed by a change of
// the hottest keys. Quiet time in between is skipped.
func MeasureDay(f Fleet, seed uint64, failures, restarts int) DayResult {
	s := NewSim(seed, placement.NewWeighted(placement.Settings{}), f.Traffic(seed), f.Targets(), f.PreferStability)
	s.Run(warmUp / 2)
	d := DayResult{Failures: failures, Restarts: restarts}
	least, moved := 0.0, 0.0
	for e := range failures + restarts {
		i := e * 31 % len(s.Input.Targets)
		d.WorstImbalance = max(d.WorstImbalance, s.CurrentImbalance())
		s.ResetMeasurements()
		least += s.outage(i, e < failures)
		moved += s.KeysMoved
		s.ResetMeasurements()
		s.ReplaceHottestKeys(shiftedKeys)
		s.Run(2 * time.Minute)
		d.LoadMoves += s.MoveCount()
	}
	d.Churn = moved / least
	return d
}

// outage drains or loses a target, brings it back and returns the keys that must move.
func (s *Sim) outage(i int, fails bool) float64 {
	s.Input.Targets = slices.Clone(s.Input.Targets)
	t := &s.Input.Targets[i]
	t.Usable, t.Leaving, t.Lost = false, !fails, fails
	least := s.minKeysToMove(i)
	s.Run(2 * Step)
	t.Lost = true
	s.Run(4 * Step)
	t.Usable, t.Leaving, t.Lost = true, false, false
	s.Run(9 * Step)
	return least + s.keyCount("")*s.weightFraction(i)
}

// DampingResult is what a policy moves without need.
type DampingResult struct {
	// QuietMoves counts moves in an hour with noise, stale and misleading reports
	// only, Alternating in an hour in which the hottest keys go to and fro each minute.
	QuietMoves, AlternatingMoves int
}

// MeasureDamping counts needless moves with the settings.
func MeasureDamping(f Fleet, set placement.Settings, seed uint64) DampingResult {
	s := NewSim(seed, placement.NewWeighted(set), f.Traffic(seed), f.Targets(), f.PreferStability)
	s.Run(warmUp)
	s.ResetMeasurements()
	s.StaleProbability, s.MisleadingProbability = 0.1, 0.02
	s.Run(time.Hour)
	d := DampingResult{QuietMoves: s.MoveCount()}
	s.StaleProbability, s.MisleadingProbability = 0, 0
	s.ResetMeasurements()
	for range 60 {
		s.Traffic.SwapHottest(shiftedKeys, 1000)
		s.expectedLoads = s.Traffic.ExpectedLoads()
		s.Run(time.Minute)
	}
	d.AlternatingMoves = s.MoveCount()
	return d
}

// ZoneResult is what the loss and the return of a zone move.
type ZoneResult struct {
	// LossChurn is the keys moved over those of the zone's targets, Back the keys
	// moved after the return over the zone's share.
	LossChurn, ReturnChurn float64
	// ImbalanceAfterLoss is the imbalance after the loss, Refilled the time from the return until it is under 1.2 again.
	ImbalanceAfterLoss float64
	RecoveryTime       time.Duration
}

// MeasureZone loses all targets of one zone at once and brings them back.
func MeasureZone(f Fleet, seed uint64) ZoneResult {
	s := NewSim(seed, placement.NewWeighted(placement.Settings{}), f.Traffic(seed), f.Targets(), f.PreferStability)
	s.Run(warmUp)
	s.ResetMeasurements()
	lost, zone := 0.0, s.Input.Targets[1].Zone
	for _, t := range s.Input.Targets {
		if t.Zone == zone {
			lost += s.keyCount(t.Name)
		}
	}
	s.setZoneLost(zone, true)
	s.Run(time.Minute)
	z := ZoneResult{LossChurn: s.KeysMoved / lost, ImbalanceAfterLoss: s.CurrentImbalance(), RecoveryTime: -1}
	s.ResetMeasurements()
	s.setZoneLost(zone, false)
	share := 0.0
	for i, t := range s.Input.Targets {
		if t.Zone == zone {
			share += s.weightFraction(i) * s.keyCount("")
		}
	}
	for t := Step; t <= 2*settleTime; t += Step {
		if s.Run(Step); z.RecoveryTime < 0 && s.CurrentImbalance() < recoveredImbalance {
			z.RecoveryTime = t
		}
	}
	z.ReturnChurn = s.KeysMoved / share
	return z
}

func (s *Sim) setZoneLost(zone string, lost bool) {
	s.Input.Targets = slices.Clone(s.Input.Targets)
	for i := range s.Input.Targets {
		if t := &s.Input.Targets[i]; t.Zone == zone {
			t.Lost, t.Usable = lost, !lost
		}
	}
}
