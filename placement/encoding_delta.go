package placement

import (
	"encoding/binary"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// packedDelta is the encoding of a Delta in messages.
type packedDelta struct {
	Service string      `msgpack:"s"`
	From    uint64      `msgpack:"f"`
	To      uint64      `msgpack:"v"`
	Targets targetNames `msgpack:"t"`
	// Changes holds, for each entry of Targets, the number of its partitions as a varint,
	// and their numbers as signed varint differences that start at 0.
	Changes Packed `msgpack:"c"`
}

// EncodeMsgpack implements msgpack.CustomEncoder. It groups the changes by target, in the
// order in which targets first occur, so that Apply gives the same result for the decoded
// delta, including the order of Targets.
func (d Delta) EncodeMsgpack(e *msgpack.Encoder) error {
	w := packedDelta{Service: d.Service, From: d.From, To: d.To}
	index := map[string]int{}
	var groups [][]int
	for _, c := range d.Changes {
		i, ok := index[c.Target]
		if !ok {
			i = len(groups)
			index[c.Target] = i
			w.Targets, groups = append(w.Targets, c.Target), append(groups, nil)
		}
		groups[i] = append(groups[i], c.Partition)
	}
	for _, ps := range groups {
		w.Changes = binary.AppendUvarint(w.Changes, uint64(len(ps)))
		last := 0
		for _, p := range ps {
			w.Changes = binary.AppendVarint(w.Changes, int64(p)-int64(last))
			last = p
		}
	}
	return e.Encode(&w)
}

// DecodeMsgpack implements msgpack.CustomDecoder. The decoded Changes are grouped by
// target. Errors wrap ErrMalformed and leave the delta unchanged.
func (d *Delta) DecodeMsgpack(dec *msgpack.Decoder) error {
	var w packedDelta
	if err := dec.Decode(&w); err != nil {
		return fmt.Errorf("%w: delta: %w", ErrMalformed, err)
	}
	if w.From > w.To {
		return malformed("delta: version decreases from %d to %d", w.From, w.To)
	}
	if err := w.Targets.checkUnique(); err != nil {
		return fmt.Errorf("delta: %w", err)
	}
	changes, err := w.unpackChanges()
	if err != nil {
		return fmt.Errorf("delta: %w", err)
	}
	*d = Delta{Service: w.Service, From: w.From, To: w.To, Changes: changes}
	return nil
}

// unpackChanges decodes the changes. Partitions out of range are malformed, and so are two
// changes of one partition: the result would depend on their order, which the encoding does
// not preserve.
func (w packedDelta) unpackChanges() ([]Change, error) {
	var seen [MaxPartitions / 64]uint64
	var changes []Change
	b := []byte(w.Changes)
	for _, target := range w.Targets {
		count, err := uvarint(&b)
		if err != nil {
			return nil, err
		}
		if count == 0 || count > uint64(len(b)) {
			return nil, malformed("invalid number of changes %d in %d bytes", count, len(b))
		}
		partition := int64(0)
		for range count {
			step, n := binary.Varint(b)
			if n <= 0 {
				return nil, malformed("varint is truncated or too long")
			}
			b = b[n:]
			if partition += step; partition < 0 || partition >= MaxPartitions {
				return nil, malformed("partition %d is out of range", partition)
			}
			if seen[partition/64]&(1<<(partition%64)) != 0 {
				return nil, malformed("partition %d changes twice", partition)
			}
			seen[partition/64] |= 1 << (partition % 64)
			changes = append(changes, Change{Partition: int(partition), Target: target})
		}
	}
	if len(b) > 0 {
		return nil, malformed("%d unexpected bytes after the changes", len(b))
	}
	return changes, nil
}
