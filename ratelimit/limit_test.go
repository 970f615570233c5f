package ratelimit_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	_ "github.com/boragegate/boragegate/internal/seedtest" // fixes the seed of random cases
	"github.com/boragegate/boragegate/ratelimit"
	"github.com/boragegate/boragegate/routing"
)

func TestRateLimit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ratelimit")
}

const ms = time.Millisecond

var _ = Describe("what is known about a limit", func() {
	It("changes only with responses that can be ordered", func() {
		// Guards against a limit that is ended by a response which the target sent before it named the limit, and
		// against one that stays in force after the target has stopped naming it.
		var l ratelimit.Limit
		Expect(l.ObserveUnnamed(900*ms)).To(BeFalse(), "no limit was known")
		Expect(l.ObserveNamed(1000*ms, 6)).To(BeTrue())
		Expect(l.ObserveNamed(1010*ms, 6)).To(BeFalse())
		Expect(l.ObserveUnnamed(1005*ms)).To(BeFalse(), "sent before the last response that names it was received")
		Expect(l.InForce()).To(BeTrue())
		Expect(l.ObserveNamed(1020*ms, 7.5)).To(BeTrue(), "another value")
		Expect(l.ObserveUnnamed(1030 * ms)).To(BeTrue())
		Expect(l.InForce()).To(BeFalse())
		Expect(l.ObserveUnnamed(1040 * ms)).To(BeFalse())
		Expect(l.ObserveNamed(1100*ms, 7.5)).To(BeTrue(), "named again")
	})

	It("is the same at every instance, in whatever order notices arrive", func() {
		// Guards against instances that disagree for good because their notices crossed.
		id := routing.Lifetime{ID: "t", Incarnation: 1}
		named, ended := ratelimit.Limit{}, ratelimit.Limit{}
		named.ObserveNamed(1000*ms, 6)
		ended.ObserveNamed(500*ms, 6)
		ended.ObserveUnnamed(800 * ms)
		var a, b ratelimit.Limit
		// The clock of the receiver is 5 s behind that of the senders, which send at 1100 ms.
		n, e := named.Notice(1100*ms, id), ended.Notice(1100*ms, id)
		at := 6100 * ms
		a.Merge(at, &n)
		Expect(a.Merge(at, &e)).To(BeFalse(), "the end is older than the name")
		b.Merge(at, &e)
		Expect(b.InForce()).To(BeFalse())
		Expect(b.Merge(at, &n)).To(BeTrue())
		Expect(a).To(Equal(b))
		later := named
		later.ObserveUnnamed(2000 * ms)
		l := later.Notice(2100*ms, id)
		Expect(a.Merge(at+1000*ms, &l)).To(BeTrue())
		Expect(a.InForce()).To(BeFalse())
	})

	It("does not end because of a notice that was on its way for a while", func() {
		// Guards against an end that seems later than a limit named meanwhile, because its age is counted from its
		// arrival.
		id := routing.Lifetime{ID: "t", Incarnation: 1}
		var ended, l ratelimit.Limit
		ended.ObserveNamed(500*ms, 6)
		ended.ObserveUnnamed(900 * ms)
		n := ended.Notice(950*ms, id)
		l.ObserveNamed(910*ms, 6)
		Expect(l.Merge(980*ms, &n)).To(BeFalse(), "30 ms on its way")
		Expect(l.InForce()).To(BeTrue())
	})
})
