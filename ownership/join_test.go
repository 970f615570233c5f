package ownership

import (
	"encoding/json"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Members of a cell", func() {
	var sim *simulation
	BeforeEach(func() {
		sim = newSimulatedCell(5, 3, 3, 3, 6)
		sim.run(6 * time.Second)
	})
	AfterEach(func() { Expect(sim.violations).To(BeEmpty()) })

	It("are not removed while they send heartbeats, even if the platform does not list them", func() {
		// Guards against the removal of live members because the platform's list is incomplete.
		clear(sim.listedInstances)
		sim.run(15 * time.Second)
		Expect(sim.planner().core.cell.Members).To(HaveLen(3))
	})
	It("are removed one per interval, and not while the platform lists them", func() {
		// Guards against the removal of members that the platform still lists as live, and of
		// several lost members at once.
		for _, id := range []string{"i4", "i5", "i6", "i7"} {
			sim.startInstance(id, "z1")
			sim.run(2 * time.Second)
		}
		sim.instances["i4"].kill()
		sim.instances["i5"].kill()
		sim.run(15 * time.Second)
		Expect(sim.planner().core.cell.Members).To(HaveLen(7))
		delete(sim.listedInstances, "i4")
		delete(sim.listedInstances, "i5")
		sim.run(3 * time.Second)
		Expect(sim.planner().core.cell.Members).To(HaveLen(6))
		sim.run(11 * time.Second)
		Expect(sim.planner().core.cell.Members).To(HaveLen(5))
		Expect(sim.unownedPartitions("route")).To(BeZero())
	})
	It("are replaced by a new instance once all are dead and none is listed by the platform", func() {
		// Guards against a cell that nobody can change any more because all its members are lost,
		// and against the replacement of members that the platform still lists as live.
		for _, id := range sim.instanceIDs() {
			sim.instances[id].kill()
		}
		sim.startInstance("i9", "z1")
		sim.run(8 * time.Second)
		Expect(sim.planner()).To(BeNil(), "the new instance must not replace members that the platform still lists as live")
		for _, id := range []string{"i1", "i2", "i3"} {
			delete(sim.listedInstances, id)
		}
		sim.run(8 * time.Second)
		Expect(sim.planner().id).To(Equal("i9"))
		Expect(sim.unownedPartitions("route")).To(BeZero())
	})
	It("are replaced by their own new processes if all restart at once", func() {
		// Guards against new processes that wait for the earlier processes with the same IDs,
		// which are dead but recorded as members and listed by the platform.
		for _, id := range sim.instanceIDs() {
			sim.instances[id].kill()
		}
		for _, id := range sim.instanceIDs() {
			sim.startInstance(id, sim.instances[id].core.cfg.Self.Zone)
		}
		sim.run(12 * time.Second)
		Expect(sim.planner().core.cell.Members).To(HaveLen(3))
		Expect(sim.unownedPartitions("route")).To(BeZero())
	})
	It("continue after an operator removes a majority that has failed", func() {
		// Guards against a cell that stays without a majority although the failed members have
		// been removed from its record.
		survivor := sim.planner().id
		var killed []string
		for _, id := range sim.instanceIDs() {
			if id != survivor {
				sim.instances[id].kill()
				killed = append(killed, id)
			}
		}
		sim.run(3 * time.Second)
		Expect(sim.unownedPartitions("route")).To(Equal(6), "without a majority no partition may keep an owner")
		o := sim.store.objects["cell/c1"]
		cell := sim.instances[survivor].core.cell.Clone() // the record that the command "instances forget" writes
		cell.Members = slices.DeleteFunc(cell.Members, func(m Member) bool { return slices.Contains(killed, m.ID) })
		cell.PlannerTerm++
		cell.Version = cell.PlannerTerm << 32
		o.Value, _ = json.Marshal(cell)
		_, err := sim.store.put(o)
		Expect(err).NotTo(HaveOccurred())
		sim.run(4 * time.Second)
		Expect(sim.unownedPartitions("route")).To(BeZero())
	})
	It("receive from other members the assignments that they missed", func() {
		// Guards against a member that stays behind because a message from the planner was lost.
		inst := sim.otherInstance(sim.planner())
		sim.cutLinks[[2]string{sim.planner().id, inst.id}] = true
		sim.setDrain(1, true)
		sim.run(100 * time.Millisecond)
		clear(sim.cutLinks)
		sim.run(time.Second)
		Expect(inst.view.Assignments["route"].Version).To(Equal(sim.store.recordVersion(kindAssignment, "c1.route")))
	})
	It("stop within 3 s of a request, including the last one, which cannot hand over", func() {
		// Guards against a planned stop that takes longer, and against one that never ends
		// because no other member is left to take over.
		for _, id := range []string{"i1", "i2", "i3"} {
			sim.instances[id].step(StopRequested{})
			sim.run(3 * time.Second)
			Expect(sim.instances[id].stopped).To(BeTrue(), id)
		}
	})
})
