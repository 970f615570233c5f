package dispatch_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/boragegate/boragegate/dispatch"
	"github.com/boragegate/boragegate/routing"
)

var _ = Describe("callers that come back", func() {
	// play offers a multiple of what the holder of one key serves, to n instances, by
	// callers that come back twice, after a time in which all were served. The leader
	// tells the pressure where there are many instances. It returns the share of the
	// capacity that served requests in time.
	play := func(n int, multiple float64, forgetful bool) float64 {
		const warmUp, length = 10 * time.Second, 10 * time.Second
		s := &server{Target: target("a", "z", 4), meanServiceTime: 63 * time.Millisecond}
		m := newModel(n, s)
		m.retries, m.timeoutSpread, m.ignoresPriorElapsed = 2, 200*time.Millisecond, forgetful
		for _, b := range m.balancers {
			b.SetOwners("svc", []routing.Owner{{Span: routing.Span{To: routing.KeyCount - 1}, Holder: s.Lifetime(), Ready: true}})
		}
		perSecond := 4 / 0.063
		before := 0
		var tell func()
		tell = func() {
			ratio := float64(m.offered-before) / 0.6 / perSecond
			before = m.offered
			for _, b := range m.balancers {
				b.SetOfferedLoad(m.now, []dispatch.OfferedLoad{{Lifetime: s.Lifetime(), Ratio: ratio}})
			}
			m.after(600*time.Millisecond, tell)
		}
		if n > 16 {
			m.after(1200*time.Millisecond, tell)
		}
		r := dispatch.Request{Service: "svc", Key: 7, Remaining: 1200 * time.Millisecond, Objective: 200 * time.Millisecond}
		m.offer(0.5*perSecond, warmUp, r)
		m.run(warmUp)
		before, m.onTime = m.onTime, 0
		m.offer(multiple*perSecond, warmUp+length, r)
		m.run(warmUp + length + 2*time.Second)
		return float64(m.onTime) / (perSecond * length.Seconds())
	}
	for _, n := range []int{8, 30, 65, 300, 1000} {
		for _, multiple := range []float64{1.2, 2, 4} {
			It(fmt.Sprintf("leave a key's holder to those that can be on time: %.1f times its capacity, %d instances", multiple, n), func() {
				// Guards against a holder that is busy with requests that are late already
				// while new ones are rejected and get late by that.
				knows, forgets := play(n, multiple, false), play(n, multiple, true)
				GinkgoWriter.Printf("n=%d x%.1f on time: %.3f of the capacity, %.3f without knowing what callers have lost\n", n, multiple, knows, forgets)
				Expect(knows).To(BeNumerically(">=", forgets))
				if n == 8 { // each instance sees enough of the key to learn the callers' budgets
					Expect(knows).To(BeNumerically(">", 0.5), "most of what the holder serves")
				}
			})
		}
	}

	It("are not told from others by callers with several time budgets", func() {
		// Guards against callers with little time who are always refused first.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			b := dispatch.NewBalancer("z", dispatch.RetryBudget{Ratio: 0.2, MinRetries: 10, Window: 10 * time.Second})
			budgets := rapid.SliceOfN(rapid.IntRange(100, 15000), 1, 6).Draw(t, "budgets")
			r := dispatch.Request{Service: "svc"}
			for i := range 600 {
				r.Remaining = time.Duration(budgets[i%len(budgets)]) * time.Millisecond
				if lost := b.RecordArrival(time.Duration(i)*time.Millisecond, &r); i > 300 && lost > 0 {
					t.Fatalf("a caller that begins with %s has lost %s", r.Remaining, lost)
				}
			}
		})
	})

	It("without a word of their time count as new", func() {
		b := dispatch.NewBalancer("z", dispatch.RetryBudget{Ratio: 0.2, MinRetries: 10, Window: 10 * time.Second})
		r := dispatch.Request{Service: "svc", Remaining: time.Second}
		for range 100 {
			b.RecordArrival(0, &r)
		}
		r.Remaining = 0
		Expect(b.RecordArrival(0, &r)).To(BeZero())
		r.Remaining = 400 * time.Millisecond
		Expect(b.RecordArrival(0, &r)).To(Equal(600 * time.Millisecond))
	})
})
