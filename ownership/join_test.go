package ownership

import (
	"encoding/json"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("members of a cell", func() {
	var w *simulation
	BeforeEach(func() {
		w = newSimulatedCell(5, 3, 3, 3, 6)
		w.run(6 * time.Second)
	})
	AfterEach(func() { Expect(w.violations).To(BeEmpty()) })

	It("are not removed while they send heartbeats, whatever the platform's list says", func() {
		clear(w.listedInstances)
		w.run(15 * time.Second)
		Expect(w.planner().core.cell.Members).To(HaveLen(3))
	})
	It("are not removed while the platform's list names them, and one per interval after that", func() {
		for _, id := range []string{"i4", "i5", "i6", "i7"} {
			w.startInstance(id, "z1")
			w.run(2 * time.Second)
		}
		w.instances["i4"].kill()
		w.instances["i5"].kill()
		w.run(15 * time.Second)
		Expect(w.planner().core.cell.Members).To(HaveLen(7))
		delete(w.listedInstances, "i4")
		delete(w.listedInstances, "i5")
		w.run(3 * time.Second)
		Expect(w.planner().core.cell.Members).To(HaveLen(6))
		w.run(11 * time.Second)
		Expect(w.planner().core.cell.Members).To(HaveLen(5))
		Expect(w.unownedPartitions("route")).To(BeZero())
	})
	It("are replaced by a new one when all are dead and unlisted", func() {
		for _, id := range w.instanceIDs() {
			w.instances[id].kill()
		}
		w.startInstance("i9", "z1")
		w.run(8 * time.Second)
		Expect(w.planner()).To(BeNil(), "the platform still lists them as live")
		for _, id := range []string{"i1", "i2", "i3"} {
			delete(w.listedInstances, id)
		}
		w.run(8 * time.Second)
		Expect(w.planner().id).To(Equal("i9"))
		Expect(w.unownedPartitions("route")).To(BeZero())
	})
	It("are replaced by their own new processes when all restart at once", func() {
		for _, id := range w.instanceIDs() {
			w.instances[id].kill()
		}
		for _, id := range w.instanceIDs() {
			w.startInstance(id, w.instances[id].core.cfg.Self.Zone)
		}
		w.run(12 * time.Second)
		Expect(w.planner().core.cell.Members).To(HaveLen(3))
		Expect(w.unownedPartitions("route")).To(BeZero())
	})
	It("go on without a majority that an operator forgets", func() {
		last := w.planner().id
		var lost []string
		for _, id := range w.instanceIDs() {
			if id != last {
				w.instances[id].kill()
				lost = append(lost, id)
			}
		}
		w.run(3 * time.Second)
		Expect(w.unownedPartitions("route")).To(Equal(6), "no majority is left")
		o := w.store.objects["cell/c1"]
		cell := w.instances[last].core.cell.Clone() // what the command "instances forget" writes
		cell.Members = slices.DeleteFunc(cell.Members, func(m Member) bool { return slices.Contains(lost, m.ID) })
		cell.PlannerTerm++
		cell.Version = cell.PlannerTerm << 32
		o.Value, _ = json.Marshal(cell)
		_, err := w.store.put(o)
		Expect(err).NotTo(HaveOccurred())
		w.run(4 * time.Second)
		Expect(w.unownedPartitions("route")).To(BeZero())
	})
	It("get assignments that they missed from their peers", func() {
		n := w.otherInstance(w.planner())
		w.cutLinks[[2]string{w.planner().id, n.id}] = true
		w.setDrain(1, true)
		w.run(100 * time.Millisecond)
		clear(w.cutLinks)
		w.run(time.Second)
		Expect(n.view.Assignments["route"].Version).To(Equal(w.store.recordVersion(kindAssignment, "c1.route")))
	})
	It("hand everything over when the last but one stops, and then stop at once", func() {
		for _, id := range []string{"i1", "i2", "i3"} {
			w.instances[id].step(StopRequested{})
			w.run(3 * time.Second)
			Expect(w.instances[id].stopped).To(BeTrue(), id)
		}
	})
})
