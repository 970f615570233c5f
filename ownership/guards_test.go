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
	disable   func(sim *simulation)
	run       func(sim *simulation)
}

var safeguards = []safeguard{
	{
		"term check at the server", "one owner",
		func(sim *simulation) {
			for _, s := range sim.servers {
				s.noTermCheck = true
			}
		},
		func(sim *simulation) {
			sim.controllerOf("route/s1").kill()
			sim.run(2 * time.Second)
			sim.setDrain(1, true)
			sim.run(time.Second)
			for _, e := range sim.fullGrants { // delayed calls of all controllers arrive again
				sim.deliverCall(sim.instances["i1"], e, func(ServerReply, error) {})
			}
		},
	},
	{
		"lease from the answered stamp", "one owner",
		func(sim *simulation) {
			for _, s := range sim.servers {
				s.renewsFromReceipt = true
			}
		},
		func(sim *simulation) { sim.servers["route/s1"].frozenUntil = sim.now + time.Second },
	},
	{
		"wait of the grantor", "one owner",
		func(sim *simulation) { sim.faults.noGrantorWait = true },
		func(sim *simulation) { sim.cutLinks[[2]string{"route/s1", sim.controllerOf("route/s1").id}] = true },
	},
	{
		"contact check", "one forwarder",
		func(sim *simulation) { sim.faults.noContactCheck = true },
		func(sim *simulation) {
			inst := sim.controllerOf("depot/d1")
			for id := range sim.instances {
				sim.cutBothWays(inst.id, id)
			}
		},
	},
	{
		"suspension of silent members", "one forwarder",
		func(sim *simulation) { sim.faults.noSuspension = true },
		func(sim *simulation) {
			inst := sim.controllerOf("depot/d1")
			sim.store.extraDelay = 40 * time.Millisecond // between decision and record
			inst.pause(time.Minute)
			for sim.planner().core.planner.cellChange == nil {
				sim.run(time.Millisecond)
			}
			to, _ := sim.planner().core.planner.cellChange.cell.Controller("depot/d1")
			sim.cutBothWays(inst.id, to.Instance) // only the third member hears it again
			inst.resume()
			sim.run(15 * time.Millisecond)
			for _, id := range sim.instanceIDs() {
				sim.cutBothWays(inst.id, id)
			}
		},
	},
	{
		"conditional write", "durability",
		func(sim *simulation) { sim.schedule(5*time.Second, func() { sim.store.unconditionalWrites = true }) },
		func(sim *simulation) {
			sim.store.extraDelay = 3 * time.Second // for the write of the planner that is lost
			sim.setDrain(1, true)
			sim.run(50 * time.Millisecond)
			sim.store.extraDelay = 0
			sim.planner().kill()
		},
	},
	{
		"order of epochs", "epoch order",
		func(sim *simulation) { sim.faults.noEpochOrder = true },
		func(sim *simulation) {
			oldUpdate := AssignmentUpdate{Full: sim.instances["i1"].view.Assignments["route"]}
			sim.setDrain(1, true)
			sim.run(time.Second)
			sim.instances["i1"].step(MessageReceived{From: "i2", Message: oldUpdate}) // a late message
		},
	},
	{
		"promise not to grant what was released", "one owner",
		func(sim *simulation) { sim.faults.noReleaseTracking = true },
		func(sim *simulation) { sim.setDrain(1, true) },
	},
}

var _ = Describe("guards", func() {
	for _, g := range safeguards {
		run := func(disabled bool) []string {
			sim := newSimulation(3)
			sim.table.Services = []table.Service{
				{Name: "route", Divided: true, ChecksGrants: true, Partitions: 6},
				{Name: "depot", Divided: true, Partitions: 6, MaxRequestTime: table.Duration(time.Second)},
			}
			for i, z := range []string{"z1", "z2", "z3"} {
				sim.addServer("route", []string{"s1", "s2", "s3"}[i], z)
			}
			sim.addServer("depot", "d1", "z1")
			if disabled {
				g.disable(sim)
			}
			for i, z := range []string{"z1", "z2", "z3"} {
				sim.startInstance([]string{"i1", "i2", "i3"}[i], z)
			}
			sim.run(6 * time.Second)
			Expect(sim.violations).To(BeEmpty())
			g.run(sim)
			sim.run(4 * time.Second)
			return sim.violations
		}
		It("needs the "+g.name+" for the invariant "+g.invariant, func() {
			Expect(run(false)).To(BeEmpty())
			violations := run(true)
			Expect(violations).NotTo(BeEmpty())
			Expect(strings.Join(violations, "\n")).To(ContainSubstring(g.invariant))
		})
	}
})
