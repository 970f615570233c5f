package ownership

import (
	"encoding/binary"
	"fmt"
	"math"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/boragegate/boragegate/placement"
)

// encodedLoadBytes is the size of an encoded load: a 4-byte float, exact to 7 decimal
// digits.
const encodedLoadBytes = 4

// encodedReport is the encoded form of a LoadReport in messages.
type encodedReport struct {
	Target string `msgpack:"t"`
	// Partitions holds for each entry the difference from the previous partition number as
	// a signed varint, followed by the load.
	Partitions placement.Packed `msgpack:"p"`
	HotKeys    keyLoads         `msgpack:"k"`
}

// keyLoads is a list that grows with the input while it is decoded. The msgpack library
// would allocate the length stated in the input up front.
type keyLoads []KeyLoad

// DecodeMsgpack decodes an array of key loads.
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

// EncodeMsgpack encodes the report for messages, in about 6 bytes per partition.
func (r LoadReport) EncodeMsgpack(e *msgpack.Encoder) error {
	encoded := encodedReport{Target: r.Target, HotKeys: r.HotKeys}
	last := 0
	for _, p := range r.Partitions {
		encoded.Partitions = binary.AppendVarint(encoded.Partitions, int64(p.Partition)-int64(last))
		encoded.Partitions = binary.LittleEndian.AppendUint32(encoded.Partitions, math.Float32bits(float32(p.Load)))
		last = p.Partition
	}
	return e.Encode(&encoded)
}

// DecodeMsgpack decodes a report from a message. Errors wrap placement.ErrMalformed and
// leave the report unchanged.
func (r *LoadReport) DecodeMsgpack(d *msgpack.Decoder) error {
	var encoded encodedReport
	if err := d.Decode(&encoded); err != nil {
		return fmt.Errorf("%w: load report: %w", placement.ErrMalformed, err)
	}
	loads, err := decodeLoads(encoded.Partitions)
	if err != nil {
		return err
	}
	*r = LoadReport{Target: encoded.Target, Partitions: loads, HotKeys: encoded.HotKeys}
	return nil
}

func decodeLoads(b []byte) ([]PartitionLoad, error) {
	var loads []PartitionLoad
	partition := int64(0)
	for len(b) > 0 {
		step, n := binary.Varint(b)
		if n <= 0 || len(b) < n+encodedLoadBytes {
			return nil, fmt.Errorf("%w: load report: truncated or invalid partition entry", placement.ErrMalformed)
		}
		load := float64(math.Float32frombits(binary.LittleEndian.Uint32(b[n:])))
		b = b[n+encodedLoadBytes:]
		partition += step
		if partition < 0 || partition >= placement.MaxPartitions || !(load >= 0) || math.IsInf(load, 0) {
			return nil, fmt.Errorf("%w: load report: load %v of partition %d is out of range", placement.ErrMalformed, load, partition)
		}
		loads = append(loads, PartitionLoad{Partition: int(partition), Load: load})
	}
	return loads, nil
}
