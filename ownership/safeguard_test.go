package ownership

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragegate/boragegate/table"
)

// safeguard is a rule that protects an invariant, with a way to disable the rule and a run
// in which the invariant is violated without it.
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
			for _, e := range sim.fullGrants { // each full grant of any controller arrives again, late
				sim.deliverCall(sim.instances["i1"], e, func(ServerReply, error) {})
			}
		},
	},
	{
		"start of a lease at the answered stamp", "one owner",
		func(sim *simulation) {
			for _, s := range sim.servers {
				s.renewsFromReceipt = true
			}
		},
		func(sim *simulation) { sim.servers["route/s1"].frozenUntil = sim.now + time.Second },
	},
	{
		"grantor's wait until a lease has expired", "one owner",
		func(sim *simulation) { sim.faults.noGrantorWait = true },
		func(sim *simulation) { sim.cutLinks[[2]string{"route/s1", sim.controllerOf("route/s1").id}] = true },
	},
	{
		"check for contact with a majority", "one forwarder",
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
			sim.store.extraDelay = 40 * time.Millisecond // time between the decision and its write to the store
			inst.pause(time.Minute)
			for sim.planner().core.planner.cellChange == nil {
				sim.run(time.Millisecond)
			}
			to, _ := sim.planner().core.planner.cellChange.cell.Controller("depot/d1")
			sim.cutBothWays(inst.id, to.Instance) // only the third member receives its messages again
			inst.resume()
			sim.run(15 * time.Millisecond)
			for _, id := range sim.instanceIDs() {
				sim.cutBothWays(inst.id, id)
			}
		},
	},
	{
		"conditional write to the store", "durability",
		func(sim *simulation) { sim.schedule(5*time.Second, func() { sim.store.unconditionalWrites = true }) },
		func(sim *simulation) {
			sim.store.extraDelay = 3 * time.Second // the planner's write is still on its way when the planner is killed
			sim.setDrain(1, true)
			sim.run(50 * time.Millisecond)
			sim.store.extraDelay = 0
			sim.planner().kill()
		},
	},
	{
		"epoch order of adopted assignments", "epoch order",
		func(sim *simulation) { sim.faults.noEpochOrder = true },
		func(sim *simulation) {
			oldUpdate := AssignmentUpdate{Full: sim.instances["i1"].view.Assignments["route"]}
			sim.setDrain(1, true)
			sim.run(time.Second)
			sim.instances["i1"].step(MessageReceived{From: "i2", Message: oldUpdate}) // an outdated message arrives late
		},
	},
	{
		"tracking of released partitions", "one owner",
		func(sim *simulation) { sim.faults.noReleaseTracking = true },
		func(sim *simulation) { sim.setDrain(1, true) },
	},
}

var _ = Describe("Ownership", func() {
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
		It("needs the "+g.name+" to keep the invariant "+g.invariant, func() {
			Expect(run(false)).To(BeEmpty())
			violations := run(true)
			Expect(violations).NotTo(BeEmpty())
			Expect(strings.Join(violations, "\n")).To(ContainSubstring(g.invariant))
		})
	}
})
