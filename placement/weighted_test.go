package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragegate/boragegate/placement"
)

var _ = Describe("Weighted", func() {
	It("assigns in proportion to weight (guards against equal counts for unequal targets)", func() {
		ts := targets(3, 3)
		ts[1].Weight, ts[2].Weight = 2, 4
		r := newRun(700, ts)
		Expect(r.step().Urgent).To(HaveLen(700))
		Expect(r.counts()).To(Equal(map[string]int{"t000": 100, "t001": 200, "t002": 400}))
		Expect(r.step()).To(Equal(placement.Plan{}), "a second plan finds nothing to do")
	})

	It("gives away a lost target's partitions at once and no others (guards against unavailable keys and needless churn)", func() {
		r := newRun(1024, targets(15, 4))
		r.step()
		lost := r.counts()["t003"]
		r.in.Targets[3].Lost, r.in.Targets[3].Usable = true, false
		plan := r.step()
		Expect(plan.Urgent).To(HaveLen(lost))
		Expect(plan.Moves).To(BeEmpty())
		Expect(r.counts()).NotTo(HaveKey("t003"))
	})

	It("empties a leaving target by planned moves within the drain time (guards against a drain that strands keys)", func() {
		r := newRun(1024, targets(15, 4))
		r.step()
		r.in.Targets[3].Leaving, r.in.Targets[3].Usable = true, false
		for range 3 {
			r.in.Now += time.Second
			for _, m := range r.step().Moves {
				Expect(m.Reason).To(Equal(placement.ReasonLeaving))
				Expect(m.From).To(Equal("t003"))
			}
		}
		Expect(r.counts()).NotTo(HaveKey("t003"))
	})

	It("follows a weight change within the move budget (guards against a burst of hand-overs)", func() {
		r := newRun(1024, targets(4, 4))
		r.step()
		r.in.Targets[0].Weight = 0
		first := r.step()
		Expect(len(first.Moves)).To(BeNumerically("<=", 41), "4% of 1,024 partitions in 10 s")
		Expect(first.Deferred).NotTo(BeEmpty())
		for range 30 {
			r.in.Now += 10 * time.Second
			r.step()
		}
		Expect(r.counts()).NotTo(HaveKey("t000"))
	})

	It("hands a move out once while it is in flight (guards against starting a hand-over twice)", func() {
		r := newRun(64, targets(4, 2))
		r.step()
		r.in.Targets[0].Leaving = true
		moves := r.policy.Plan(r.in).Moves
		Expect(moves).NotTo(BeEmpty())
		r.in.InFlight = len(moves)
		for _, m := range r.policy.Plan(r.in).Moves {
			for _, n := range moves {
				Expect(m.Partition).NotTo(Equal(n.Partition))
			}
		}
	})
})
