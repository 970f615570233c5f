// Package evacuation holds the schedule by which the targets of an evacuated zone stop, and start again, to
// receive requests and keys. It is deterministic: it uses no clock, no goroutines and no network.
//
// The state of a zone is its progress, from 0 (in use) to 1 (evacuated). It rises while the zone is evacuated and
// falls after the evacuation has ended, each over spreadFraction of the timeout. Every target has a threshold that
// follows from a hash of its ID, so that all instances stop using the same targets at about the same time without
// any messages. An evacuation that ends or begins again halfway continues from the progress reached.
package evacuation

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/boragegate/boragegate/routing"
)

const (
	// spreadFraction is the time over which the targets of a zone are evacuated, as a fraction of the timeout.
	// Together with learnFraction it leaves a tenth of the timeout for requests that are on their way.
	spreadFraction = 0.4
	// learnFraction is the longest time, as a fraction of the timeout, for which an instance may not have known the
	// evacuations and still start a new one from the beginning. It is longer than the longest poll of a follower
	// takes if the timeout is 5 s. After a longer time, the new evacuation counts as complete.
	learnFraction = 0.5
	// keyLead is the progress by which a target's keys move before its requests end: 0.5 s with a timeout of 5 s, in
	// which the leader plans, stores and carries out a move.
	keyLead = 0.25
)

// Zone is the state of one zone, as the leader sends it to its followers.
type Zone struct {
	Name      string `msgpack:"n"`
	Evacuated bool   `msgpack:"e,omitempty"`
	// Progress is 0 if all targets are in use, and 1 if none is.
	Progress float64 `msgpack:"p"`
}

// Change is the begin or the end of an evacuation.
type Change struct {
	Zone      string
	Evacuated bool
	// Progress is the progress from which the change begins.
	Progress float64
}

// limits determine the use of targets by their thresholds.
type limits struct {
	progress float64
	// peak is the highest progress since it was last 0. Keys return all together when the progress is 0: if they
	// returned one target after the other, the first would get too many and many keys would move twice.
	peak float64
}

func (l limits) excludesRequests(threshold float64) bool {
	return l.progress > keyLead+(1-keyLead)*threshold
}

func (l limits) excludesKeys(threshold float64) bool {
	return l.progress > 0 && l.peak > (1-keyLead)*threshold
}

type zoneState struct {
	limits
	evacuated bool
	// applied are the limits as of the last call of Advance, by which targets are used, and before those that it
	// replaced.
	applied, before limits
}

// Schedule holds the state of all zones at one instance. It is not safe for concurrent use.
type Schedule struct {
	timeout time.Duration
	zones   map[string]*zoneState
	// advancedAt is the time of the progress of all zones.
	advancedAt time.Duration
	// confirmedAt is the latest time as of which the evacuations were known; isConfirmed is false before the first.
	confirmedAt time.Duration
	isConfirmed bool
	// isKnown is set with the first list. Until then, no target is used. appliedKnown is its value as of the last
	// call of Advance, and becameKnown is set if that call changed it.
	isKnown, appliedKnown, becameKnown bool
}

// New returns a schedule that knows no evacuations. The timeout is the time from the operator's request within which
// targets must get no more requests; 0 means that there are no evacuations. Otherwise no target is used until
// the evacuations are known: an instance that starts would send requests to evacuated zones.
func New(timeout time.Duration) *Schedule {
	isOff := timeout <= 0
	return &Schedule{timeout: timeout, zones: map[string]*zoneState{}, isKnown: isOff, appliedKnown: isOff}
}

// IsKnown reports whether the evacuations are known.
func (s *Schedule) IsKnown() bool { return s.isKnown }

// Confirm records that this instance knew the evacuations as of the given time. It is called after Set or Adopt.
func (s *Schedule) Confirm(asOf time.Duration) {
	if !s.isConfirmed || asOf > s.confirmedAt {
		s.confirmedAt, s.isConfirmed = asOf, true
	}
}

// Set replaces the list of evacuated zones, as read from the store, and returns what has changed. If this instance
// has not known the evacuations for too long, it starts new ones complete.
func (s *Schedule) Set(now time.Duration, evacuated []string) []Change {
	list := make([]Zone, 0, len(evacuated))
	for _, name := range evacuated {
		list = append(list, Zone{Name: name, Evacuated: true})
	}
	return s.Adopt(now, list)
}

// Adopt replaces the states of all zones by those of the leader, and returns what has changed. The progress of an
// evacuation does not fall because the leader began later. Zones that are not listed are not evacuated.
func (s *Schedule) Adopt(now time.Duration, list []Zone) []Change {
	s.move(now)
	s.isKnown = true
	isLate := !s.isConfirmed || now-s.confirmedAt > time.Duration(learnFraction*float64(s.timeout))
	var changes []Change
	listed := map[string]bool{}
	for _, z := range list {
		listed[z.Name] = true
		state := s.zones[z.Name]
		if state == nil {
			if state = (&zoneState{}); !z.Evacuated && !(z.Progress > 0) {
				continue
			}
			s.zones[z.Name] = state
			state.raise(z.Progress)
		}
		if state.evacuated != z.Evacuated {
			state.evacuated = z.Evacuated
			if z.Evacuated && isLate {
				state.raise(1)
			}
			changes = append(changes, Change{z.Name, z.Evacuated, state.progress})
		}
		if z.Evacuated {
			state.raise(z.Progress)
		}
	}
	for name, state := range s.zones {
		if state.evacuated && !listed[name] {
			state.evacuated = false
			changes = append(changes, Change{name, false, state.progress})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Zone, b.Zone) })
	return changes
}

// raise sets the progress to at least the given value, which may come from another instance.
func (z *zoneState) raise(progress float64) {
	if progress > z.progress {
		z.progress = min(progress, 1)
	}
	z.peak = max(z.peak, z.progress)
}

// move brings the progress of all zones to the given time.
func (s *Schedule) move(now time.Duration) {
	elapsed := max(now-s.advancedAt, 0)
	s.advancedAt = max(now, s.advancedAt)
	step := float64(elapsed) / (spreadFraction * float64(s.timeout))
	for _, z := range s.zones {
		if z.evacuated {
			z.raise(z.progress + step)
		} else if z.progress = max(z.progress-step, 0); z.progress == 0 {
			z.peak = 0
		}
	}
}

// Advance brings the schedule to the given time. It reports whether the use of any target may have changed since
// the last call; IsChanged then reports which have. Its cost depends only on the number of zones.
func (s *Schedule) Advance(now time.Duration) bool {
	maps.DeleteFunc(s.zones, func(_ string, z *zoneState) bool {
		return !z.evacuated && z.limits == limits{} && z.applied == limits{}
	})
	s.move(now)
	s.becameKnown, s.appliedKnown = s.isKnown && !s.appliedKnown, s.isKnown
	changed := s.becameKnown
	for _, z := range s.zones {
		z.before, z.applied = z.applied, z.limits
		changed = changed || z.applied != z.before
	}
	return changed
}

// IsChanged reports whether the last call of Advance has changed the use of a target.
func (s *Schedule) IsChanged(t *routing.Target) bool {
	if s.becameKnown {
		return true
	}
	z := s.zones[t.Zone]
	if z == nil || z.applied == z.before {
		return false
	}
	u := threshold(t.ID)
	return z.applied.excludesRequests(u) != z.before.excludesRequests(u) || z.applied.excludesKeys(u) != z.before.excludesKeys(u)
}

// TakesRequests reports whether a target may get requests as of the last call of Advance.
func (s *Schedule) TakesRequests(t *routing.Target) bool {
	z := s.zones[t.Zone]
	return s.appliedKnown && (z == nil || !z.applied.excludesRequests(threshold(t.ID)))
}

// TakesKeys reports whether a target may hold keys as of the last call of Advance.
func (s *Schedule) TakesKeys(t *routing.Target) bool {
	z := s.zones[t.Zone]
	return s.appliedKnown && (z == nil || !z.applied.excludesKeys(threshold(t.ID)))
}

// WithoutRequests returns the targets with those marked as draining that may not get requests. It doesn't change its
// argument.
func (s *Schedule) WithoutRequests(targets []routing.Target) []routing.Target {
	return s.withDraining(targets, s.TakesRequests)
}

// WithoutKeys returns the targets with those marked as draining that may not hold keys. It doesn't change its argument.
func (s *Schedule) WithoutKeys(targets []routing.Target) []routing.Target {
	return s.withDraining(targets, s.TakesKeys)
}

func (s *Schedule) withDraining(targets []routing.Target, isUsed func(*routing.Target) bool) []routing.Target {
	if len(s.zones) == 0 && s.appliedKnown {
		return targets
	}
	targets = slices.Clone(targets)
	for i := range targets {
		targets[i].Draining = targets[i].Draining || !isUsed(&targets[i])
	}
	return targets
}

// Zones returns the states of all zones that are evacuated or not yet in full use again, ordered by name.
func (s *Schedule) Zones() []Zone {
	var list []Zone
	for _, name := range slices.Sorted(maps.Keys(s.zones)) {
		if z := s.zones[name]; z.evacuated || z.progress > 0 {
			list = append(list, Zone{name, z.evacuated, z.progress})
		}
	}
	return list
}

// EvacuatedZones returns the number of evacuated zones.
func (s *Schedule) EvacuatedZones() int {
	n := 0
	for _, z := range s.zones {
		if z.evacuated {
			n++
		}
	}
	return n
}

// IsEvacuated reports whether a zone is evacuated.
func (s *Schedule) IsEvacuated(zone string) bool {
	z := s.zones[zone]
	return z != nil && z.evacuated
}

// threshold returns the place of a target in the order of its zone, from 0 up to 1.
func threshold(id string) float64 {
	// The first bits of the hash decide about shards and subsets elsewhere; the product makes this order independent.
	return float64((xxhash.Sum64String(id)*0x9E3779B97F4A7C15)>>11) / math.Exp2(53)
}
