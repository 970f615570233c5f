package placement

import (
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxPartitions is the largest number of partitions of a service.
const MaxPartitions = 1 << 16

// maxTargets is the largest number of targets of an assignment: NoOwner is no index.
const maxTargets = int(NoOwner)

// initialAllocBytes is the number of bytes that are allocated before any input has been read.
const initialAllocBytes = 4096

// ErrMalformed means that an encoded record is damaged or has content out of range.
var ErrMalformed = errors.New("malformed record")

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// Packed is a list in a compact binary form. In JSON it is a base64 string, in
// msgpack a binary value. Decoding allocates in proportion to the bytes that
// are there, whereas the library allocates the length that the input states.
type Packed []byte

// DecodeMsgpack reads a binary value.
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

// targetNames is a list of target names.
type targetNames []string

// DecodeMsgpack reads an array. It grows the list with the input.
func (l *targetNames) DecodeMsgpack(d *msgpack.Decoder) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n > maxTargets+1 {
		return malformed("%d targets", n)
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

// checkUnique refuses a list with a repeated name.
func (l targetNames) checkUnique() error {
	seen := make(map[string]bool, len(l))
	for _, s := range l {
		if seen[s] {
			return malformed("target %q twice", s)
		}
		seen[s] = true
	}
	return nil
}
