package placement

import "time"

const (
	// failingZoneWindow is the time after a loss for which it counts towards a failing zone.
	// The losses of a failed zone are detected within about a second of each other.
	failingZoneWindow = 10 * time.Second
	// failingZoneFraction is the fraction of the targets of a zone whose loss marks the
	// zone as failing.
	failingZoneFraction = 0.25
	// minFailingZoneTargets is the minimum number of lost targets in a failing zone.
	minFailingZoneTargets = 2
)

// failingZones returns the zones that are currently failing. Their remaining targets
// receive no urgent partitions, which would probably have to move a second time.
func (state *planState) failingZones(now time.Duration) map[string]bool {
	lost, all := map[string]int{}, map[string]int{}
	for i := range state.targets {
		t := &state.targets[i]
		all[t.Zone]++
		if t.Lost && t.history.outages > 0 && now-t.history.lastOutageAt < failingZoneWindow {
			lost[t.Zone]++
		}
	}
	failing := map[string]bool{}
	for zone, k := range lost {
		if zone != "" && k >= minFailingZoneTargets && float64(k) >= failingZoneFraction*float64(all[zone]) {
			failing[zone] = true
		}
	}
	return failing
}
