package ownership

import (
	"encoding/json"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("members of a cell", func() {
	var sim *simulation
	BeforeEach(func() {
		sim = newSimulatedCell(5, 3, 3, 3, 6)
		sim.run(6 * time.Second)
	})
	AfterEach(func() { Expect(sim.violations).To(BeEmpty()) })

	It("are not removed while they send heartbeats, whatever the platform's list says", func() {
		clear(sim.listedInstances)
		sim.run(15 * time.Second)
		Expect(sim.planner().core.cell.Members).To(HaveLen(3))
	})
	It("are not removed while the platform's list names them, and one per interval after that", func() {
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
	It("are replaced by a new one when all are dead and unlisted", func() {
		for _, id := range sim.instanceIDs() {
			sim.instances[id].kill()
		}
		sim.startInstance("i9", "z1")
		sim.run(8 * time.Second)
		Expect(sim.planner()).To(BeNil(), "the platform still lists them as live")
		for _, id := range []string{"i1", "i2", "i3"} {
			delete(sim.listedInstances, id)
		}
		sim.run(8 * time.Second)
		Expect(sim.planner().id).To(Equal("i9"))
		Expect(sim.unownedPartitions("route")).To(BeZero())
	})
	It("are replaced by their own new processes when all restart at once", func() {
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
	It("go on without a majority that an operator forgets", func() {
		survivor := sim.planner().id
		var killed []string
		for _, id := range sim.instanceIDs() {
			if id != survivor {
				sim.instances[id].kill()
				killed = append(killed, id)
			}
		}
		sim.run(3 * time.Second)
		Expect(sim.unownedPartitions("route")).To(Equal(6), "no majority is left")
		o := sim.store.objects["cell/c1"]
		cell := sim.instances[survivor].core.cell.Clone() // what the command "instances forget" writes
		cell.Members = slices.DeleteFunc(cell.Members, func(m Member) bool { return slices.Contains(killed, m.ID) })
		cell.PlannerTerm++
		cell.Version = cell.PlannerTerm << 32
		o.Value, _ = json.Marshal(cell)
		_, err := sim.store.put(o)
		Expect(err).NotTo(HaveOccurred())
		sim.run(4 * time.Second)
		Expect(sim.unownedPartitions("route")).To(BeZero())
	})
	It("get assignments that they missed from their peers", func() {
		inst := sim.otherInstance(sim.planner())
		sim.cutLinks[[2]string{sim.planner().id, inst.id}] = true
		sim.setDrain(1, true)
		sim.run(100 * time.Millisecond)
		clear(sim.cutLinks)
		sim.run(time.Second)
		Expect(inst.view.Assignments["route"].Version).To(Equal(sim.store.recordVersion(kindAssignment, "c1.route")))
	})
	It("hand everything over when the last but one stops, and then stop at once", func() {
		for _, id := range []string{"i1", "i2", "i3"} {
			sim.instances[id].step(StopRequested{})
			sim.run(3 * time.Second)
			Expect(sim.instances[id].stopped).To(BeTrue(), id)
		}
	})
})
