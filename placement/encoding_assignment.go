package placement

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// storedFormat is the number of the JSON form. A reader refuses other numbers,
// so that it does not take a form it does not know for an empty assignment.
const storedFormat = 1

// packedAssignment is the form of an Assignment in the store and in messages.
type packedAssignment struct {
	// Format is storedFormat in JSON; frames have a version of their own.
	Format  int         `json:"format" msgpack:"-"`
	Service string      `json:"service" msgpack:"s"`
	Version uint64      `json:"version" msgpack:"v"`
	Targets targetNames `json:"targets" msgpack:"t"`
	// Partitions is the number of partitions that Owners and Epochs cover.
	Partitions int `json:"partitions" msgpack:"n"`
	// Owners has a code for each partition: 0 without an owner, otherwise the index in Targets plus 1.
	Owners Packed `json:"owners" msgpack:"o"`
	Epochs Packed `json:"epochs" msgpack:"e"`
}

// pack also encodes an assignment that unpack refuses.
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

// unpack checks the content and returns the assignment. A few bytes may cover
// all partitions, so it allocates up to 10 bytes * MaxPartitions in any case.
func (w packedAssignment) unpack() (Assignment, error) {
	if w.Partitions < 0 || w.Partitions > MaxPartitions {
		return Assignment{}, malformed("%d partitions", w.Partitions)
	}
	if len(w.Targets) > maxTargets || slices.Contains(w.Targets, "") {
		return Assignment{}, malformed("%d targets, or one without a name", len(w.Targets))
	}
	if err := w.Targets.checkUnique(); err != nil {
		return Assignment{}, err
	}
	a := Assignment{Service: w.Service, Version: w.Version, Targets: w.Targets}
	if w.Partitions > 0 {
		a.Owner, a.Epoch = make([]uint16, w.Partitions), make([]uint64, w.Partitions)
	}
	// NoOwner is code 0 minus 1 as a uint16.
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

// MarshalJSON returns the form for the store.
func (a Assignment) MarshalJSON() ([]byte, error) {
	return json.Marshal(a.pack())
}

// UnmarshalJSON reads the form for the store. Empty Owner and Epoch become nil. Errors
// wrap ErrMalformed and leave the assignment unchanged.
func (a *Assignment) UnmarshalJSON(b []byte) error {
	var w packedAssignment
	if err := json.Unmarshal(b, &w); err != nil {
		return fmt.Errorf("%w: assignment: %w", ErrMalformed, err)
	}
	if w.Format != storedFormat {
		return malformed("assignment: format %d, not %d", w.Format, storedFormat)
	}
	return a.setPacked(w)
}

// EncodeMsgpack writes the form for messages.
func (a Assignment) EncodeMsgpack(e *msgpack.Encoder) error {
	w := a.pack()
	return e.Encode(&w)
}

// DecodeMsgpack reads the form for messages. Empty Owner and Epoch become nil. Errors
// wrap ErrMalformed and leave the assignment unchanged.
func (a *Assignment) DecodeMsgpack(d *msgpack.Decoder) error {
	var w packedAssignment
	if err := d.Decode(&w); err != nil {
		return fmt.Errorf("%w: assignment: %w", ErrMalformed, err)
	}
	return a.setPacked(w)
}

func (a *Assignment) setPacked(w packedAssignment) error {
	b, err := w.unpack()
	if err != nil {
		return fmt.Errorf("assignment: %w", err)
	}
	*a = b
	return nil
}
