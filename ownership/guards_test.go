package ownership

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragegate/boragegate/table"
)

// safeguard is a rule of the design, a way to turn it off, and a run in which the
// named invariant fails without it.
type safeguard struct {
	name      string
	invariant string
	disable   func(w *simulation)
	run       func(w *simulation)
}

var safeguards = []safeguard{
	{
		"term check at the server", "one owner",
		func(w *simulation) {
			for _, s := range w.servers {
				s.noTermCheck = true
			}
		},
		func(w *simulation) {
			w.controllerOf("route/s1").kill()
			w.run(2 * time.Second)
			w.setDrain(1, true)
			w.run(time.Second)
			for _, e := range w.fullGrants { // delayed calls of all controllers arrive again
				w.deliverCall(w.instances["i1"], e, func(ServerReply, error) {})
			}
		},
	},
	{
		"lease from the answered stamp", "one owner",
		func(w *simulation) {
			for _, s := range w.servers {
				s.renewsFromReceipt = true
			}
		},
		func(w *simulation) { w.servers["route/s1"].frozenUntil = w.now + time.Second },
	},
	{
		"wait of the grantor", "one owner",
		func(w *simulation) { w.faults.noGrantorWait = true },
		func(w *simulation) { w.cutLinks[[2]string{"route/s1", w.controllerOf("route/s1").id}] = true },
	},
	{
		"contact check", "one forwarder",
		func(w *simulation) { w.faults.noContactCheck = true },
		func(w *simulation) {
			n := w.controllerOf("depot/d1")
			for id := range w.instances {
				w.cutBothWays(n.id, id)
			}
		},
	},
	{
		"suspension of silent members", "one forwarder",
		func(w *simulation) { w.faults.noSuspension = true },
		func(w *simulation) {
			n := w.controllerOf("depot/d1")
			w.store.extraDelay = 40 * time.Millisecond // between decision and record
			n.pause(time.Minute)
			for w.planner().core.planner.cellChange == nil {
				w.run(time.Millisecond)
			}
			to, _ := w.planner().core.planner.cellChange.cell.Controller("depot/d1")
			w.cutBothWays(n.id, to.Instance) // only the third member hears it again
			n.resume()
			w.run(15 * time.Millisecond)
			for _, id := range w.instanceIDs() {
				w.cutBothWays(n.id, id)
			}
		},
	},
	{
		"conditional write", "durability",
		func(w *simulation) { w.schedule(5*time.Second, func() { w.store.unconditionalWrites = true }) },
		func(w *simulation) {
			w.store.extraDelay = 3 * time.Second // for the write of the planner that is lost
			w.setDrain(1, true)
			w.run(50 * time.Millisecond)
			w.store.extraDelay = 0
			w.planner().kill()
		},
	},
	{
		"order of epochs", "epoch order",
		func(w *simulation) { w.faults.noEpochOrder = true },
		func(w *simulation) {
			old := AssignmentUpdate{Full: w.instances["i1"].view.Assignments["route"]}
			w.setDrain(1, true)
			w.run(time.Second)
			w.instances["i1"].step(MessageReceived{From: "i2", Message: old}) // a late message
		},
	},
	{
		"promise not to grant what was released", "one owner",
		func(w *simulation) { w.faults.noReleaseTracking = true },
		func(w *simulation) { w.setDrain(1, true) },
	},
}

var _ = Describe("guards", func() {
	for _, g := range safeguards {
		run := func(off bool) []string {
			w := newSimulation(3)
			w.table.Services = []table.Service{
				{Name: "route", Divided: true, ChecksGrants: true, Partitions: 6},
				{Name: "depot", Divided: true, Partitions: 6, MaxRequestTime: table.Duration(time.Second)},
			}
			for i, z := range []string{"z1", "z2", "z3"} {
				w.addServer("route", []string{"s1", "s2", "s3"}[i], z)
			}
			w.addServer("depot", "d1", "z1")
			if off {
				g.disable(w)
			}
			for i, z := range []string{"z1", "z2", "z3"} {
				w.startInstance([]string{"i1", "i2", "i3"}[i], z)
			}
			w.run(6 * time.Second)
			Expect(w.violations).To(BeEmpty())
			g.run(w)
			w.run(4 * time.Second)
			return w.violations
		}
		It("needs the "+g.name+" for the invariant "+g.invariant, func() {
			Expect(run(false)).To(BeEmpty())
			broken := run(true)
			Expect(broken).NotTo(BeEmpty())
			Expect(strings.Join(broken, "\n")).To(ContainSubstring(g.invariant))
		})
	}
})
