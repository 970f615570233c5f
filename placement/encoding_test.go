package placement_test

import (
	"encoding/json"
	"math"
	"runtime"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/boragegate/boragegate/placement"
	"github.com/boragegate/boragegate/placement/placementtest"

	_ "github.com/boragegate/boragegate/internal/seedtest" // the same random cases in every run
)

const (
	// maxObjectBytes is the maximum size of an object in the store, from section 3.2 of
	// docs/design.md.
	maxObjectBytes = 1_000_000
	// baseAllocBytes covers the owners and epochs of all partitions, which a few bytes can
	// describe, and the string buffer of the msgpack library (1 MiB).
	baseAllocBytes = 10*placement.MaxPartitions + 2<<20
	// allocBytesPerInputByte covers what one byte of input can stand for: the name of a
	// target in a list and a map, or a change, in slices that grow by doubling.
	allocBytesPerInputByte = 200
)

// roundTrip encodes a value to msgpack and decodes it.
func roundTrip[V any](t *rapid.T, in V) (out V) {
	b, err := msgpack.Marshal(&in)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(msgpack.Unmarshal(b, &out)).To(Succeed())
	return out
}

// decoders decode the input as each kind of record.
var decoders = []func([]byte) error{
	func(b []byte) error { return msgpack.Unmarshal(b, &placement.Assignment{}) },
	func(b []byte) error { return msgpack.Unmarshal(b, &placement.Delta{}) },
	func(b []byte) error { return (&placement.Assignment{}).UnmarshalJSON(b) },
}

// drawMalformed draws a record with fields of arbitrary content, which may be damaged.
func drawMalformed(t *rapid.T) []byte {
	packed := rapid.OneOf(rapid.SliceOf(rapid.Byte()), rapid.SliceOf(rapid.SampledFrom([]byte{0, 1, 2, 3, 0x7f, 0x80, 0xff})))
	fields := map[string]any{
		"s": rapid.String().Draw(t, "service"), "f": rapid.Uint64Range(0, 9).Draw(t, "from"), "v": rapid.Uint64().Draw(t, "version"),
		"t": rapid.SliceOfDistinct(rapid.StringN(0, 3, -1), rapid.ID[string]).Draw(t, "targets"),
		"n": rapid.SampledFrom([]int{-1, 0, 1, 5, placement.MaxPartitions, placement.MaxPartitions + 1, math.MaxInt}).Draw(t, "partitions"),
		"o": packed.Draw(t, "owners"), "e": packed.Draw(t, "epochs"), "c": packed.Draw(t, "changes"),
	}
	var b []byte
	if rapid.Bool().Draw(t, "JSON") {
		jsonFields := map[string]any{"format": 1, "service": fields["s"], "version": fields["v"], "targets": fields["t"], "partitions": fields["n"], "owners": fields["o"], "epochs": fields["e"]}
		b, _ = json.Marshal(jsonFields)
	} else {
		b, _ = msgpack.Marshal(fields)
	}
	// Damage lengths and truncate values.
	if rapid.Bool().Draw(t, "damaged") && len(b) > 0 {
		b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		b = b[:rapid.IntRange(0, len(b)).Draw(t, "length")]
	}
	return b
}

var _ = Describe("Encoding of assignments and deltas", func() {
	It("decodes every assignment as it was encoded", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			a := placementtest.DrawAssignment(t)
			NewWithT(t).Expect(roundTrip(t, a)).To(Equal(a))
			b, err := json.Marshal(a)
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			var stored placement.Assignment
			NewWithT(t).Expect(json.Unmarshal(b, &stored)).To(Succeed())
			NewWithT(t).Expect(stored).To(Equal(a))
		})
	})

	It("decodes every delta with the same changes and the same result, including the order of targets", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			d := placementtest.DrawDelta(t)
			decoded := roundTrip(t, d)
			a := placement.NewAssignment(d.Service, placement.MaxPartitions)
			NewWithT(t).Expect(a.WithChanges(d.To, decoded.Changes)).To(Equal(a.WithChanges(d.To, d.Changes)))
			byPartition := func(x, y placement.Change) int { return x.Partition - y.Partition }
			slices.SortFunc(d.Changes, byPartition)
			slices.SortFunc(decoded.Changes, byPartition)
			NewWithT(t).Expect(decoded).To(Equal(d))
		})
	})

	It("neither panics on malformed input, nor allocates memory out of proportion to its length, nor returns an unusable assignment", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			input := rapid.OneOf(rapid.Custom(drawMalformed), rapid.SliceOf(rapid.Byte())).Draw(t, "input")
			limit := uint64(baseAllocBytes + allocBytesPerInputByte*len(input))
			for _, decode := range decoders {
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				_ = decode(input)
				runtime.ReadMemStats(&after)
				NewWithT(t).Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<=", limit))
			}
			var a placement.Assignment
			if msgpack.Unmarshal(input, &a) == nil || json.Unmarshal(input, &a) == nil {
				for p := range a.Owner {
					_ = a.OwnerOf(p)
					NewWithT(t).Expect(a.Epoch[p]).To(BeNumerically("<=", a.Version))
				}
			}
		})
	})

	DescribeTable("returns ErrMalformed for content out of range",
		func(v any) {
			b, err := msgpack.Marshal(v)
			Expect(err).NotTo(HaveOccurred())
			into := placement.Assignment{Service: "unchanged"}
			err = msgpack.Unmarshal(b, &into)
			if _, ok := v.(placement.Delta); ok {
				err = msgpack.Unmarshal(b, &placement.Delta{})
			} else {
				b, _ = json.Marshal(v)
				Expect(into.UnmarshalJSON(b)).To(MatchError(placement.ErrMalformed))
			}
			Expect(err).To(MatchError(placement.ErrMalformed))
			Expect(into).To(Equal(placement.Assignment{Service: "unchanged"}))
		},
		Entry("owner outside the targets", placement.Assignment{Targets: []string{"t"}, Owner: []uint16{1}, Epoch: []uint64{0}}),
		Entry("fewer epochs than owners", placement.Assignment{Owner: []uint16{placement.NoOwner}}),
		Entry("more epochs than owners", placement.Assignment{Epoch: []uint64{0}}),
		Entry("epoch after the version", placement.Assignment{Version: 4, Owner: []uint16{placement.NoOwner}, Epoch: []uint64{5}}),
		Entry("two targets of one name", placement.Assignment{Targets: []string{"t", "t"}}),
		Entry("target without a name", placement.Assignment{Targets: []string{""}}),
		Entry("too many partitions", *placement.NewAssignment("s", placement.MaxPartitions+1)),
		Entry("too many targets", placement.Assignment{Targets: make([]string, placement.MaxPartitions)}),
		Entry("partition below 0", placement.Delta{Changes: []placement.Change{{Partition: -1}}}),
		Entry("partition above the maximum", placement.Delta{Changes: []placement.Change{{Partition: placement.MaxPartitions}}}),
		Entry("partition difference that overflows", placement.Delta{Changes: []placement.Change{{Partition: 1}, {Partition: math.MinInt}}}),
		Entry("two owners of one partition", placement.Delta{Changes: []placement.Change{{Partition: 1, Target: "a"}, {Partition: 1, Target: "b"}}}),
		Entry("version that decreases", placement.Delta{From: 2, To: 1}),
	)

	It("returns ErrMalformed for an unknown stored format rather than an empty assignment", func() {
		for _, b := range []string{`{}`, `null`, `{"service":"s","version":1,"owner":[0],"epoch":[1]}`, `{"format":2}`} {
			Expect(new(placement.Assignment).UnmarshalJSON([]byte(b))).To(MatchError(placement.ErrMalformed), b)
		}
	})

	It("stores the assignment of 65,536 partitions to 676 targets within the maximum object size even if every partition has a different epoch", func() {
		a := placement.NewAssignment("design", placement.MaxPartitions)
		for _, x := range newTargets(676, 7) {
			a.Targets = append(a.Targets, x.Name)
		}
		for p := range a.Owner {
			a.Owner[p], a.Epoch[p] = uint16(p*7919%676), uint64(p*7919%placement.MaxPartitions)*70 //nolint:gosec // small
		}
		a.Version = 7 << 32
		b, err := json.Marshal(a)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(b)).To(BeNumerically("<", maxObjectBytes))
	})
})
