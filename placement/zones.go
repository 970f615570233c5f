package placement

import "time"

const (
	// failingWindow is the time for which a loss counts towards a failing zone.
	// The servers of a lost zone are noticed within about a second of each other.
	failingWindow = 10 * time.Second
	// failingPart is the part of a zone's targets whose loss makes the zone count as failing.
	failingPart = 0.25
	// failingLeast is the number of losses that a failing zone has at least.
	failingLeast = 2
)

// failingZones returns the zones that are being lost. Their remaining targets
// get no urgent partitions, which would soon have to move a second time.
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
