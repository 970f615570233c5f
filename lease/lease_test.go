package lease

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/boragegate/boragegate/internal/seedtest" // fixes the random seed
)

func TestLease(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lease")
}

const ms = time.Millisecond

var _ = Describe("a holder", func() {
	It("loses its lease when time passes, even if the process was paused", func() {
		// Guards against a holder that uses its lease after the grantor considers it expired.
		h := NewHolder(DefaultConfig)
		Expect(h.Renew(10*ms, 5_000_000)).To(BeTrue())
		Expect(h.Valid(504 * ms)).To(BeTrue())
		Expect(h.Valid(505 * ms)).To(BeFalse())
	})
	It("does not extend its lease for a stamp from the future or beyond the duration after an old one", func() {
		// Guards against a lease that a wrong or delayed renewal extends beyond its expiry at the
		// grantor.
		h := NewHolder(DefaultConfig)
		Expect(h.Renew(10*ms, 11_000_000)).To(BeFalse())
		Expect(h.Renew(time.Second, 5_000_000)).To(BeFalse())
		Expect(h.Expiry()).To(Equal(505 * ms))
	})
	It("has no lease after a revocation", func() {
		// Guards against a holder that keeps serving after it has given its lease back.
		h := NewHolder(DefaultConfig)
		h.Renew(10*ms, 5_000_000)
		h.Revoke()
		Expect(h.Valid(10 * ms)).To(BeFalse())
	})
})

var _ = Describe("a grantor", func() {
	It("assumes that a lease was granted just before it started", func() {
		// Guards against two holders after the grantor was replaced.
		g := NewGrantor(DefaultConfig, time.Second)
		Expect(g.Expired(time.Second + 514*ms)).To(BeFalse())
		Expect(g.Expired(time.Second + 515*ms)).To(BeTrue())
	})
	It("does not extend the lease for a stamp that it has not sent back", func() {
		// Guards against leases that never expire because the holder keeps sending stamps
		// although it is granted nothing.
		g := NewGrantor(DefaultConfig, 0)
		g.Receive(400*ms, 7)
		Expect(g.Expired(515 * ms)).To(BeTrue())
		_, ok := g.Grant()
		Expect(ok).To(BeTrue())
		Expect(g.Expiry()).To(Equal(915 * ms))
	})
	It("has no stamp to send back after a reset, and keeps the expiry of the lease", func() {
		// Guards against the stamp of an earlier lifetime, which a restarted holder could accept
		// as its own.
		g := NewGrantor(DefaultConfig, 0)
		g.Receive(100*ms, 7)
		g.Grant()
		g.ForgetStamps()
		_, ok := g.Grant()
		Expect(ok).To(BeFalse())
		Expect(g.Expiry()).To(Equal(615 * ms))
	})
})

// TestExpiredAtGrantorImpliesInvalidAtHolder guards against a grantor that considers a lease
// expired while its holder still has it. The rates of the clocks differ within the bound, and
// messages are delayed, lost, duplicated and reordered.
func TestExpiredAtGrantorImpliesInvalidAtHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawClockRate := func(name string) float64 { return 1 + float64(rapid.IntRange(-5000, 5000).Draw(t, name))/1e6 }
		holderRate, grantorRate := drawClockRate("holder"), drawClockRate("grantor")
		holderAt := func(now time.Duration) Instant { return time.Second + Instant(float64(now)*holderRate) }
		grantorAt := func(now time.Duration) Instant { return Instant(float64(now) * grantorRate) }
		h, g := NewHolder(DefaultConfig), NewGrantor(DefaultConfig, 0)
		var sentStamps, renewals []Stamp
		for now := time.Duration(0); now < 5*time.Second; now += time.Duration(rapid.IntRange(1, 150).Draw(t, "wait")) * ms {
			switch rapid.IntRange(0, 3).Draw(t, "do") {
			case 0:
				sentStamps = append(sentStamps, h.Stamp(holderAt(now)))
			case 1:
				if len(sentStamps) > 0 {
					g.Receive(grantorAt(now), rapid.SampledFrom(sentStamps).Draw(t, "reply"))
				}
			case 2:
				if s, ok := g.Grant(); ok {
					renewals = append(renewals, s)
				}
			case 3:
				if len(renewals) > 0 {
					h.Renew(holderAt(now), rapid.SampledFrom(renewals).Draw(t, "renewal"))
				}
			}
			if g.Expired(grantorAt(now)) && h.Valid(holderAt(now)) {
				t.Fatalf("at %v the lease has expired at the grantor but is valid at the holder until %v", now, h.Expiry())
			}
		}
	})
}
