package ownership

import (
	"encoding/binary"
	"fmt"
	"math"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/boragegate/boragegate/placement"
)

// encodedLoadBytes is the size of an encoded load: a 4-byte float, exact to 7 digits.
const encodedLoadBytes = 4

// encodedReport is the form of a LoadReport in messages.
type encodedReport struct {
	Target string `msgpack:"t"`
	// Partitions has for each entry the partition as a signed varint difference
	// from the one before, and the load.
	Partitions placement.Packed `msgpack:"p"`
	HotKeys    keyLoads         `msgpack:"k"`
}

// keyLoads grows with the input when it is decoded. The library allocates the
// length that the input states.
type keyLoads []KeyLoad

// DecodeMsgpack reads an array.
func (l *keyLoads) DecodeMsgpack(d *msgpack.Decoder) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	if *l = nil; n >= 0 {
		*l = keyLoads{}
	}
	for range n {
		var k KeyLoad
		if err := d.Decode(&k); err != nil {
			return err
		}
		*l = append(*l, k)
	}
	return nil
}

// EncodeMsgpack writes the form for messages. It takes about 6 bytes a partition.
func (r LoadReport) EncodeMsgpack(e *msgpack.Encoder) error {
	w := encodedReport{Target: r.Target, HotKeys: r.HotKeys}
	last := 0
	for _, p := range r.Partitions {
		w.Partitions = binary.AppendVarint(w.Partitions, int64(p.Partition)-int64(last))
		w.Partitions = binary.LittleEndian.AppendUint32(w.Partitions, math.Float32bits(float32(p.Load)))
		last = p.Partition
	}
	return e.Encode(&w)
}

// DecodeMsgpack reads the form for messages. Errors wrap placement.ErrMalformed
// and leave the report unchanged.
func (r *LoadReport) DecodeMsgpack(d *msgpack.Decoder) error {
	var w encodedReport
	if err := d.Decode(&w); err != nil {
		return fmt.Errorf("%w: load report: %w", placement.ErrMalformed, err)
	}
	loads, err := decodeLoads(w.Partitions)
	if err != nil {
		return err
	}
	*r = LoadReport{Target: w.Target, Partitions: loads, HotKeys: w.HotKeys}
	return nil
}

func decodeLoads(b []byte) ([]PartitionLoad, error) {
	var loads []PartitionLoad
	partition := int64(0)
	for len(b) > 0 {
		step, n := binary.Varint(b)
		if n <= 0 || len(b) < n+encodedLoadBytes {
			return nil, fmt.Errorf("%w: load report cut off", placement.ErrMalformed)
		}
		load := float64(math.Float32frombits(binary.LittleEndian.Uint32(b[n:])))
		b = b[n+encodedLoadBytes:]
		partition += step
		if partition < 0 || partition >= placement.MaxPartitions || !(load >= 0) || math.IsInf(load, 0) {
			return nil, fmt.Errorf("%w: load %v of partition %d", placement.ErrMalformed, load, partition)
		}
		loads = append(loads, PartitionLoad{Partition: int(partition), Load: load})
	}
	return loads, nil
}
