package ownership

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragegate/boragegate/table"
)

// guard is a rule of the design, a way to turn it off, and a run in which the
// named invariant fails without it.
type guard struct {
	name      string
	invariant string
	off       func(w *world)
	run       func(w *world)
}

var guards = []guard{
	{
		"term check at the server", "one owner",
		func(w *world) {
			for _, s := range w.servers {
				s.noTerm = true
			}
		},
		func(w *world) {
			w.controllerOf("route/s1").kill()
			w.run(2 * time.Second)
			w.drain(1, true)
			w.run(time.Second)
			for _, e := range w.granted { // delayed calls of all controllers arrive again
				w.arrive(w.nodes["i1"], e, func(ServerReply, error) {})
			}
		},
	},
	{
		"lease from the answered stamp", "one owner",
		func(w *world) {
			for _, s := range w.servers {
				s.noStamp = true
			}
		},
		func(w *world) { w.servers["route/s1"].frozen = w.now + time.Second },
	},
	{
		"wait of the grantor", "one owner",
		func(w *world) { w.faults.noGrantorWait = true },
		func(w *world) { w.cuts[[2]string{"route/s1", w.controllerOf("route/s1").id}] = true },
	},
	{
		"contact check", "one forwarder",
		func(w *world) { w.faults.noContactCheck = true },
		func(w *world) {
			n := w.controllerOf("depot/d1")
			for id := range w.nodes {
				w.cut(n.id, id)
			}
		},
	},
	{
		"suspension of silent members", "one forwarder",
		func(w *world) { w.faults.noSuspension = true },
		func(w *world) {
			n := w.controllerOf("depot/d1")
			w.store.slow = 40 * time.Millisecond // between decision and record
			n.pause(time.Minute)
			for w.planner().core.planner.cellChange == nil {
				w.run(time.Millisecond)
			}
			to, _ := w.planner().core.planner.cellChange.cell.Controller("depot/d1")
			w.cut(n.id, to.Instance) // only the third member hears it again
			n.resume()
			w.run(15 * time.Millisecond)
			for _, id := range w.ids() {
				w.cut(n.id, id)
			}
		},
	},
	{
		"conditional write", "durability",
		func(w *world) { w.after(5*time.Second, func() { w.store.blindWrite = true }) },
		func(w *world) {
			w.store.slow = 3 * time.Second // for the write of the planner that is lost
			w.drain(1, true)
			w.run(50 * time.Millisecond)
			w.store.slow = 0
			w.planner().kill()
		},
	},
	{
		"order of epochs", "epoch order",
		func(w *world) { w.faults.noEpochOrder = true },
		func(w *world) {
			old := AssignmentUpdate{Full: w.nodes["i1"].view.Assignments["route"]}
			w.drain(1, true)
			w.run(time.Second)
			w.nodes["i1"].step(MessageReceived{From: "i2", Message: old}) // a late message
		},
	},
	{
		"promise not to grant what was released", "one owner",
		func(w *world) { w.faults.noReleaseTracking = true },
		func(w *world) { w.drain(1, true) },
	},
}

var _ = Describe("guards", func() {
	for _, g := range guards {
		run := func(off bool) []string {
			w := newWorld(3)
			w.table.Services = []table.Service{
				{Name: "route", Divided: true, ChecksGrants: true, Partitions: 6},
				{Name: "depot", Divided: true, Partitions: 6, MaxRequestTime: table.Duration(time.Second)},
			}
			for i, z := range []string{"z1", "z2", "z3"} {
				w.addServer("route", []string{"s1", "s2", "s3"}[i], z)
			}
			w.addServer("depot", "d1", "z1")
			if off {
				g.off(w)
			}
			for i, z := range []string{"z1", "z2", "z3"} {
				w.start([]string{"i1", "i2", "i3"}[i], z)
			}
			w.run(6 * time.Second)
			Expect(w.broken).To(BeEmpty())
			g.run(w)
			w.run(4 * time.Second)
			return w.broken
		}
		It("needs the "+g.name+" for the invariant "+g.invariant, func() {
			Expect(run(false)).To(BeEmpty())
			broken := run(true)
			Expect(broken).NotTo(BeEmpty())
			Expect(strings.Join(broken, "\n")).To(ContainSubstring(g.invariant))
		})
	}
})
