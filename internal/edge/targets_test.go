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
	whole := func(version store.Version, names ...string) *targetUpdate {
		n := &targetUpdate{Version: version, Full: true, Put: map[string]routing.Target{}}
		for _, name := range names {
			n.Put[name] = routing.Target{ID: name, Address: name, Incarnation: 1}
		}
		return n
	}
	BeforeEach(func() {
		l = newTargetList()
		l.apply(0, whole(1, "a", "b"))
	})

	It("keeps what is missing right after an outage of the store until it had time to come back", func() {
		l.outageEnded(time.Second)
		l.apply(time.Second, whole(2, "a"))
		Expect(l.list()).To(HaveLen(2))
		Expect(l.dropExpired(time.Second + reregistrationTime)).To(ConsistOf("b"))
		Expect(l.list()).To(HaveLen(1))
	})

	It("drops what is missing at once if the leader, which was not cut off, lacks it too", func() {
		// Guards against requests at targets that left while this instance alone was
		// cut off (loomprint-edge-grown scale-2: 12 s after they had left). The leader's
		// list is older than the one that this instance has just read.
		l.outageEnded(time.Second)
		l.apply(time.Second, whole(9, "a"))
		Expect(l.dropUnlisted(whole(5, "a").Put)).To(ConsistOf("b"))
		Expect(l.list()).To(HaveLen(1))
		Expect(l.dropExpired(time.Hour)).To(BeEmpty())
	})

	It("lists only the youngest target at an address", func() {
		n := whole(2, "a", "b")
		n.Put["c"] = routing.Target{ID: "c", Address: "a", Incarnation: 2}
		l.apply(0, n)
		Expect(l.list()).To(ConsistOf(HaveField("ID", "b"), HaveField("ID", "c")))
	})
})
