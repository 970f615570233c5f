package retry

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/boragegate/boragegate/internal/seedtest" // fixes the random seed
)

func TestRetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retry")
}

var _ = Describe("retry", func() {
	It("keeps retries within the ratio and the burst", func() {
		// Guards against retries that multiply the load of a failing service.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			b := NewBudget(DefaultRatio, DefaultBurst)
			requests, retries := 0, 0
			for _, first := range rapid.SliceOfN(rapid.Bool(), 1, 500).Draw(t, "requests") {
				if first {
					b.RecordRequest()
					requests++
				} else if b.Allow() {
					retries++
				}
			}
			if float64(retries) > DefaultRatio*float64(requests)+DefaultBurst+1e-6 {
				t.Fatalf("%d retries allowed for %d requests, above the budget", retries, requests)
			}
		})
	})

	It("returns delays between half and all of the exponential bound", func() {
		// Guards against immediate retries, and against a delay that overflows at a high number of
		// attempts.
		b := Backoff{Base: 4 * time.Millisecond, Max: 50 * time.Millisecond}
		for attempt, longest := range map[int]time.Duration{0: 4, 1: 8, 3: 32, 4: 50, 1000: 50} {
			Expect(b.Delay(attempt)).To(And(
				BeNumerically(">=", longest*time.Millisecond/2), BeNumerically("<=", longest*time.Millisecond)))
		}
	})
})
