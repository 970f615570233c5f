package placement

// hashIndex maps hashes to slots in a table of fixed size with linear probing.
// A Go map may allocate when keys come and go; this does not.
type hashIndex struct {
	entries []indexEntry
	mask    uint64
}

// indexEntry holds a slot number plus one; 0 marks a free entry.
type indexEntry struct {
	hash            uint64
	positionPlusOne int32
}

// newHashIndex returns an index for up to n hashes; at most half of it is used.
func newHashIndex(n int) hashIndex {
	size := 2
	for size < 2*n {
		size *= 2
	}
	return hashIndex{entries: make([]indexEntry, size), mask: uint64(size - 1)} //nolint:gosec // positive
}

// probe returns the entry of the hash, or the free one at which it would be.
func (x *hashIndex) probe(hash uint64) uint64 {
	i := hash & x.mask
	for x.entries[i].positionPlusOne != 0 && x.entries[i].hash != hash {
		i = (i + 1) & x.mask
	}
	return i
}

// find returns the slot of the hash, or -1.
func (x *hashIndex) find(hash uint64) int { return int(x.entries[x.probe(hash)].positionPlusOne) - 1 }

func (x *hashIndex) insert(hash uint64, slot int) {
	x.entries[x.probe(hash)] = indexEntry{hash, int32(slot) + 1} //nolint:gosec // capacity is small
}

// remove deletes the hash and moves later entries of the same run back.
func (x *hashIndex) remove(hash uint64) {
	i := x.probe(hash)
	if x.entries[i].positionPlusOne == 0 {
		return
	}
	for j := (i + 1) & x.mask; x.entries[j].positionPlusOne != 0; j = (j + 1) & x.mask {
		home := x.entries[j].hash & x.mask
		if (j-home)&x.mask >= (j-i)&x.mask {
			x.entries[i] = x.entries[j]
			i = j
		}
	}
	x.entries[i] = indexEntry{}
}
