package peer

import (
	"encoding/binary"
	"fmt"
)

const (
	// maxDepth bounds the nesting of arrays and maps. The deepest message has 6 levels.
	maxDepth = 12
	// maxElements bounds the number of values in a body. A list of all partitions has 65536.
	maxElements = 200_000
)

// validateEncoding returns ErrMalformed unless b is exactly one msgpack value that has fewer
// than maxDepth levels of arrays and maps and at most maxElements values, itself
// included. It must run before the msgpack library decodes b: the library skips
// unknown fields recursively and allocates memory by the lengths that the input declares.
func validateEncoding(b []byte) error {
	var pending [maxDepth]int // number of values still expected at each level
	pending[0] = 1
	depth, pos := 0, 0
	for elements := 0; depth >= 0; {
		if pending[depth] == 0 {
			depth--
			continue
		}
		pending[depth]--
		size, children, err := measure(b[pos:])
		if err != nil {
			return err
		}
		if elements++; elements > maxElements {
			return fmt.Errorf("%w: more than %d values", ErrMalformed, maxElements)
		}
		pos += size
		if children > len(b)-pos {
			return fmt.Errorf("%w: value is truncated", ErrMalformed)
		}
		if children > 0 {
			if depth++; depth == maxDepth {
				return fmt.Errorf("%w: nested to %d levels or more", ErrMalformed, maxDepth)
			}
			pending[depth] = children
		}
	}
	if pos != len(b) {
		return fmt.Errorf("%w: %d trailing bytes after the value", ErrMalformed, len(b)-pos)
	}
	return nil
}

// measure returns the size in bytes of the first value in b without its children,
// and the number of its children: elements of an array, or keys and values of a map.
func measure(b []byte) (size, children int, err error) {
	if len(b) == 0 {
		return 0, 0, fmt.Errorf("%w: value is truncated", ErrMalformed)
	}
	code := b[0]
	switch {
	case code <= 0x7f, code >= 0xe0, code == 0xc0, code == 0xc2, code == 0xc3: // small integer, nil, bool
		return 1, 0, nil
	case code <= 0x8f: // small map
		return 1, 2 * int(code&0x0f), nil
	case code <= 0x9f: // small array
		return 1, int(code & 0x0f), nil
	case code <= 0xbf: // small string
		size = 1 + int(code&0x1f)
	default:
		if size, children, err = measureSized(b); err != nil {
			return 0, 0, err
		}
	}
	if size > len(b) {
		return 0, 0, fmt.Errorf("%w: value is truncated", ErrMalformed)
	}
	return size, children, nil
}

// numberBytes maps the msgpack codes of fixed-size numbers to the size in bytes, code included.
var numberBytes = map[byte]int{
	0xca: 5, 0xcb: 9, // floats
	0xcc: 2, 0xcd: 3, 0xce: 5, 0xcf: 9, // unsigned integers
	0xd0: 2, 0xd1: 3, 0xd2: 5, 0xd3: 9, // signed integers
}

// measureSized is measure for values whose code is followed by a number or a
// length. Extension types are rejected, since no message uses them.
func measureSized(b []byte) (size, children int, err error) {
	code := b[0]
	if n, ok := numberBytes[code]; ok {
		return n, 0, nil
	}
	width := map[byte]int{
		0xc4: 1, 0xc5: 2, 0xc6: 4, // binary
		0xd9: 1, 0xda: 2, 0xdb: 4, // strings
		0xdc: 2, 0xdd: 4, // arrays
		0xde: 2, 0xdf: 4, // maps
	}[code]
	if width == 0 {
		return 0, 0, fmt.Errorf("%w: unsupported msgpack code 0x%02x", ErrMalformed, code)
	}
	if len(b) < 1+width {
		return 0, 0, fmt.Errorf("%w: value is truncated", ErrMalformed)
	}
	var padded [8]byte
	copy(padded[8-width:], b[1:1+width])
	n := int(binary.BigEndian.Uint64(padded[:])) //nolint:gosec // at most 32 bits
	switch code {
	case 0xdc, 0xdd:
		return 1 + width, n, nil
	case 0xde, 0xdf:
		return 1 + width, 2 * n, nil
	}
	return 1 + width + n, 0, nil
}
