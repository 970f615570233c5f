package placement

import (
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxPartitions is the maximum number of partitions of a service.
const MaxPartitions = 1 << 16

// maxTargets is the maximum number of targets of an assignment. NoOwner is not a valid
// index.
const maxTargets = int(NoOwner)

// initialAllocBytes is the maximum size of the buffer that is allocated before any content
// has been read.
const initialAllocBytes = 4096

// ErrMalformed is returned for an encoded record that is damaged or contains values out of
// range.
var ErrMalformed = errors.New("malformed record")

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// Packed is a list in a compact binary encoding: a base64 string in JSON, a binary value in
// msgpack. Decoding allocates memory in proportion to the input received, whereas the msgpack
// library would allocate the length that the input claims.
type Packed []byte

// DecodeMsgpack implements msgpack.CustomDecoder. It reads a binary value.
func (p *Packed) DecodeMsgpack(d *msgpack.Decoder) error {
	n, err := d.DecodeBytesLen()
	if err != nil {
		return err
	}
	*p = nil
	for len(*p) < n {
		have := len(*p)
		*p = append(*p, make([]byte, min(n-have, max(have, initialAllocBytes)))...)
		if err := d.ReadFull((*p)[have:]); err != nil {
			return err
		}
	}
	return nil
}

// targetNames is a list of the names of targets.
type targetNames []string

// DecodeMsgpack implements msgpack.CustomDecoder. It reads an array and grows the list as
// elements are read. More than maxTargets+1 names are malformed; the additional one is the
// empty name, which a delta uses for partitions that lose their owner.
func (l *targetNames) DecodeMsgpack(d *msgpack.Decoder) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n > maxTargets+1 {
		return malformed("list of %d targets is too long", n)
	}
	if *l = nil; n >= 0 {
		*l = targetNames{}
	}
	for range n {
		s, err := d.DecodeString()
		if err != nil {
			return err
		}
		*l = append(*l, s)
	}
	return nil
}

// checkUnique returns ErrMalformed if a name occurs more than once.
func (l targetNames) checkUnique() error {
	seen := make(map[string]bool, len(l))
	for _, s := range l {
		if seen[s] {
			return malformed("target %q is listed twice", s)
		}
		seen[s] = true
	}
	return nil
}
