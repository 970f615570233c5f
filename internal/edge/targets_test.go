package edge

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragegate/boragegate/routing"
	"github.com/boragegate/boragegate/store"
)

var _ = Describe("targetList", func() {
	var l *targetList
	fullList := func(version store.Version, names ...string) *targetUpdate {
		update := &targetUpdate{Version: version, Full: true, Put: map[string]routing.Target{}}
		for _, name := range names {
			update.Put[name] = routing.Target{ID: name, Address: name, Incarnation: 1}
		}
		return update
	}
	BeforeEach(func() {
		l = newTargetList()
		l.apply(0, fullList(1, "a", "b"))
	})

	It("keeps entries that are missing right after a store outage until their targets have had time to register again", func() {
		// Guards against dropping live targets because their entries expired while the store
		// was down.
		l.recordOutageEnd(time.Second)
		l.apply(time.Second, fullList(2, "a"))
		Expect(l.liveTargets()).To(HaveLen(2))
		Expect(l.dropExpired(time.Second + reregistrationTime)).To(ConsistOf("b"))
		Expect(l.liveTargets()).To(HaveLen(1))
	})

	It("drops missing entries at once if the list of the leader, which was not cut off, lacks them too", func() {
		// Guards against requests to targets that left while only this instance was cut off
		// from the store: they reached targets that had left 12 s before. The leader's list
		// is older than the one that this instance has just read.
		l.recordOutageEnd(time.Second)
		l.apply(time.Second, fullList(9, "a"))
		Expect(l.dropUnlisted(fullList(5, "a").Put)).To(ConsistOf("b"))
		Expect(l.liveTargets()).To(HaveLen(1))
		Expect(l.dropExpired(time.Hour)).To(BeEmpty())
	})

	It("lists only the target with the highest incarnation at an address", func() {
		// Guards against requests to an earlier target whose address another one has taken.
		update := fullList(2, "a", "b")
		update.Put["c"] = routing.Target{ID: "c", Address: "a", Incarnation: 2}
		l.apply(0, update)
		Expect(l.liveTargets()).To(ConsistOf(HaveField("ID", "b"), HaveField("ID", "c")))
	})
})
