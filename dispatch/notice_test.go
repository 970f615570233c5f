package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/boragegate/boragegate/dispatch"
	"github.com/boragegate/boragegate/routing"
)

var _ = Describe("a target that announces its shutdown", func() {
	var b *dispatch.Balancer
	a, z := target("a", "here", 4), target("z", "here", 4)
	BeforeEach(func() {
		a.Service, z.Service = "svc", "svc"
		b = dispatch.NewBalancer("here", dispatch.RetryBudget{Ratio: 0.2, MinRetries: 10, Window: 10 * time.Second})
		b.SetTargets(0, []routing.Target{a, z})
	})
	// targetOrReason returns the ID of the target that is chosen for a request without a key, or the
	// reason if the request is not sent.
	targetOrReason := func(now time.Duration) string {
		r := keylessRequest
		d := b.Choose(now, &r)
		if d.Verdict != dispatch.Send {
			return d.Reason
		}
		return d.Target.ID
	}
	setHolder := func(t routing.Target) {
		b.SetOwners("svc", []routing.Owner{{Span: routing.Span{To: routing.KeyCount - 1}, Holder: t.Lifetime(), Ready: true}})
	}

	It("receives no new requests, even if the list of targets still has it", func() {
		// Guards against requests to a target that is shutting down while its entry in the store
		// is still ready, or while the store is down.
		Expect(b.MarkLeaving(time.Second, a.Lifetime())).To(BeTrue())
		Expect(b.MarkLeaving(time.Second, a.Lifetime())).To(BeFalse(), "only the first announcement is reported")
		for range 20 {
			Expect(targetOrReason(time.Second)).To(Equal("z"))
		}
		b.SetTargets(2*time.Second, []routing.Target{a, z})
		Expect(targetOrReason(2 * time.Second)).To(Equal("z"))
	})

	It("is used for a grace period if no other target can serve", func() {
		// Guards against a service that rejects all requests because its targets are replaced
		// faster than new ones are listed.
		b.MarkLeaving(time.Second, a.Lifetime())
		b.MarkLeaving(time.Second, z.Lifetime())
		Expect(targetOrReason(1500 * time.Millisecond)).To(BeElementOf("a", "z"))
		Expect(targetOrReason(2 * time.Second)).To(Equal("no_target"))
	})

	It("serves its keys until they have moved, at most for the grace period", func() {
		// Guards against keys that are not served between the announcement of their holder and the
		// time at which the leader learns of it, and against requests sent after the holder has
		// stopped serving.
		setHolder(a)
		b.MarkLeaving(time.Second, a.Lifetime())
		r := keylessRequest
		r.Key = 7
		Expect(b.Choose(1900*time.Millisecond, &r).Verdict).To(Equal(dispatch.Send))
		Expect(b.Choose(2*time.Second, &r).Verdict).To(Equal(dispatch.Hold))
		r.IsRetry = true
		Expect(b.Choose(3*time.Second, &r).Verdict).NotTo(Equal(dispatch.Send))
	})

	It("does not affect a later lifetime with the same ID", func() {
		// Guards against targets that stay unused because an earlier lifetime with the same ID
		// shut down.
		b.MarkLeaving(time.Second, a.Lifetime())
		restarted := a
		restarted.Incarnation++
		b.SetTargets(2*time.Second, []routing.Target{restarted})
		Expect(targetOrReason(2 * time.Second)).To(Equal("a"))
	})
})

var _ = Describe("a paused target", func() {
	var b *dispatch.Balancer
	a, z := target("a", "here", 4), target("z", "here", 4)
	BeforeEach(func() {
		a.Service, z.Service = "svc", "svc"
		b = dispatch.NewBalancer("here", dispatch.RetryBudget{Ratio: 0.2, MinRetries: 10, Window: 10 * time.Second})
		b.SetTargets(0, []routing.Target{a, z})
	})

	It("receives nothing until its pause ends, while other targets serve", func() {
		// Guards against requests to a target that has asked for a pause, also as a last resort.
		r := keylessRequest
		b.PauseUntil(a.Lifetime(), 3*time.Second)
		b.PauseUntil(a.Lifetime(), 2*time.Second) // a shorter pause does not end a longer one
		for range 20 {
			Expect(b.Choose(2900*time.Millisecond, &r).Target.ID).To(Equal("z"))
		}
		r.TriedTargets = []string{"z"}
		Expect(b.Choose(2900*time.Millisecond, &r).Verdict).To(Equal(dispatch.Reject), "a paused target is not used as a last resort")
		Expect(b.Choose(3*time.Second, &r).Target.ID).To(Equal("a"))
	})

	It("spreads the retries after the end of the first pause if all targets are paused", func() {
		// Guards against a Retry-After that makes callers return too early or all together.
		b.PauseUntil(a.Lifetime(), time.Second)
		b.PauseUntil(z.Lifetime(), 2*time.Second)
		delays := map[time.Duration]bool{}
		for range 20 {
			r := keylessRequest
			r.Remaining = 6 * time.Second
			d := b.Choose(0, &r)
			Expect(d.Verdict).To(Equal(dispatch.Reject))
			Expect(d.RetryAfter).To(And(BeNumerically(">=", time.Second), BeNumerically("<", 1300*time.Millisecond)))
			delays[d.RetryAfter.Truncate(10*time.Millisecond)] = true
		}
		Expect(len(delays)).To(BeNumerically(">", 8))
	})

	DescribeTable("holds requests for its keys only if they can still meet their objective",
		func(pause time.Duration, verdict dispatch.Verdict) {
			// Guards against callers that wait only to be rejected.
			b.SetOwners("svc", []routing.Owner{{Span: routing.Span{To: routing.KeyCount - 1}, Holder: a.Lifetime(), Ready: true}})
			b.PauseUntil(a.Lifetime(), pause)
			r := keylessRequest
			r.Key = 7
			d := b.Choose(0, &r)
			Expect(d.Verdict).To(Equal(verdict))
			Expect(d.RetryAfter).To(BeNumerically(">=", pause))
		},
		Entry("short pause", 200*time.Millisecond, dispatch.Hold),
		Entry("pause longer than the objective", 500*time.Millisecond, dispatch.Reject),
	)

	It("is never selected, whatever the request", func() {
		// Guards against a path through the selection that does not check for a pause.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var list []routing.Target
			paused := map[string]bool{}
			b := dispatch.NewBalancer("z0", dispatch.RetryBudget{Ratio: 0.2, MinRetries: 10, Window: 10 * time.Second})
			b.SetInstanceCount(rapid.SampledFrom([]int{1, 8, 300}).Draw(t, "instances"))
			for _, s := range serversInZones(rapid.IntRange(1, 60).Draw(t, "targets"), time.Second) {
				s.Service, s.Incarnation = "svc", 1
				list = append(list, s.Target)
			}
			b.SetTargets(0, list)
			for i := range list {
				if rapid.Bool().Draw(t, "paused") {
					paused[list[i].ID] = true
					b.PauseUntil(list[i].Lifetime(), time.Second)
				}
			}
			holder := rapid.SampledFrom(list).Draw(t, "holder")
			keyed := rapid.Bool().Draw(t, "keyed")
			if keyed {
				b.SetOwners("svc", []routing.Owner{{Span: routing.Span{To: routing.KeyCount - 1}, Holder: holder.Lifetime(), Ready: true}})
			}
			for range 30 {
				r := keylessRequest
				r.IsRetry = rapid.Bool().Draw(t, "retry")
				if keyed {
					r.Key = 1
				}
				if d := b.Choose(500*time.Millisecond, &r); d.Verdict == dispatch.Send && paused[d.Target.ID] {
					t.Fatalf("request sent to paused target %s", d.Target.ID)
				}
			}
		})
	})
})
