package placement

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// storedFormat is the version of the JSON encoding. Decoding fails for other versions.
// Otherwise the unknown fields of another encoding would be ignored, and the result would be
// an empty assignment.
const storedFormat = 1

// packedAssignment is the encoding of an Assignment in the store and in messages.
type packedAssignment struct {
	// Format is storedFormat in JSON. Messages carry the version of their protocol instead.
	Format  int         `json:"format" msgpack:"-"`
	Service string      `json:"service" msgpack:"s"`
	Version uint64      `json:"version" msgpack:"v"`
	Targets targetNames `json:"targets" msgpack:"t"`
	// Partitions is the number of partitions in Owners and Epochs.
	Partitions int `json:"partitions" msgpack:"n"`
	// Owners is the run-length encoding of a code for each partition: 0 without an owner,
	// otherwise the index in Targets plus 1.
	Owners Packed `json:"owners" msgpack:"o"`
	// Epochs is the output of packEpochs.
	Epochs Packed `json:"epochs" msgpack:"e"`
}

// pack returns the encoding of the assignment. It does not check the content and also
// encodes assignments that unpack rejects.
func (a Assignment) pack() packedAssignment {
	return packedAssignment{
		Format: storedFormat, Service: a.Service, Version: a.Version, Targets: a.Targets, Partitions: len(a.Owner),
		Owners: appendRuns(nil, len(a.Owner), func(i int) uint64 { return ownerCode(a.Owner[i]) }),
		Epochs: packEpochs(a.Version, a.Epoch),
	}
}

func ownerCode(o uint16) uint64 {
	if o == NoOwner {
		return 0
	}
	return uint64(o) + 1
}

// unpack checks the content and returns the assignment. A few bytes of input can describe
// all partitions, so it allocates up to 10 bytes * MaxPartitions for an input of any
// length.
func (w packedAssignment) unpack() (Assignment, error) {
	if w.Partitions < 0 || w.Partitions > MaxPartitions {
		return Assignment{}, malformed("number of partitions %d is out of range", w.Partitions)
	}
	if len(w.Targets) > maxTargets || slices.Contains(w.Targets, "") {
		return Assignment{}, malformed("list of %d targets is too long or contains an empty name", len(w.Targets))
	}
	if err := w.Targets.checkUnique(); err != nil {
		return Assignment{}, err
	}
	a := Assignment{Service: w.Service, Version: w.Version, Targets: w.Targets}
	if w.Partitions > 0 {
		a.Owner, a.Epoch = make([]uint16, w.Partitions), make([]uint64, w.Partitions)
	}
	// Code 0 minus 1 is NoOwner as a uint16.
	err := readRuns(w.Owners, w.Partitions, uint64(len(w.Targets))+1, func(i int, code uint64) {
		a.Owner[i] = uint16(code) - 1 //nolint:gosec // code is at most maxTargets
	})
	if err != nil {
		return Assignment{}, fmt.Errorf("owners: %w", err)
	}
	if err := unpackEpochs(w.Epochs, w.Version, a.Epoch); err != nil {
		return Assignment{}, fmt.Errorf("epochs: %w", err)
	}
	return a, nil
}

// MarshalJSON implements json.Marshaler. It returns the encoding for the store.
func (a Assignment) MarshalJSON() ([]byte, error) {
	return json.Marshal(a.pack())
}

// UnmarshalJSON implements json.Unmarshaler for the encoding in the store. Empty Owner and
// Epoch become nil. Errors wrap ErrMalformed and leave the assignment unchanged.
func (a *Assignment) UnmarshalJSON(b []byte) error {
	var w packedAssignment
	if err := json.Unmarshal(b, &w); err != nil {
		return fmt.Errorf("%w: assignment: %w", ErrMalformed, err)
	}
	if w.Format != storedFormat {
		return malformed("assignment: stored format is %d, expected %d", w.Format, storedFormat)
	}
	return a.setPacked(w)
}

// EncodeMsgpack implements msgpack.CustomEncoder. It writes the encoding for messages.
func (a Assignment) EncodeMsgpack(e *msgpack.Encoder) error {
	w := a.pack()
	return e.Encode(&w)
}

// DecodeMsgpack implements msgpack.CustomDecoder for the encoding in messages. Empty Owner
// and Epoch become nil. Errors wrap ErrMalformed and leave the assignment unchanged.
func (a *Assignment) DecodeMsgpack(d *msgpack.Decoder) error {
	var w packedAssignment
	if err := d.Decode(&w); err != nil {
		return fmt.Errorf("%w: assignment: %w", ErrMalformed, err)
	}
	return a.setPacked(w)
}

// setPacked replaces the assignment with the content of w. It returns an error and changes
// nothing if the content is malformed.
func (a *Assignment) setPacked(w packedAssignment) error {
	b, err := w.unpack()
	if err != nil {
		return fmt.Errorf("assignment: %w", err)
	}
	*a = b
	return nil
}
