package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/boragegate/boragegate/placement"
)

var _ = Describe("Weighted", func() {
	It("assigns in proportion to weight (guards against equal counts for unequal targets)", func() {
		ts := newTargets(3, 3)
		ts[1].Weight, ts[2].Weight = 2, 4
		r := newTestService(700, ts)
		Expect(r.planAndApply().Urgent).To(HaveLen(700))
		Expect(r.partitionCounts()).To(Equal(map[string]int{"t000": 100, "t001": 200, "t002": 400}))
		Expect(r.planAndApply()).To(Equal(placement.Plan{}), "a second plan finds nothing to do")
	})

	It("gives away a lost target's partitions at once and no others (guards against unavailable keys and needless churn)", func() {
		r := newTestService(1024, newTargets(15, 4))
		r.planAndApply()
		lost := r.partitionCounts()["t003"]
		r.input.Targets[3].Lost, r.input.Targets[3].Usable = true, false
		plan := r.planAndApply()
		Expect(plan.Urgent).To(HaveLen(lost))
		Expect(plan.Moves).To(BeEmpty())
		Expect(r.partitionCounts()).NotTo(HaveKey("t003"))
	})

	It("empties a leaving target by planned moves within the drain time (guards against a drain that strands keys)", func() {
		r := newTestService(1024, newTargets(15, 4))
		r.planAndApply()
		r.input.Targets[3].Leaving, r.input.Targets[3].Usable = true, false
		for range 3 {
			r.input.Now += time.Second
			for _, m := range r.planAndApply().Moves {
				Expect(m.Reason).To(Equal(placement.ReasonLeaving))
				Expect(m.From).To(Equal("t003"))
			}
		}
		Expect(r.partitionCounts()).NotTo(HaveKey("t003"))
	})

	It("follows a weight change within the move budget (guards against a burst of hand-overs)", func() {
		r := newTestService(1024, newTargets(4, 4))
		r.planAndApply()
		r.input.Targets[0].Weight = 0
		first := r.planAndApply()
		Expect(len(first.Moves)).To(BeNumerically("<=", 41), "4% of 1,024 partitions in 10 s")
		Expect(first.Deferred).NotTo(BeEmpty())
		for range 30 {
			r.input.Now += 10 * time.Second
			r.planAndApply()
		}
		Expect(r.partitionCounts()).NotTo(HaveKey("t000"))
	})

	It("hands a move out once while it is in flight (guards against starting a hand-over twice)", func() {
		r := newTestService(64, newTargets(4, 2))
		r.planAndApply()
		r.input.Targets[0].Leaving = true
		moves := r.policy.Plan(r.input).Moves
		Expect(moves).NotTo(BeEmpty())
		r.input.MovesInFlight = len(moves)
		for _, m := range r.policy.Plan(r.input).Moves {
			for _, n := range moves {
				Expect(m.Partition).NotTo(Equal(n.Partition))
			}
		}
	})

	DescribeTable("moves nothing back while a returned target is held back (guards against moves to and fro)",
		func(stability bool, hold time.Duration) {
			r := newTestService(1024, newTargets(15, 4))
			r.input.PreferStability = stability
			r.planAndApply()
			r.input.Targets[3].Lost, r.input.Targets[3].Usable = true, false
			Expect(r.planAndApply().Urgent).NotTo(BeEmpty())
			r.input.Now += 3 * time.Second
			r.input.Targets[3].Lost, r.input.Targets[3].Usable = false, true
			back := r.input.Now
			for ; r.input.Now < back+hold; r.input.Now += time.Second {
				plan := r.planAndApply()
				Expect(plan.Urgent).To(BeEmpty())
				Expect(plan.Moves).To(BeEmpty())
				Expect(plan.Deferred).To(HaveEach(HaveField("Reason", placement.ReasonHoldDown)))
				Expect(plan.Deferred).NotTo(BeEmpty())
			}
			for range 12 {
				r.input.Now += 10 * time.Second
				r.planAndApply()
			}
			Expect(r.partitionCounts()["t003"]).To(BeNumerically("~", 68, 1))
		},
		Entry("availability", false, 30*time.Second),
		Entry("stability", true, 120*time.Second),
	)

	It("moves nothing when a target cannot be reached for a moment but is not lost (guards against giving away held partitions)", func() {
		r := newTestService(1024, newTargets(15, 4))
		r.planAndApply()
		for range 30 {
			r.input.Now += time.Second
			r.input.Targets[3].Usable = !r.input.Targets[3].Usable
			Expect(r.planAndApply()).To(Equal(placement.Plan{}))
		}
	})

	It("keeps urgent partitions out of a zone that is being lost (guards against moving them twice)", func() {
		r := newTestService(1024, newTargets(16, 4))
		r.planAndApply()
		for i := 0; i < 16; i += 4 {
			r.input.Now += 200 * time.Millisecond
			r.input.Targets[i].Lost, r.input.Targets[i].Usable = true, false
			for _, u := range r.planAndApply().Urgent {
				Expect(i == 0 || r.target(u.Target).Zone != "z0").To(BeTrue())
			}
		}
	})

	It("gives a target no more load than its slots allow (guards against weights that exceed limits)", func() {
		ts := newTargets(4, 2)
		ts[0].Slots = 2
		r := newTestService(400, ts)
		r.input.Load = make([]float64, 400)
		for round := range 60 {
			for p := range r.input.Load {
				r.input.Load[p] = 0.03 + 1e-6*float64((p+round)%2)
			}
			r.input.Now += 10 * time.Second
			r.planAndApply()
		}
		// 12 slots of load in all: 85% of 2 slots for the first, the rest for the others.
		Expect(r.partitionCounts()["t000"]).To(BeNumerically("~", 57, 1))
	})

	It("explains owners and pending moves (guards against a status page that does not say why)", func() {
		ts := newTargets(4, 2)
		w := placement.NewWeighted(placement.Settings{})
		r := newTestService(64, ts)
		r.policy = w
		r.input.Assignment.Owner[9], r.input.Assignment.Targets = 0, []string{"t001"}
		r.planAndApply()
		r.input.Targets[0].Leaving, r.input.Targets[0].Usable = true, false
		before := r.input.Assignment
		plan := r.planAndApply()
		lines := ""
		for _, p := range []int{plan.Moves[0].Partition, plan.Deferred[0].Partition, 9} {
			lines += w.Explain(before, plan, p).String() + "\n"
		}
		w.Plan(r.input)
		lines += w.Explain(r.input.Assignment, placement.Plan{}, plan.Moves[0].Partition).String() + "\n"
		goldie.New(suite).Assert(suite, "explain", []byte(lines))
	})
})
