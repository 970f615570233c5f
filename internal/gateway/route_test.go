package gateway

import (
	"fmt"
	"strconv"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/boragegate/boragegate/internal/route"
	"github.com/boragegate/boragegate/placement"
	"github.com/boragegate/boragegate/table"
)

// designSizeSnapshot returns a snapshot of the size that the design is made for
// (docs/design.md, section 2.6).
func designSizeSnapshot() *route.Snapshot {
	const targets, partitions = 850, 65536
	s := &route.Service{
		Service:    table.Service{Name: "route", Divided: true, Partitions: partitions},
		Assignment: placement.NewAssignment("route", partitions),
	}
	for i := range targets {
		t := &route.Target{Row: table.Row{Service: "route", Target: "r" + strconv.Itoa(i)}, ForwardAddress: "127.0.0.1:1"}
		s.Targets = append(s.Targets, t)
		s.Assignment.Targets = append(s.Assignment.Targets, t.Row.Target)
	}
	s.AssignmentTargets = s.Targets
	for p := range s.Assignment.Owner {
		s.Assignment.Owner[p], s.Assignment.Epoch[p] = uint16(p%targets), 1<<32
	}
	return &route.Snapshot{Serving: true, Services: map[string]*route.Service{"route": s}}
}

func ownerTarget(h *route.AtomicSnapshot, key string) *route.Target {
	return ownerOfKey(h.Load().Services["route"], key).target
}

// BenchmarkRouteDecision measures the time to find the owner of a key, which should
// be less than 150 ns.
func BenchmarkRouteDecision(b *testing.B) {
	var h route.AtomicSnapshot
	h.Store(designSizeSnapshot())
	keys := make([]string, 4096)
	for i := range keys {
		keys[i] = fmt.Sprintf("household-%06d", i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if ownerTarget(&h, keys[i%len(keys)]) == nil {
			b.Fatal("key has no owner")
		}
	}
}

var _ = Describe("route decision", func() {
	It("does not allocate at the size that the design is made for", func() {
		// Guards against allocations in the lookup of a key's owner, which every request
		// needs.
		var h route.AtomicSnapshot
		h.Store(designSizeSnapshot())
		Expect(testing.AllocsPerRun(1000, func() { ownerTarget(&h, "household-000017") })).To(BeZero())
	})

	It("finds the owner of every key, and none for an unowned partition", func() {
		// Guards against a wrong index after targets were removed from the table.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			key := rapid.String().Draw(t, "key")
			snapshot := designSizeSnapshot()
			s := snapshot.Services["route"]
			p := placement.PartitionOf("route", key, s.Partitions)
			i := rapid.IntRange(0, 900).Draw(t, "owner")
			s.Assignment.Owner[p] = uint16(i)
			var want *route.Target
			if i < len(s.AssignmentTargets) {
				want = s.AssignmentTargets[i]
			}
			if d := ownerOfKey(s, key); d.target != want || d.partition != p || want != nil && d.epoch != 1<<32 {
				t.Fatalf("wrong owner, partition or epoch of the key: %+v", d)
			}
			s.Assignment.Owner[p] = placement.NoOwner
			if d := ownerOfKey(s, key); d.target != nil {
				t.Fatalf("owner found for an unowned partition: %+v", d)
			}
		})
	})

	DescribeTable("takes the key from the path",
		// Guards against a request that goes to the owner of another key.
		func(pattern, path, want string) { Expect(keyFromPath(pattern, path)).To(Equal(want)) },
		Entry(nil, "/routes/{key}", "/routes/k1", "k1"),
		Entry(nil, "/routes/{key}", "/routes/k1/stops", "k1"),
		Entry(nil, "/routes/{key}/stops", "/routes/a%2Fb/stops", "a/b"),
		Entry(nil, "/routes/{key}", "/routes", ""),
		Entry(nil, "/routes/{key}", "/other/k1", ""),
		Entry(nil, "/routes/{key}", "/routes/%zz", ""),
	)
})
