package placementtest

import (
	"fmt"

	"pgregory.net/rapid"

	"github.com/boragegate/boragegate/placement"
)

// DrawAssignment draws any assignment of up to 300 partitions that a planner can publish.
func DrawAssignment(t *rapid.T) placement.Assignment {
	a := placement.Assignment{
		Service: rapid.String().Draw(t, "service"),
		Version: rapid.Uint64().Draw(t, "version"),
	}
	for i := range rapid.IntRange(0, 80).Draw(t, "targets") {
		a.Targets = append(a.Targets, fmt.Sprint("t", i))
	}
	epoch := rapid.OneOf(rapid.Just(a.Version), rapid.Uint64Range(0, a.Version), rapid.Uint64Range(0, min(a.Version, 3)))
	for range rapid.IntRange(0, 60).Draw(t, "runs") {
		owner := placement.NoOwner
		if i := rapid.IntRange(-1, len(a.Targets)-1).Draw(t, "owner"); i >= 0 {
			owner = uint16(i) //nolint:gosec // below 80
		}
		e := epoch.Draw(t, "epoch")
		for range rapid.IntRange(1, 5).Draw(t, "length") {
			a.Owner, a.Epoch = append(a.Owner, owner), append(a.Epoch, e)
		}
	}
	return a
}

// DrawDelta draws any delta that a planner can publish. Its changes are not grouped by
// target.
func DrawDelta(t *rapid.T) placement.Delta {
	d := placement.Delta{Service: rapid.String().Draw(t, "service"), To: rapid.Uint64().Draw(t, "to")}
	d.From = rapid.Uint64Range(0, d.To).Draw(t, "from")
	target := rapid.SampledFrom([]string{"", "t1", "t2", "another target"})
	for _, p := range rapid.SliceOfDistinct(rapid.IntRange(0, placement.MaxPartitions-1), rapid.ID[int]).Draw(t, "partitions") {
		d.Changes = append(d.Changes, placement.Change{Partition: p, Target: target.Draw(t, "target")})
	}
	return d
}
