package placement

import "time"

const (
	// failingZoneWindow is the time for which a loss counts towards a failing zone.
	// The servers of a lost zone are noticed within about a second of each other.
	failingZoneWindow = 10 * time.Second
	// failingZoneFraction is the part of a zone's targets whose loss makes the zone count as failing.
	failingZoneFraction = 0.25
	// minFailingZoneTargets is the number of losses that a failing zone has at least.
	minFailingZoneTargets = 2
)

// failingZones returns the zones that are being lost. Their remaining targets
// get no urgent partitions, which would soon have to move a second time.
func (b *planState) failingZones(now time.Duration) map[string]bool {
	lost, all := map[string]int{}, map[string]int{}
	for i := range b.targets {
		n := &b.targets[i]
		all[n.Zone]++
		if n.Lost && n.history.outages > 0 && now-n.history.lastOutageAt < failingZoneWindow {
			lost[n.Zone]++
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
