package placement

import (
	"encoding/binary"
	"slices"
)

// A list of codes is packed as runs of equal codes. Each run is the varint
// 2*code, or 2*code+1 and the varint length-2 if the code repeats. Codes stay
// below 2^63.

// appendRuns appends the packed form of n codes.
func appendRuns(b []byte, n int, code func(i int) uint64) []byte {
	var next uint64
	if n > 0 {
		next = code(0)
	}
	for i := 0; i < n; {
		c, j := next, i+1
		for ; j < n; j++ {
			if next = code(j); next != c {
				break
			}
		}
		if j == i+1 {
			b = binary.AppendUvarint(b, c<<1)
		} else {
			b = binary.AppendUvarint(b, c<<1|1)
			b = binary.AppendUvarint(b, uint64(j-i-2)) //nolint:gosec // j is at least i+2
		}
		i = j
	}
	return b
}

// readRuns passes n codes below limit to set. It refuses any other number of codes.
func readRuns(b []byte, n int, limit uint64, set func(i int, code uint64)) error {
	i := 0
	for len(b) > 0 {
		token, err := uvarint(&b)
		if err != nil {
			return err
		}
		length := uint64(1)
		if token&1 == 1 {
			if length, err = uvarint(&b); err != nil {
				return err
			}
			if length > MaxPartitions {
				return malformed("run of %d partitions", length)
			}
			length += 2
		}
		if token>>1 >= limit {
			return malformed("index %d of %d", token>>1, limit)
		}
		if length > uint64(n-i) { //nolint:gosec // i is at most n
			return malformed("more than %d partitions", n)
		}
		for range length {
			set(i, token>>1)
			i++
		}
	}
	if i != n {
		return malformed("%d of %d partitions", i, n)
	}
	return nil
}

// uvarint takes a varint from the front of b.
func uvarint(b *[]byte) (uint64, error) {
	v, n := binary.Uvarint(*b)
	if n <= 0 {
		return 0, malformed("varint cut off or too long")
	}
	*b = (*b)[n:]
	return v, nil
}

// packEpochs returns the packed form of epochs: the number of distinct epochs,
// these in falling order as varint differences that start at the version, and
// runs of indexes into them.
func packEpochs(version uint64, epochs []uint64) Packed {
	distinct := slices.Clone(epochs)
	slices.Sort(distinct)
	distinct = slices.Compact(distinct)
	count := len(distinct)
	b := binary.AppendUvarint(nil, uint64(count))
	last := version
	for _, e := range slices.Backward(distinct) {
		b = binary.AppendUvarint(b, last-e)
		last = e
	}
	return appendRuns(b, len(epochs), func(i int) uint64 {
		at, _ := slices.BinarySearch(distinct, epochs[i])
		return uint64(count - 1 - at) //nolint:gosec // at is below count
	})
}

// unpackEpochs reads the packed form into epochs.
func unpackEpochs(b []byte, version uint64, epochs []uint64) error {
	count, err := uvarint(&b)
	if err != nil {
		return err
	}
	if count > uint64(len(b)) || count > uint64(len(epochs)) {
		return malformed("%d epochs of %d partitions", count, len(epochs))
	}
	distinct := make([]uint64, count)
	last := version
	for i := range distinct {
		step, err := uvarint(&b)
		if err != nil {
			return err
		}
		if step > last || step == 0 && i > 0 {
			return malformed("epoch out of order or after version %d", version)
		}
		last -= step
		distinct[i] = last
	}
	return readRuns(b, len(epochs), count, func(i int, code uint64) { epochs[i] = distinct[code] })
}
