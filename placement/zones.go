package placement

import "time"

const (
	// failingZoneWindow is the time for which a lost target counts towards a failing zone.
	// The losses of a failed zone are detected within about a second of each other.
	failingWindow = 10 * time.Second
	// failingZoneFraction is the fraction of the targets of a zone whose loss marks the
	// zone as failing.
	failingPart = 0.25
	// minFailingZoneTargets is the minimum number of lost targets in a failing zone.
	failingLeast = 2
)

// failingZones returns the zones that are presently failing. Their remaining targets
// receive no urgent partitions, which would probably have to move a second time.
func (b *board) failingZones(now time.Duration) map[string]bool {
	lost, all := map[string]int{}, map[string]int{}
	for i := range b.nodes {
		n := &b.nodes[i]
		all[n.Zone]++
		if n.Lost && n.hist.losses > 0 && now-n.hist.wentDown < failingWindow {
			lost[n.Zone]++
		}
	}
	failing := map[string]bool{}
	for zone, k := range lost {
		if zone != "" && k >= failingLeast && float64(k) >= failingPart*float64(all[zone]) {
			failing[zone] = true
		}
	}
	return failing
}
