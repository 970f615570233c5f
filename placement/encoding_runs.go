package placement

import (
	"encoding/binary"
	"slices"
)

// appendRuns appends the run-length encoding of n codes to b. A run of equal codes is the
// varint 2*code for a single one, otherwise the varint 2*code+1 followed by the varint
// length-2. Codes are below 2^63.
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

// readRuns decodes n codes below limit and passes each with its index to set. It returns
// ErrMalformed if a code is not below limit or b holds another number of codes.
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
				return malformed("run of %d partitions is too long", length)
			}
			length += 2
		}
		if token>>1 >= limit {
			return malformed("code %d is out of range, limit is %d", token>>1, limit)
		}
		if length > uint64(n-i) { //nolint:gosec // i is at most n
			return malformed("more codes than the %d partitions", n)
		}
		for range length {
			set(i, token>>1)
			i++
		}
	}
	if i != n {
		return malformed("only %d codes for %d partitions", i, n)
	}
	return nil
}

// uvarint decodes an unsigned varint and removes it from the front of b.
func uvarint(b *[]byte) (uint64, error) {
	v, n := binary.Uvarint(*b)
	if n <= 0 {
		return 0, malformed("varint is truncated or too long")
	}
	*b = (*b)[n:]
	return v, nil
}

// packEpochs encodes epochs as the number of distinct epochs, these in descending order as
// varint differences that start at the version, and the run-length encoding of indexes into
// them.
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

// unpackEpochs decodes the output of packEpochs into epochs, whose length is the expected
// number of partitions.
func unpackEpochs(b []byte, version uint64, epochs []uint64) error {
	count, err := uvarint(&b)
	if err != nil {
		return err
	}
	if count > uint64(len(b)) || count > uint64(len(epochs)) {
		return malformed("number of distinct epochs %d is too large for the input or for %d partitions", count, len(epochs))
	}
	distinct := make([]uint64, count)
	last := version
	for i := range distinct {
		step, err := uvarint(&b)
		if err != nil {
			return err
		}
		if step > last || step == 0 && i > 0 {
			return malformed("epoch is out of order or after version %d", version)
		}
		last -= step
		distinct[i] = last
	}
	return readRuns(b, len(epochs), count, func(i int, code uint64) { epochs[i] = distinct[code] })
}
