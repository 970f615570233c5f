package peer

import (
	"bytes"
	"errors"
	"math"
	"reflect"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/boragegate/boragegate/internal/framing"
	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/ownership"
	"github.com/boragegate/boragegate/placement"
	"github.com/boragegate/boragegate/placement/placementtest"

	_ "github.com/boragegate/boragegate/internal/seedtest" // the same cases in every run
)

// maxHeartbeatBytes is the size of a heartbeat that section 3.1 of the design page calculates with.
const maxHeartbeatBytes = 50

func mustMarshal(v any) []byte {
	GinkgoHelper()
	b, err := marshal(v)
	Expect(err).NotTo(HaveOccurred())
	return b
}

// decodeGeneric returns the encoded form of a message as maps and lists, in which
// omitted lists are alike whether they were nil or empty.
func decodeGeneric(msg ownership.Message) (v any) {
	GinkgoHelper()
	Expect(msgpack.Unmarshal(mustMarshal(msg), &v)).To(Succeed())
	return v
}

// validRecords generates the records whose decoders refuse content out of range. Load
// is exact in 4 bytes.
var validRecords = rapid.MakeConfig{Types: map[reflect.Type]*rapid.Generator[any]{
	reflect.TypeFor[placement.Assignment](): rapid.Custom(placementtest.DrawAssignment).AsAny(),
	reflect.TypeFor[placement.Delta]():      rapid.Custom(placementtest.DrawDelta).AsAny(),
	reflect.TypeFor[ownership.PartitionLoad](): rapid.Custom(func(t *rapid.T) ownership.PartitionLoad {
		return ownership.PartitionLoad{
			Partition: rapid.IntRange(0, maxPartitions-1).Draw(t, "partition"),
			Load:      float64(rapid.Float32Range(0, math.MaxFloat32).Draw(t, "load")),
		}
	}).AsAny(),
}}

// generators draw any value of each message type, out-of-range content included
// unless the type's decoder refuses it.
var generators = []func(*rapid.T) ownership.Message{
	drawMessage[ownership.Heartbeat], drawMessage[ownership.HeartbeatAck], drawMessage[ownership.JoinRequest], drawMessage[ownership.LeaveRequest],
	drawMessage[ownership.CellUpdate], drawMessage[ownership.AssignmentUpdate], drawMessage[ownership.AssignmentRequest],
	drawMessage[ownership.ReleaseRequest], drawMessage[ownership.TargetReport], drawMessage[ownership.LoadUpdate],
	drawMessage[ownership.AssignmentState], drawMessage[ownership.Proposal], drawMessage[ownership.ProposalAck],
	drawMessage[ownership.ControlEnded], drawMessage[ownership.TableRequest], drawMessage[ownership.TableUpdate],
}

func drawMessage[M ownership.Message](t *rapid.T) ownership.Message {
	return rapid.MakeCustom[M](validRecords).Draw(t, "message")
}

// uncheckedGenerators draw any value of the types with records that their decoders check.
var uncheckedGenerators = []func(*rapid.T) ownership.Message{
	drawAnyMessage[ownership.AssignmentUpdate], drawAnyMessage[ownership.LoadUpdate], drawAnyMessage[ownership.AssignmentState], drawAnyMessage[ownership.Proposal],
}

func drawAnyMessage[M ownership.Message](t *rapid.T) ownership.Message {
	return rapid.Make[M]().Draw(t, "message")
}

var _ = Describe("codec", func() {
	It("has a generator for each message type, so that no type goes untested", func() {
		Expect(generators).To(HaveLen(len(messageTypes)))
		Expect(typeNumbers).To(HaveLen(len(messageTypes)), "two numbers for one type")
	})

	It("returns every message as it was sent", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			msg := rapid.SampledFrom(generators).Draw(t, "type")(t)
			frame, kind, err := encode(msg)
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			f, err := framing.Read(bytes.NewReader(frame), framing.MaxBytes)
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			again, err := messageTypes[kind].decode(f.Body)
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			NewWithT(t).Expect(reflect.TypeOf(again)).To(Equal(reflect.TypeOf(msg)))
			NewWithT(t).Expect(decodeGeneric(again)).To(Equal(decodeGeneric(msg)))
		})
	})

	It("returns assignments, deltas and loads of any content as they were sent, or refuses them with a typed error", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			msg := rapid.SampledFrom(uncheckedGenerators).Draw(t, "type")(t)
			again, err := messageTypes[typeNumbers[reflect.TypeOf(msg)]].decode(mustMarshal(msg))
			if err != nil {
				NewWithT(t).Expect(err).To(MatchError(ErrMalformed))
				NewWithT(t).Expect(err).To(MatchError(placement.ErrMalformed))
				return
			}
			NewWithT(t).Expect(decodeGeneric(again)).To(Equal(decodeGeneric(msg)))
		})
	})

	It("keeps heartbeats, and acks without assignment versions, within the size that the byte budget assumes", func() {
		stamp, incarnation := lease.Stamp(30*24*time.Hour), uuid.NewString()
		for _, m := range []ownership.Message{
			omitIncarnation(ownership.Heartbeat{Stamp: stamp, CellVersion: 3<<32 | 900, Incarnation: incarnation, InContact: true}, incarnation),
			ownership.HeartbeatAck{Stamp: stamp, CellVersion: 3<<32 | 900},
		} {
			frame, _, err := encode(m)
			Expect(err).NotTo(HaveOccurred())
			Expect(len(frame)).To(BeNumerically("<=", maxHeartbeatBytes))
			GinkgoWriter.Printf("%T: %d bytes\n", m, len(frame))
		}
	})

	It("carries an assignment of the target size in one frame", func() {
		a := placement.NewAssignment("route", maxPartitions)
		a.Version = 1 << 53
		for i := range a.Epoch {
			a.Targets = []string{"r1"}
			a.Owner[i], a.Epoch[i] = 0, 1<<53-uint64(i) //nolint:gosec // not negative
		}
		frame, _, err := encode(ownership.AssignmentUpdate{Full: a})
		Expect(err).NotTo(HaveOccurred())
		f, err := framing.Read(bytes.NewReader(frame), framing.MaxBytes)
		Expect(err).NotTo(HaveOccurred())
		Expect(decode(f)).To(Equal(ownership.AssignmentUpdate{Full: a}))
	})

	DescribeTable("refuses content that would crash the receiver or change its state wrongly",
		func(msg ownership.Message) {
			_, err := decode(framing.Frame{Kind: typeNumbers[reflect.TypeOf(msg)], Body: mustMarshal(msg)})
			Expect(err).To(MatchError(ErrMalformed))
		},
		Entry("no cell", ownership.CellUpdate{}),
		Entry("two members of one ID", ownership.CellUpdate{Cell: &ownership.Cell{Members: []ownership.Member{{ID: "a"}, {ID: "a"}}}}),
		Entry("owner without a target", ownership.AssignmentUpdate{Full: &placement.Assignment{Owner: []uint16{1}, Epoch: []uint64{1}, Targets: []string{"t"}}}),
		Entry("owner without an epoch", ownership.AssignmentUpdate{Full: &placement.Assignment{Owner: []uint16{placement.NoOwner}}}),
		Entry("delta outside the partitions", ownership.AssignmentUpdate{Delta: placement.Delta{Changes: []placement.Change{{Partition: maxPartitions}}}}),
		Entry("state without owners' epochs", ownership.AssignmentState{Highest: &placement.Assignment{Owner: []uint16{0}, Targets: []string{"t"}}}),
		Entry("proposal with a faulty cell", ownership.Proposal{Cell: &ownership.Cell{Members: []ownership.Member{{}}}}),
		Entry("negative partition", ownership.ReleaseRequest{Partitions: []int{-1}}),
		Entry("unknown target state", ownership.TargetReport{State: "gone"}),
		Entry("load that is not a number", ownership.LoadUpdate{Reports: []ownership.LoadReport{{Partitions: []ownership.PartitionLoad{{Load: math.NaN()}}}}}),
		Entry("endless load of a key", ownership.LoadUpdate{Reports: []ownership.LoadReport{{HotKeys: []ownership.KeyLoad{{Load: math.Inf(1)}}}}}),
		Entry("join without an ID", ownership.JoinRequest{}),
	)

	DescribeTable("refuses malformed bodies before they are decoded",
		func(b []byte) {
			_, err := decode(framing.Frame{Kind: 1, Body: b})
			Expect(err).To(MatchError(ErrMalformed))
		},
		Entry("empty", []byte{}),
		Entry("trailing bytes", []byte{0x80, 0x00}),
		Entry("another shape", []byte{0xa1, 'x'}),
		Entry("unused code", []byte{0xc1}),
		Entry("extension", []byte{0xd4, 0x01, 0x00}),
		Entry("array of 4 billion", []byte{0xdd, 0xff, 0xff, 0xff, 0xff}),
		Entry("string of 4 billion", []byte{0xdb, 0xff, 0xff, 0xff, 0xff, 'x'}),
		Entry("length cut off", []byte{0xde, 0x01}),
		Entry("a million nested arrays in an unknown field", append([]byte{0x81, 0xa1, 'z'}, bytes.Repeat([]byte{0x91}, 1<<20-10)...)),
		Entry("a million values in an unknown field", append([]byte{0x81, 0xa1, 'z', 0xdd, 0x00, 0x0f, 0x00, 0x00}, make([]byte, 0xf0000)...)),
	)
})

// FuzzFrames guards against input that crashes the decoder, is accepted without
// being well-formed, or is refused without a typed error.
func FuzzFrames(f *testing.F) {
	f.Fuzz(func(t *testing.T, input []byte) {
		r := bytes.NewReader(input)
		for r.Len() > 0 {
			in, err := framing.Read(r, framing.MaxBytes)
			if err != nil {
				return
			}
			msg, err := decode(in)
			if err != nil {
				if rejectionReason(err) == reasonBroken {
					t.Fatalf("untyped error %v", err)
				}
				continue
			}
			frame, _, err := encode(msg)
			if err != nil && !errors.Is(err, framing.ErrSize) {
				t.Fatalf("accepted %T cannot be encoded: %v", msg, err)
			}
			if err == nil {
				if _, err := framing.Read(bytes.NewReader(frame), framing.MaxBytes); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}
