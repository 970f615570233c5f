package ownership

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestOwnership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ownership")
}

var _ = Describe("a first path", func() {
	It("assigns every partition when instances start together", func() {
		w := standard(1, 3, 3, 3, 16)
		w.run(6 * time.Second)
		for _, l := range w.log {
			GinkgoWriter.Println(l)
		}
		Expect(w.broken).To(BeEmpty())
		Expect(w.unowned("route")).To(BeZero())
		Expect(w.planner().core.cell.Members).To(HaveLen(3))

		By("surviving the loss of the planner and a cut between two others")
		w.planner().kill()
		w.run(2 * time.Second)
		w.cut("i2", "s1")
		w.run(2 * time.Second)
		for _, l := range w.log {
			GinkgoWriter.Println(l)
		}
		Expect(w.broken).To(BeEmpty())
		Expect(w.unowned("route")).To(BeZero())
	})
})
