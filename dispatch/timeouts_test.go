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

var _ = Describe("retries by rejected callers", func() {
	// simulate offers n instances a multiple of the capacity of the holder of one key, after a
	// warm-up at half of that capacity. Rejected callers retry twice. With more than 16
	// instances, the leader publishes the offered load. simulate returns the number of requests
	// served on time, relative to the number that the holder can serve.
	simulate := func(n int, multiple float64, ignorePriorElapsed bool) float64 {
		const warmUp, length = 10 * time.Second, 10 * time.Second
		s := &server{Target: target("a", "z", 4), meanServiceTime: 63 * time.Millisecond}
		m := newModel(n, s)
		m.retries, m.timeoutSpread, m.ignoresPriorElapsed = 2, 200*time.Millisecond, ignorePriorElapsed
		for _, b := range m.balancers {
			b.SetOwners("svc", []routing.Owner{{Span: routing.Span{To: routing.KeyCount - 1}, Holder: s.Lifetime(), Ready: true}})
		}
		capacity := 4 / 0.063
		lastOffered := 0
		var publish func()
		publish = func() {
			ratio := float64(m.offered-lastOffered) / 0.6 / capacity
			lastOffered = m.offered
			for _, b := range m.balancers {
				b.SetOfferedLoad(m.now, []dispatch.OfferedLoad{{Lifetime: s.Lifetime(), Ratio: ratio}})
			}
			m.after(600*time.Millisecond, publish)
		}
		if n > 16 {
			m.after(1200*time.Millisecond, publish)
		}
		r := dispatch.Request{Service: "svc", Key: 7, Remaining: 1200 * time.Millisecond, Objective: 200 * time.Millisecond}
		m.offer(0.5*capacity, warmUp, r)
		m.run(warmUp)
		lastOffered, m.onTime = m.onTime, 0
		m.offer(multiple*capacity, warmUp+length, r)
		m.run(warmUp + length + 2*time.Second)
		return float64(m.onTime) / (capacity * length.Seconds())
	}
	for _, n := range []int{8, 30, 65, 300, 1000} {
		for _, multiple := range []float64{1.2, 2, 4} {
			It(fmt.Sprintf("do not displace requests that can be on time: %.1f times the capacity of the holder of a key, %d instances", multiple, n), func() {
				// Guards against a holder that receives requests which are already late, while new ones
				// are rejected and become late by their retries. Compares the requests served on time
				// with and without the estimate of the time that callers spent on earlier attempts.
				withEstimate, withoutEstimate := simulate(n, multiple, false), simulate(n, multiple, true)
				GinkgoWriter.Printf("n=%d x%.1f on time: %.3f of the capacity, %.3f without the time that callers spent before\n", n, multiple, withEstimate, withoutEstimate)
				Expect(withEstimate).To(BeNumerically(">=", withoutEstimate))
				if n == 8 { // each instance receives enough requests to estimate the timeouts of callers
					Expect(withEstimate).To(BeNumerically(">", 0.5), "most of the capacity of the holder")
				}
			})
		}
	}

	It("are not inferred when first attempts have different timeouts", func() {
		// Guards against callers with a short timeout being taken for retries and always rejected
		// first.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			b := dispatch.NewBalancer("z", dispatch.RetryBudget{Ratio: 0.2, MinRetries: 10, Window: 10 * time.Second})
			timeouts := rapid.SliceOfN(rapid.IntRange(100, 15000), 1, 6).Draw(t, "timeouts")
			r := dispatch.Request{Service: "svc"}
			for i := range 600 {
				r.Remaining = time.Duration(timeouts[i%len(timeouts)]) * time.Millisecond
				if elapsed := b.RecordArrival(time.Duration(i)*time.Millisecond, &r); i > 300 && elapsed > 0 {
					t.Fatalf("first attempt with timeout %s: estimated time spent before %s, want 0", r.Remaining, elapsed)
				}
			}
		})
	})

	It("are not inferred for requests without a timeout", func() {
		// Guards against a request without a timeout that is taken for a late retry, or whose
		// remaining time of 0 becomes a sample of the estimate.
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
