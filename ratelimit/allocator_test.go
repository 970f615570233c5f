package ratelimit_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/boragegate/boragegate/ratelimit"
	"github.com/boragegate/boragegate/routing"
)

var limitedTarget = routing.Lifetime{ID: "t", Incarnation: 1}

// needs returns a request for permits of the given class.
func needs(class, n int, maxWait time.Duration) *ratelimit.Request {
	r := &ratelimit.Request{Lifetime: limitedTarget}
	r.Needed[class], r.MaxWait[class] = n, maxWait
	return r
}

var _ = Describe("an allocator", func() {
	It("grants no more than the limit in any span, whatever instances ask for", func() {
		// Guards against permits that are saved up while nobody needs them, or granted twice to instances that ask again.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			perSecond := rapid.Float64Range(0, 200).Draw(t, "limit")
			a := ratelimit.NewAllocator[int]()
			now := time.Second
			a.SetLimit(now, limitedTarget, perSecond)
			granted := map[time.Duration]int{}
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				now += time.Duration(rapid.IntRange(0, 700).Draw(t, "gap")) * ms
				switch rapid.IntRange(0, 4).Draw(t, "step") {
				case 0:
					a.RemoveInstance(rapid.IntRange(0, 5).Draw(t, "instance"))
				case 1:
					for _, grants := range a.Tick(now) {
						for _, g := range grants {
							granted[now] += total(g.Granted)
						}
					}
				default:
					r := needs(rapid.IntRange(0, 3).Draw(t, "class"), rapid.IntRange(-1, 40).Draw(t, "needed"), time.Duration(rapid.IntRange(0, 2000).Draw(t, "wait"))*ms)
					for _, g := range a.Request(now, rapid.IntRange(0, 5).Draw(t, "instance"), r) {
						granted[now] += total(g.Granted)
					}
				}
			}
			effective, _ := a.PerSecond(limitedTarget)
			for from := range granted {
				sum := 0
				for at, n := range granted {
					if at >= from && at < from+4*time.Second {
						sum += n
					}
				}
				if float64(sum) > 4.1*effective+1 {
					t.Fatalf("%d permits in 4 s with a limit of %g/s", sum, effective)
				}
			}
		})
	})

	It("queues only permits that come in time, the most urgent first", func() {
		// Guards against permits for requests that have been rejected meanwhile, and against urgent requests behind others.
		a := ratelimit.NewAllocator[string]()
		a.SetLimit(0, limitedTarget, 10)
		g := a.Request(0, "a", needs(2, 5, 250*ms))["a"]
		Expect(g.Queued).To(Equal(ratelimit.Counts{2: 2}), "the third one would come after 300 ms")
		Expect(g.Wait[2]).To(Equal(300 * ms))
		Expect(g.Wait[1]).To(Equal(100*ms), "a more urgent one comes first")
		g = a.Request(0, "b", needs(2, 1, 250*ms))["b"]
		Expect(g.Queued).To(Equal(ratelimit.Counts{}))
		g = a.Request(0, "b", needs(1, 1, 250*ms))["b"]
		Expect(g.Queued).To(Equal(ratelimit.Counts{1: 1}))
		next, ok := a.UntilNext()
		Expect(ok).To(BeTrue())
		Expect(next).To(Equal(100 * ms))
		Expect(a.Tick(100 * ms)).To(HaveKey("b"))
		Expect(a.Tick(200 * ms)).To(HaveKey("a"))
		a.Request(200*ms, "a", needs(2, 0, 0))
		Expect(a.Tick(time.Second)).To(BeEmpty(), "the request has ended")
	})

	It("starts without saved permits", func() {
		// Guards against a new leader that grants again what its predecessor has just granted.
		a := ratelimit.NewAllocator[string]()
		a.SetLimit(time.Minute, limitedTarget, 10)
		Expect(a.Request(time.Minute, "a", needs(0, 1, 0))["a"].Granted).To(Equal(ratelimit.Counts{}))
	})
})

func total(c ratelimit.Counts) int {
	n := 0
	for _, v := range c {
		n += v
	}
	return n
}

var _ = Describe("an instance's part in a limit", func() {
	leader := ratelimit.Coordination{HasLeader: true, Instances: 8}
	var p ratelimit.Permits
	BeforeEach(func() {
		p = ratelimit.Permits{}
		p.ObserveNamed(time.Second, 10)
	})
	grant := func(n int) *ratelimit.Grant {
		return &ratelimit.Grant{Lifetime: limitedTarget, Granted: ratelimit.Counts{2: n}}
	}

	It("sends nothing without a permit, and uses each permit once and only for a while", func() {
		// Guards against permits that an instance saves up until many are used at the same time.
		Expect(p.Take(time.Second, 2, ratelimit.Ticket{}, leader)).To(BeFalse())
		p.ApplyGrant(time.Second, grant(2))
		Expect(p.Take(1100*ms, 2, ratelimit.Ticket{}, leader)).To(BeTrue())
		Expect(p.Take(1400*ms, 2, ratelimit.Ticket{}, leader)).To(BeFalse(), "the second permit has expired")
	})

	It("gives a permit to the request that waits longest in the most urgent class", func() {
		// Guards against requests that wait in vain because later ones take their permits.
		first := p.StartWaiting(limitedTarget, 2, 2*time.Second)
		second := p.StartWaiting(limitedTarget, 2, 2*time.Second)
		urgent := p.StartWaiting(limitedTarget, 1, 2*time.Second)
		p.ApplyGrant(time.Second, grant(2))
		Expect(p.Available(time.Second, 2, second, leader)).To(BeFalse())
		Expect(p.Available(time.Second, 2, ratelimit.Ticket{}, leader)).To(BeFalse())
		Expect(p.Take(time.Second, 1, urgent, leader)).To(BeTrue())
		p.StopWaiting(urgent)
		Expect(p.Take(time.Second, 2, first, leader)).To(BeTrue())
	})

	It("asks again for what the leader may have missed", func() {
		// Guards against requests that wait until they are rejected because a message was lost.
		p.StartWaiting(limitedTarget, 2, 2*time.Second)
		r, ok := p.TakeRequest(time.Second, limitedTarget)
		Expect(ok).To(BeTrue())
		Expect(r.Needed).To(Equal(ratelimit.Counts{2: 1}))
		_, ok = p.TakeRequest(1010*ms, limitedTarget)
		Expect(ok).To(BeFalse())
		_, ok = p.TakeRequest(1100*ms, limitedTarget)
		Expect(ok).To(BeTrue())
	})

	It("is a small part without a leader that all instances together keep", func() {
		// Guards against instances without a leader that send at once or never. Together they may use two fifths of
		// the limit.
		for _, instances := range []int{0, 1, 8, 30, 65, 300, 1000} {
			n := instances
			if n == 0 {
				n = 300 // an instance that does not know the number assumes many
			}
			sent := 0
			for i := range n {
				alone := ratelimit.Coordination{Instances: instances, Spread: float64(i) / float64(n)}
				p := ratelimit.Permits{}
				p.ObserveNamed(time.Second, 10)
				for now := time.Second; now < 61*time.Second; now += 20 * ms {
					if p.Take(now, 2, ratelimit.Ticket{}, alone) {
						sent++
					}
				}
			}
			Expect(float64(sent)).To(BeNumerically("~", 0.4*10*60, 30), "%d instances", instances)
		}
	})
})

// BenchmarkRequest measures one request for a permit while the queue is as long as requests wait for, at a target whose
// limit is a few requests a second and at one with a limit of hundreds.
func BenchmarkRequest(b *testing.B) {
	for _, instances := range []int{8, 65, 300, 1000} {
		for _, perSecond := range []float64{6, 300} {
			b.Run(fmt.Sprintf("instances=%d/limit=%.0f", instances, perSecond), func(b *testing.B) {
				a := ratelimit.NewAllocator[int]()
				now := time.Second
				a.SetLimit(now, limitedTarget, perSecond)
				for i := 0; b.Loop(); i++ {
					now += time.Millisecond
					a.Request(now, i%instances, needs(2, 1, 200*ms))
				}
			})
		}
	}
}
