package placementtest

import (
	"fmt"
	"slices"
	"time"

	"github.com/boragegate/boragegate/placement"
)

// Fleet is a set of targets with their traffic.
type Fleet struct {
	Name            string
	Targets         func() []placement.Target
	Traffic         func(seed uint64) *Traffic
	PreferStability bool
	// QuietPeriod is the time without changes in which steady operation is measured.
	QuietPeriod time.Duration
}

// Result is the measurement of one policy on one fleet.
type Result struct {
	Fleet, Policy string
	// SteadyImbalance is the largest imbalance of a 1-minute window in the quiet period.
	SteadyImbalance float64
	// QuietMoves is the number of partitions that moved in the quiet period.
	QuietMoves int
	// JoinChurn, LeaveChurn, WeightChurn and LossChurn are the number of keys moved after a
	// change, divided by the minimum that any plan must move.
	JoinChurn, LeaveChurn, WeightChurn, LossChurn float64
	// JoinedLoadRatio is the load of the target that has joined, divided by its fair share.
	JoinedLoadRatio float64
	// ImbalanceAfterChanges is the largest imbalance that was measured after one of those four
	// changes.
	ImbalanceAfterChanges float64
	// RecoveryTime is the time until the imbalance is below 1.2 after the 17 hottest keys
	// change. It is negative if that does not happen within 3 minutes.
	RecoveryTime time.Duration
	// ImbalanceAfterShift is the imbalance immediately after that change, HotKeyMoves the
	// number of partitions that moved because of it.
	ImbalanceAfterShift float64
	HotKeyMoves         int
}

// Header returns the header of a table whose rows are formatted by Result.String.
func Header() string {
	return fmt.Sprintf("%-38s %-16s %7s %6s %6s %6s %6s %6s %6s %6s %7s %8s %6s", "fleet", "policy",
		"steady", "moves", "join", "filled", "leave", "weight", "loss", "after", "shifted", "to <1.2", "moves")
}

// String formats the result as a row of a table.
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
	// settleTime is the time between a change and the measurement of its effect. It is
	// longer than the hold-down and the delay by the move budget.
	settleTime = 6 * time.Minute
	// shiftedKeys is the number of hottest keys that change at the same time.
	shiftedKeys = 17
	// recoveredImbalance is the imbalance below which a service has recovered from that
	// change.
	recoveredImbalance = 1.2
)

// MeasureFleet measures a policy on a fleet; name is that of the policy in the result. The
// changes are made one after the other in the same service.
func MeasureFleet(f Fleet, name string, policy placement.Policy, seed uint64) Result {
	s := NewSim(seed, policy, f.Traffic(seed), f.Targets(), f.PreferStability)
	r := Result{Fleet: f.Name, Policy: name}
	warm := warmUp
	if _, ok := policy.(*Baseline); ok {
		// Baselines take effect at once and have no state that depends on the load.
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

// MeasureChurn makes a change, waits for it to take effect and returns the keys moved
// divided by the minimum, which change returns. It updates r.ImbalanceAfterChanges.
func (s *Sim) MeasureChurn(r *Result, change func(*Sim) float64) float64 {
	s.ResetMeasurements()
	minKeys := change(s)
	s.Run(s.settleTime)
	r.ImbalanceAfterChanges = max(r.ImbalanceAfterChanges, s.CurrentImbalance())
	return s.KeysMoved / minKeys
}

// AddTarget adds a target like the first one and returns the number of keys that it must
// receive.
func AddTarget(s *Sim) float64 {
	t := s.Input.Targets[0]
	t.Name = fmt.Sprintf("t%03d", len(s.Input.Targets))
	s.Input.Targets = append(slices.Clone(s.Input.Targets), t)
	return s.keyCount("") * s.weightFraction(len(s.Input.Targets)-1)
}

// DrainTarget drains the second target and returns the minimum number of keys that must
// move.
func DrainTarget(s *Sim) float64 {
	s.Input.Targets = slices.Clone(s.Input.Targets)
	s.Input.Targets[1].Leaving, s.Input.Targets[1].Usable = true, false
	return s.minKeysToMove(1)
}

// RaiseWeight increases the weight of the third target by half and returns the number of
// keys that it must receive.
func RaiseWeight(s *Sim) float64 {
	s.Input.Targets = slices.Clone(s.Input.Targets)
	before := s.weightFraction(2)
	s.Input.Targets[2].Weight *= 1.5
	return s.keyCount("") * (s.weightFraction(2) - before)
}

// LoseTarget marks the fourth target as lost and returns the minimum number of keys that
// must move.
func LoseTarget(s *Sim) float64 {
	s.Input.Targets = slices.Clone(s.Input.Targets)
	s.Input.Targets[3].Lost, s.Input.Targets[3].Usable = true, false
	return s.minKeysToMove(3)
}

// weightFraction returns the fraction of the keys that a target should have by its weight.
func (s *Sim) weightFraction(i int) float64 {
	sum := 0.0
	for _, t := range s.Input.Targets {
		if t.Usable {
			sum += t.Weight
		}
	}
	return s.Input.Targets[i].Weight / sum
}

// loadRatio returns the expected load of a target divided by its fair share by weight.
func (s *Sim) loadRatio(i int) float64 {
	load := 0.0
	for p, partitionLoad := range s.expectedLoads {
		if s.Input.Assignment.OwnerOf(p) == s.Input.Targets[i].Name {
			load += partitionLoad
		}
	}
	return load / (s.weightFraction(i) * s.Traffic.TotalLoad)
}

// keyCount returns the number of keys of a target, or of all partitions if the name is
// empty.
func (s *Sim) keyCount(target string) float64 {
	sum := 0.0
	for p, k := range s.Traffic.KeyCounts {
		if target == "" || s.Input.Assignment.OwnerOf(p) == target {
			sum += k
		}
	}
	return sum
}

// DayResult is the measurement of a simulated day.
type DayResult struct {
	Failures, Restarts int
	// Churn is the number of keys moved for losses, drains and returns, divided by the
	// minimum. LoadMoves is the number of partitions moved after changes of the hottest keys.
	// WorstImbalance is the largest imbalance immediately before a failure or restart.
	Churn, WorstImbalance float64
	LoadMoves             int
}

// MeasureDay simulates failures and restarts of targets, each followed by a change of the
// hottest keys. The quiet time in between is not simulated.
func MeasureDay(f Fleet, seed uint64, failures, restarts int) DayResult {
	s := NewSim(seed, placement.NewWeighted(placement.Settings{}), f.Traffic(seed), f.Targets(), f.PreferStability)
	s.Run(warmUp / 2)
	d := DayResult{Failures: failures, Restarts: restarts}
	minKeys, moved := 0.0, 0.0
	for e := range failures + restarts {
		i := e * 31 % len(s.Input.Targets)
		d.WorstImbalance = max(d.WorstImbalance, s.CurrentImbalance())
		s.ResetMeasurements()
		minKeys += s.outage(i, e < failures)
		moved += s.KeysMoved
		s.ResetMeasurements()
		s.ReplaceHottestKeys(shiftedKeys)
		s.Run(2 * time.Minute)
		d.LoadMoves += s.MoveCount()
	}
	d.Churn = moved / minKeys
	return d
}

// outage makes a target unavailable, by a failure or by a drain before a restart, and then
// usable again. It returns the minimum number of keys that must move for both.
func (s *Sim) outage(i int, failure bool) float64 {
	s.Input.Targets = slices.Clone(s.Input.Targets)
	t := &s.Input.Targets[i]
	t.Usable, t.Leaving, t.Lost = false, !failure, failure
	minKeys := s.minKeysToMove(i)
	s.Run(2 * Step)
	t.Lost = true
	s.Run(4 * Step)
	t.Usable, t.Leaving, t.Lost = true, false, false
	s.Run(9 * Step)
	return minKeys + s.keyCount("")*s.weightFraction(i)
}

// DampingResult counts unnecessary moves of a policy.
type DampingResult struct {
	// QuietMoves counts moves in an hour with only noise and stale and misleading reports,
	// AlternatingMoves in an hour in which the hottest keys are swapped with others and back,
	// every minute.
	QuietMoves, AlternatingMoves int
}

// MeasureDamping counts the unnecessary moves of the weighted policy with the given
// settings.
func MeasureDamping(f Fleet, settings placement.Settings, seed uint64) DampingResult {
	s := NewSim(seed, placement.NewWeighted(settings), f.Traffic(seed), f.Targets(), f.PreferStability)
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

// ZoneResult is the measurement of the loss and the return of a zone.
type ZoneResult struct {
	// LossChurn is the number of keys moved after the loss divided by the keys of the
	// targets in the zone, ReturnChurn the number of keys moved after the return divided by
	// the fair share of the zone.
	LossChurn, ReturnChurn float64
	// ImbalanceAfterLoss is the imbalance a minute after the loss, RecoveryTime the time from
	// the return until the imbalance is below 1.2. RecoveryTime is negative if that does not
	// happen within 12 minutes.
	ImbalanceAfterLoss float64
	RecoveryTime       time.Duration
}

// MeasureZone measures the loss and the return of a zone. It marks all targets of the zone
// as lost at the same time and makes them usable again after a minute.
func MeasureZone(f Fleet, seed uint64) ZoneResult {
	s := NewSim(seed, placement.NewWeighted(placement.Settings{}), f.Traffic(seed), f.Targets(), f.PreferStability)
	s.Run(warmUp)
	s.ResetMeasurements()
	lostKeys, zone := 0.0, s.Input.Targets[1].Zone
	for _, t := range s.Input.Targets {
		if t.Zone == zone {
			lostKeys += s.keyCount(t.Name)
		}
	}
	s.setZoneLost(zone, true)
	s.Run(time.Minute)
	z := ZoneResult{LossChurn: s.KeysMoved / lostKeys, ImbalanceAfterLoss: s.CurrentImbalance(), RecoveryTime: -1}
	s.ResetMeasurements()
	s.setZoneLost(zone, false)
	fairKeys := 0.0
	for i, t := range s.Input.Targets {
		if t.Zone == zone {
			fairKeys += s.weightFraction(i) * s.keyCount("")
		}
	}
	for t := Step; t <= 2*settleTime; t += Step {
		if s.Run(Step); z.RecoveryTime < 0 && s.CurrentImbalance() < recoveredImbalance {
			z.RecoveryTime = t
		}
	}
	z.ReturnChurn = s.KeysMoved / fairKeys
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
