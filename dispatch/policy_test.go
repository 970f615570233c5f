package dispatch_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragegate/boragegate/dispatch"
)

var _ = Describe("Policy", func() {
	It("disables the named mechanisms and reports unknown names", func() {
		// Guards against a measurement in which a mechanism stays enabled because its name is misspelt.
		p, err := dispatch.NewPolicyWithout("hedging", "holding")
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Enabled(dispatch.Hedging)).To(BeFalse())
		Expect(p.Enabled(dispatch.Holding)).To(BeFalse())
		Expect(p.Enabled(dispatch.Ejection)).To(BeTrue())
		for _, name := range dispatch.MechanismNames() {
			_, err := dispatch.NewPolicyWithout(name)
			Expect(err).NotTo(HaveOccurred(), name)
		}
		_, err = dispatch.NewPolicyWithout("hedgin")
		Expect(err).To(MatchError(ContainSubstring("hedging")))
	})
})
