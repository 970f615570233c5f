package ownership

import (
	"math"
	"runtime"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/boragegate/boragegate/placement"

	_ "github.com/boragegate/boragegate/internal/seedtest" // the same cases in every run
)

// loadPrecision is the relative rounding error of a 4-byte float.
const loadPrecision = 1.0 / (1 << 24)

var _ = Describe("Encoding of load reports", func() {
	It("preserves the order of partitions, and loads to the precision of a 4-byte float", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			r := LoadReport{Target: rapid.String().Draw(t, "target"), HotKeys: []KeyLoad{{Key: "k", Partition: 3, Load: 0.1}}}
			for _, p := range rapid.SliceOf(rapid.IntRange(0, placement.MaxPartitions-1)).Draw(t, "partitions") {
				r.Partitions = append(r.Partitions, PartitionLoad{Partition: p, Load: rapid.Float64Range(0, 1e6).Draw(t, "load")})
			}
			b, err := msgpack.Marshal(r)
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			var decoded LoadReport
			NewWithT(t).Expect(msgpack.Unmarshal(b, &decoded)).To(Succeed())
			NewWithT(t).Expect(decoded.Partitions).To(HaveLen(len(r.Partitions)))
			for i, p := range r.Partitions {
				// Subnormal 4-byte floats are less precise.
				NewWithT(t).Expect(decoded.Partitions[i].Load).To(BeNumerically("~", p.Load, p.Load*loadPrecision+math.SmallestNonzeroFloat32))
				decoded.Partitions[i].Load = p.Load
			}
			NewWithT(t).Expect(decoded).To(Equal(r))
		})
	})

	It("neither panics on malformed input nor allocates much more memory than the input is long", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			b := append([]byte("\x82\xa1p\xc4"), rapid.SliceOf(rapid.SampledFrom([]byte{0, 1, 0x3f, 0x40, 0x7f, 0x80, 0xff})).Draw(t, "loads")...)
			if rapid.Bool().Draw(t, "keys") {
				// The array header claims a length of 4 billion.
				b = append([]byte("\x82\xa1k\xdd\xff\xff\xff\xff"), rapid.SliceOf(rapid.SampledFrom([]byte{0x80, 0x90, 0xc0})).Draw(t, "values")...)
			}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_ = msgpack.Unmarshal(b, &LoadReport{})
			runtime.ReadMemStats(&after)
			NewWithT(t).Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<=", 64<<10+200*len(b)))
		})
	})

	DescribeTable("rejects values out of range with a typed error and leaves the report unchanged",
		func(p ...PartitionLoad) {
			b, err := msgpack.Marshal(LoadReport{Partitions: p})
			Expect(err).NotTo(HaveOccurred())
			r := LoadReport{Target: "unchanged"}
			Expect(msgpack.Unmarshal(b, &r)).To(MatchError(placement.ErrMalformed))
			Expect(r).To(Equal(LoadReport{Target: "unchanged"}))
		},
		Entry("partition below 0", PartitionLoad{Partition: -1}),
		Entry("partition above the maximum", PartitionLoad{Partition: placement.MaxPartitions}),
		Entry("difference of partitions that overflows", PartitionLoad{Partition: 1}, PartitionLoad{Partition: math.MinInt}),
		Entry("negative load", PartitionLoad{Load: -1}),
		Entry("load that is not a number", PartitionLoad{Load: math.NaN()}),
		Entry("load beyond the range of a 4-byte float", PartitionLoad{Load: math.MaxFloat64}),
	)
})
