package placement

// hashIndex maps hashes to positions in a list. It is a table of fixed size with linear
// probing, which unlike a Go map never allocates when entries are added and removed.
type hashIndex struct {
	entries []indexEntry
	mask    uint64
}

// indexEntry is a hash with its position plus one; 0 marks a free entry.
type indexEntry struct {
	hash            uint64
	positionPlusOne int32
}

// newHashIndex returns an index for up to n hashes. At most half of its entries are used.
func newHashIndex(n int) hashIndex {
	size := 2
	for size < 2*n {
		size *= 2
	}
	return hashIndex{entries: make([]indexEntry, size), mask: uint64(size - 1)} //nolint:gosec // positive
}

// probe returns the index of the entry of a hash, or of the free entry where it would be
// inserted.
func (x *hashIndex) probe(hash uint64) uint64 {
	i := hash & x.mask
	for x.entries[i].positionPlusOne != 0 && x.entries[i].hash != hash {
		i = (i + 1) & x.mask
	}
	return i
}

// find returns the position of a hash, or -1.
func (x *hashIndex) find(hash uint64) int { return int(x.entries[x.probe(hash)].positionPlusOne) - 1 }

func (x *hashIndex) insert(hash uint64, position int) {
	x.entries[x.probe(hash)] = indexEntry{hash, int32(position) + 1} //nolint:gosec // capacity is small
}

// remove deletes a hash and moves later entries of the same probe sequence back.
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
