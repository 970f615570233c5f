package peer

import (
	"encoding/binary"
	"fmt"
)

const (
	// maxDepth bounds the nesting of arrays and maps; the deepest message has 6 levels.
	maxDepth = 12
	// maxElements bounds the values in a body. A list of all partitions has 65536.
	maxElements = 200_000
)

// validateEncoding checks that b is one msgpack value with bounded nesting and size
// before the library decodes it: the library skips unknown fields recursively
// and allocates by the length that the input states.
func validateEncoding(b []byte) error {
	var open [maxDepth]int // values still to come at each level
	open[0] = 1
	depth, pos := 0, 0
	for elements := 0; depth >= 0; {
		if open[depth] == 0 {
			depth--
			continue
		}
		open[depth]--
		size, children, err := measure(b[pos:])
		if err != nil {
			return err
		}
		if elements++; elements > maxElements {
			return fmt.Errorf("%w: more than %d values", ErrMalformed, maxElements)
		}
		pos += size
		if children > len(b)-pos {
			return fmt.Errorf("%w: truncated", ErrMalformed)
		}
		if children > 0 {
			if depth++; depth == maxDepth {
				return fmt.Errorf("%w: nested deeper than %d", ErrMalformed, maxDepth)
			}
			open[depth] = children
		}
	}
	if pos != len(b) {
		return fmt.Errorf("%w: %d bytes after the value", ErrMalformed, len(b)-pos)
	}
	return nil
}

// measure returns the size of the first value in b without its children, and the number of children.
func measure(b []byte) (size, children int, err error) {
	if len(b) == 0 {
		return 0, 0, fmt.Errorf("%w: truncated", ErrMalformed)
	}
	c := b[0]
	switch {
	case c <= 0x7f, c >= 0xe0, c == 0xc0, c == 0xc2, c == 0xc3: // small integer, nil, bool
		return 1, 0, nil
	case c <= 0x8f: // small map
		return 1, 2 * int(c&0x0f), nil
	case c <= 0x9f: // small array
		return 1, int(c & 0x0f), nil
	case c <= 0xbf: // small string
		size = 1 + int(c&0x1f)
	default:
		if size, children, err = measureSized(b); err != nil {
			return 0, 0, err
		}
	}
	if size > len(b) {
		return 0, 0, fmt.Errorf("%w: truncated", ErrMalformed)
	}
	return size, children, nil
}

// numberBytes is the size of the fixed-size values by code.
var numberBytes = map[byte]int{
	0xca: 5, 0xcb: 9, // floats
	0xcc: 2, 0xcd: 3, 0xce: 5, 0xcf: 9, // unsigned integers
	0xd0: 2, 0xd1: 3, 0xd2: 5, 0xd3: 9, // signed integers
}

// measureSized handles values whose code is followed by a number or a length.
// Extension types are not used and refused.
func measureSized(b []byte) (size, children int, err error) {
	c := b[0]
	if n, ok := numberBytes[c]; ok {
		return n, 0, nil
	}
	width := map[byte]int{
		0xc4: 1, 0xc5: 2, 0xc6: 4, // binary
		0xd9: 1, 0xda: 2, 0xdb: 4, // strings
		0xdc: 2, 0xdd: 4, // arrays
		0xde: 2, 0xdf: 4, // maps
	}[c]
	if width == 0 {
		return 0, 0, fmt.Errorf("%w: value code 0x%02x", ErrMalformed, c)
	}
	if len(b) < 1+width {
		return 0, 0, fmt.Errorf("%w: truncated", ErrMalformed)
	}
	var wide [8]byte
	copy(wide[8-width:], b[1:1+width])
	n := int(binary.BigEndian.Uint64(wide[:])) //nolint:gosec // at most 32 bits
	switch c {
	case 0xdc, 0xdd:
		return 1 + width, n, nil
	case 0xde, 0xdf:
		return 1 + width, 2 * n, nil
	}
	return 1 + width + n, 0, nil
}
