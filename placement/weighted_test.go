package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/boragegate/boragegate/placement"
)

var _ = Describe("Weighted", func() {
	// Guards against targets that get the same number of partitions whatever their weights.
	It("assigns in proportion to weight", func() {
		ts := newTargets(3, 3)
		ts[1].Weight, ts[2].Weight = 2, 4
		s := newTestService(700, ts)
		Expect(s.planAndApply().Urgent).To(HaveLen(700))
		Expect(s.partitionCounts()).To(Equal(map[string]int{"t000": 100, "t001": 200, "t002": 400}))
		Expect(s.planAndApply()).To(Equal(placement.Plan{}), "a second plan changes nothing")
	})

	// Guards against keys that stay unavailable after a loss, and against moves of
	// partitions that the loss does not concern.
	It("reassigns the partitions of a lost target at once and no others", func() {
		s := newTestService(1024, newTargets(15, 4))
		s.planAndApply()
		lostPartitions := s.partitionCounts()["t003"]
		s.input.Targets[3].Lost, s.input.Targets[3].Usable = true, false
		plan := s.planAndApply()
		Expect(plan.Urgent).To(HaveLen(lostPartitions))
		Expect(plan.Moves).To(BeEmpty())
		Expect(s.partitionCounts()).NotTo(HaveKey("t003"))
	})

	// Guards against a drain that leaves keys behind.
	It("moves all partitions off a leaving target within the drain time", func() {
		s := newTestService(1024, newTargets(15, 4))
		s.planAndApply()
		s.input.Targets[3].Leaving, s.input.Targets[3].Usable = true, false
		for range 3 {
			s.input.Now += time.Second
			for _, m := range s.planAndApply().Moves {
				Expect(m.Reason).To(Equal(placement.ReasonLeaving))
				Expect(m.From).To(Equal("t003"))
			}
		}
		Expect(s.partitionCounts()).NotTo(HaveKey("t003"))
	})

	// Guards against a burst of handovers when an operator changes a weight.
	It("adapts to a change of weight within the move budget", func() {
		s := newTestService(1024, newTargets(4, 4))
		s.planAndApply()
		s.input.Targets[0].Weight = 0
		first := s.planAndApply()
		Expect(len(first.Moves)).To(BeNumerically("<=", 41), "4% of 1,024 partitions in 10 s")
		Expect(first.Deferred).NotTo(BeEmpty())
		for range 30 {
			s.input.Now += 10 * time.Second
			s.planAndApply()
		}
		Expect(s.partitionCounts()).NotTo(HaveKey("t000"))
	})

	// Guards against a handover that is started again by the plan that follows it.
	It("emits a move only once while it is in flight", func() {
		s := newTestService(64, newTargets(4, 2))
		s.planAndApply()
		s.input.Targets[0].Leaving = true
		moves := s.policy.Plan(s.input).Moves
		Expect(moves).NotTo(BeEmpty())
		s.input.MovesInFlight = len(moves)
		for _, m := range s.policy.Plan(s.input).Moves {
			for _, n := range moves {
				Expect(m.Partition).NotTo(Equal(n.Partition))
			}
		}
	})

	// Guards against partitions that move back and forth when a target fails repeatedly.
	DescribeTable("moves nothing to a returned target during its hold-down",
		func(stability bool, holdDown time.Duration) {
			s := newTestService(1024, newTargets(15, 4))
			s.input.PreferStability = stability
			s.planAndApply()
			s.input.Targets[3].Lost, s.input.Targets[3].Usable = true, false
			Expect(s.planAndApply().Urgent).NotTo(BeEmpty())
			s.input.Now += 3 * time.Second
			s.input.Targets[3].Lost, s.input.Targets[3].Usable = false, true
			returnedAt := s.input.Now
			for ; s.input.Now < returnedAt+holdDown; s.input.Now += time.Second {
				plan := s.planAndApply()
				Expect(plan.Urgent).To(BeEmpty())
				Expect(plan.Moves).To(BeEmpty())
				Expect(plan.Deferred).To(HaveEach(HaveField("Reason", placement.ReasonHoldDown)))
				Expect(plan.Deferred).NotTo(BeEmpty())
			}
			for range 12 {
				s.input.Now += 10 * time.Second
				s.planAndApply()
			}
			Expect(s.partitionCounts()["t003"]).To(BeNumerically("~", 68, 1))
		},
		Entry("availability", false, 30*time.Second),
		Entry("stability", true, 120*time.Second),
	)

	// Guards against reassigning partitions that their owner still holds.
	It("moves nothing when a target is briefly unreachable but not lost", func() {
		s := newTestService(1024, newTargets(15, 4))
		s.planAndApply()
		for range 30 {
			s.input.Now += time.Second
			s.input.Targets[3].Usable = !s.input.Targets[3].Usable
			Expect(s.planAndApply()).To(Equal(placement.Plan{}))
		}
	})

	// Guards against partitions that move twice, because they are assigned to a target
	// whose zone is failing and which is lost next.
	It("assigns no urgent partitions to a zone that is failing", func() {
		s := newTestService(1024, newTargets(16, 4))
		s.planAndApply()
		for i := 0; i < 16; i += 4 {
			s.input.Now += 200 * time.Millisecond
			s.input.Targets[i].Lost, s.input.Targets[i].Usable = true, false
			for _, u := range s.planAndApply().Urgent {
				Expect(i == 0 || s.target(u.Target).Zone != "z0").To(BeTrue())
			}
		}
	})

	// Guards against a target that gets more load by its weight than it has slots for.
	It("assigns a target no more load than its slots allow", func() {
		ts := newTargets(4, 2)
		ts[0].Slots = 2
		s := newTestService(400, ts)
		s.input.Load = make([]float64, 400)
		for round := range 60 {
			for p := range s.input.Load {
				s.input.Load[p] = 0.03 + 1e-6*float64((p+round)%2)
			}
			s.input.Now += 10 * time.Second
			s.planAndApply()
		}
		// The load is 12 slots: 85% of 2 slots for the first target, the rest for the
		// others.
		Expect(s.partitionCounts()["t000"]).To(BeNumerically("~", 57, 1))
	})

	// Guards against a status page that shows no reasons.
	It("explains owners and pending moves", func() {
		ts := newTargets(4, 2)
		w := placement.NewWeighted(placement.Settings{})
		s := newTestService(64, ts)
		s.policy = w
		s.input.Assignment.Owner[9], s.input.Assignment.Targets = 0, []string{"t001"}
		s.planAndApply()
		s.input.Targets[0].Leaving, s.input.Targets[0].Usable = true, false
		before := s.input.Assignment
		plan := s.planAndApply()
		lines := ""
		for _, p := range []int{plan.Moves[0].Partition, plan.Deferred[0].Partition, 9} {
			lines += w.Explain(before, plan, p).String() + "\n"
		}
		w.Plan(s.input)
		lines += w.Explain(s.input.Assignment, placement.Plan{}, plan.Moves[0].Partition).String() + "\n"
		goldie.New(suite).Assert(suite, "explain", []byte(lines))
	})
})
