package dispatch_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragegate/boragegate/dispatch"
)

var _ = Describe("Policy", func() {
	It("disables the named mechanisms and reports unknown names", func() {
		// Guards against an ablation that has no effect because of a misspelt name.
		p, err := dispatch.Without("hedging", "holding")
		Expect(err).NotTo(HaveOccurred())
		Expect(p.On(dispatch.Hedging)).To(BeFalse())
		Expect(p.On(dispatch.Holding)).To(BeFalse())
		Expect(p.On(dispatch.Ejection)).To(BeTrue())
		for _, name := range dispatch.Mechanisms() {
			_, err := dispatch.Without(name)
			Expect(err).NotTo(HaveOccurred(), name)
		}
		_, err = dispatch.Without("hedgin")
		Expect(err).To(MatchError(ContainSubstring("hedging")))
	})
})
