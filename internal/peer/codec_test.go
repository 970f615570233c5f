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

	_ "github.com/boragegate/boragegate/internal/seedtest" // fixes the seed, so that every run has the same cases
)

// maxHeartbeatBytes is the size of a heartbeat, in bytes, on which docs/design.md,
// section 3.1, bases its calculations.
const maxHeartbeatBytes = 50

func mustMarshal(v any) []byte {
	GinkgoHelper()
	b, err := marshal(v)
	Expect(err).NotTo(HaveOccurred())
	return b
}

// decodeGeneric encodes a message and decodes it into maps and lists, so that omitted
// lists compare equal whether they were nil or empty.
func decodeGeneric(msg ownership.Message) (v any) {
	GinkgoHelper()
	Expect(msgpack.Unmarshal(mustMarshal(msg), &v)).To(Succeed())
	return v
}

// validRecords generates valid values of the struct types whose decoders reject
// out-of-range content. Loads are 32-bit floats, so that encoding them in 4 bytes loses
// nothing.
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

// generators has one generator for each message type. They draw any value, with
// out-of-range content except in the types of validRecords.
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

// uncheckedGenerators has generators of arbitrary values for the message types that contain
// types of validRecords.
var uncheckedGenerators = []func(*rapid.T) ownership.Message{
	drawAnyMessage[ownership.AssignmentUpdate], drawAnyMessage[ownership.LoadUpdate], drawAnyMessage[ownership.AssignmentState], drawAnyMessage[ownership.Proposal],
}

func drawAnyMessage[M ownership.Message](t *rapid.T) ownership.Message {
	return rapid.Make[M]().Draw(t, "message")
}

var _ = Describe("codec", func() {
	It("has a generator for each message type, so that no type goes untested", func() {
		Expect(generators).To(HaveLen(len(messageTypes)))
		Expect(typeNumbers).To(HaveLen(len(messageTypes)), "two type numbers for one message type")
	})

	It("decodes every message as it was encoded", func() {
		// Guards against fields of messages that are lost or altered when they are decoded.
		// A field that is not encoded goes unnoticed, because two encodings are compared.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			msg := rapid.SampledFrom(generators).Draw(t, "type")(t)
			frame, typeNumber, err := encode(msg)
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			f, err := framing.Read(bytes.NewReader(frame), framing.MaxBytes)
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			decoded, err := messageTypes[typeNumber].decode(f.Body)
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			NewWithT(t).Expect(reflect.TypeOf(decoded)).To(Equal(reflect.TypeOf(msg)))
			NewWithT(t).Expect(decodeGeneric(decoded)).To(Equal(decodeGeneric(msg)))
		})
	})

	It("decodes assignments, deltas and loads of any content as they were encoded, or rejects them with a typed error", func() {
		// Guards against values outside the valid range that are altered without an error
		// when they are decoded.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			msg := rapid.SampledFrom(uncheckedGenerators).Draw(t, "type")(t)
			decoded, err := messageTypes[typeNumbers[reflect.TypeOf(msg)]].decode(mustMarshal(msg))
			if err != nil {
				NewWithT(t).Expect(err).To(MatchError(ErrMalformed))
				NewWithT(t).Expect(err).To(MatchError(placement.ErrMalformed))
				return
			}
			NewWithT(t).Expect(decodeGeneric(decoded)).To(Equal(decodeGeneric(msg)))
		})
	})

	It("keeps heartbeats, and acks without assignment versions, within the size that the design assumes", func() {
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

	It("encodes an assignment with the maximum number of partitions in one frame", func() {
		// Guards against a service whose assignment cannot be sent because it exceeds the
		// maximum size of a frame.
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

	DescribeTable("rejects content that would crash the receiver or corrupt its state",
		func(msg ownership.Message) {
			_, err := decode(framing.Frame{Type: typeNumbers[reflect.TypeOf(msg)], Body: mustMarshal(msg)})
			Expect(err).To(MatchError(ErrMalformed))
		},
		Entry("no cell", ownership.CellUpdate{}),
		Entry("two members with the same ID", ownership.CellUpdate{Cell: &ownership.Cell{Members: []ownership.Member{{ID: "a"}, {ID: "a"}}}}),
		Entry("owner that is not in the list of targets", ownership.AssignmentUpdate{Full: &placement.Assignment{Owner: []uint16{1}, Epoch: []uint64{1}, Targets: []string{"t"}}}),
		Entry("owner without an epoch", ownership.AssignmentUpdate{Full: &placement.Assignment{Owner: []uint16{placement.NoOwner}}}),
		Entry("delta with a partition above the maximum", ownership.AssignmentUpdate{Delta: placement.Delta{Changes: []placement.Change{{Partition: maxPartitions}}}}),
		Entry("assignment state with an owner but no epoch", ownership.AssignmentState{Highest: &placement.Assignment{Owner: []uint16{0}, Targets: []string{"t"}}}),
		Entry("proposal with an invalid cell", ownership.Proposal{Cell: &ownership.Cell{Members: []ownership.Member{{}}}}),
		Entry("negative partition", ownership.ReleaseRequest{Partitions: []int{-1}}),
		Entry("unknown target state", ownership.TargetReport{State: "gone"}),
		Entry("load that is not a number", ownership.LoadUpdate{Reports: []ownership.LoadReport{{Partitions: []ownership.PartitionLoad{{Load: math.NaN()}}}}}),
		Entry("infinite load of a key", ownership.LoadUpdate{Reports: []ownership.LoadReport{{HotKeys: []ownership.KeyLoad{{Load: math.Inf(1)}}}}}),
		Entry("join without an ID", ownership.JoinRequest{}),
	)

	DescribeTable("rejects malformed bodies before they are decoded",
		// Guards against bodies that are accepted although they have trailing bytes or more
		// than maxElements values. The msgpack library rejects the other bodies itself, so
		// they do not show whether they were rejected before they were decoded.
		func(b []byte) {
			_, err := decode(framing.Frame{Type: 1, Body: b})
			Expect(err).To(MatchError(ErrMalformed))
		},
		Entry("empty", []byte{}),
		Entry("trailing bytes", []byte{0x80, 0x00}),
		Entry("string instead of a map", []byte{0xa1, 'x'}),
		Entry("msgpack code that is never used", []byte{0xc1}),
		Entry("extension", []byte{0xd4, 0x01, 0x00}),
		Entry("array with a declared length of 4 billion", []byte{0xdd, 0xff, 0xff, 0xff, 0xff}),
		Entry("string with a declared length of 4 billion", []byte{0xdb, 0xff, 0xff, 0xff, 0xff, 'x'}),
		Entry("truncated length", []byte{0xde, 0x01}),
		Entry("a million nested arrays in an unknown field", append([]byte{0x81, 0xa1, 'z'}, bytes.Repeat([]byte{0x91}, 1<<20-10)...)),
		Entry("a million values in an unknown field", append([]byte{0x81, 0xa1, 'z', 0xdd, 0x00, 0x0f, 0x00, 0x00}, make([]byte, 0xf0000)...)),
	)
})

// FuzzFrames guards against input that crashes the decoder, that is accepted but cannot
// be encoded again (unless the frame becomes too large), or that is rejected without a
// typed error.
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
					t.Fatalf("rejected with an untyped error: %v", err)
				}
				continue
			}
			frame, _, err := encode(msg)
			if err != nil && !errors.Is(err, framing.ErrSize) {
				t.Fatalf("accepted %T cannot be encoded again: %v", msg, err)
			}
			if err == nil {
				if _, err := framing.Read(bytes.NewReader(frame), framing.MaxBytes); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}
