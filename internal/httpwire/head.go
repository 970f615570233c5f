package httpwire

import (
	"errors"
	"fmt"
	"strings"
)

// ErrMalformedHead means that the head of a message, its first line and header, is not valid in HTTP/1.1 (RFC 9112)
// or could be read in more than one way.
var ErrMalformedHead = errors.New("malformed HTTP head")

// headState is the position in a head.
type headState uint8

const (
	headEnded      headState = iota // outside of a head, where nothing is checked
	headFirstLine                   // in the request line or status line
	headLineStart                   // before the first byte of a header line
	headName                        // in the name of a field
	headValue                       // in the value of a field
	headLineReturn                  // after CR, which ends a line
	headEndReturn                   // after the CR of the empty line
)

// HeadCheck checks the bytes of a head as they arrive. package net/http accepts more: blanks in names, folded lines,
// and fields that disagree about the length of the body. Others read such a head differently. The zero value checks
// nothing.
type HeadCheck struct {
	state       headState
	start       [len("HTTP/1.1 1")]byte // of the first line
	startLength int
	name        [len("transfer-encoding")]byte
	nameLength  int
	fields      int
	hasLength   bool // a Content-Length field
	hasEncoding bool // a Transfer-Encoding field
	err         error
}

// Begin begins the check of a head.
func (h *HeadCheck) Begin() { *h = HeadCheck{state: headFirstLine} }

// End ends it.
func (h *HeadCheck) End() { h.state, h.err = headEnded, nil }

// Scan checks the next bytes, up to the end of the head if they have it, and returns ErrMalformedHead if they are not
// valid. It goes on returning an error, because package net/textproto ignores some errors of reads. The head of an
// informational response is followed by another one.
func (h *HeadCheck) Scan(p []byte) error {
	for len(p) > 0 && h.state != headEnded && h.err == nil {
		n := h.skip(p)
		if n == 0 {
			h.err = h.next(p[0])
			n = 1
		}
		p = p[n:]
	}
	return h.err
}

// skip passes over the bytes at the beginning of p that do not change the state, and returns their number.
func (h *HeadCheck) skip(p []byte) (n int) {
	switch h.state {
	case headFirstLine, headValue:
		for n < len(p) && p[n] >= ' ' && p[n] != 0x7f {
			n++
		}
		if h.state == headFirstLine {
			copy(h.start[min(h.startLength, len(h.start)):], p[:n])
			h.startLength += n
		}
	case headName:
		for n < len(p) && isTokenByte[p[n]] {
			n++
		}
		copy(h.name[min(h.nameLength, len(h.name)):], p[:n])
		h.nameLength += n
	default:
	}
	return n
}

func (h *HeadCheck) next(b byte) error {
	switch h.state {
	case headFirstLine, headValue:
		return h.nextInLine(b)
	case headLineStart:
		return h.nextAtLineStart(b)
	case headName:
		return h.nextInName(b)
	case headLineReturn:
		if b != '\n' {
			return fmt.Errorf("%w: CR within a line", ErrMalformedHead)
		}
		h.state = headLineStart
	case headEndReturn:
		if b != '\n' {
			return fmt.Errorf("%w: CR at the beginning of a line", ErrMalformedHead)
		}
		return h.end()
	case headEnded:
	}
	return nil
}

// nextInLine checks a byte of the first line or of a value. A line may end without CR.
func (h *HeadCheck) nextInLine(b byte) error {
	switch {
	case b == '\n' && h.state == headFirstLine && h.startLength == 0:
		h.state = headEnded // left to the parser
	case b == '\n':
		h.state = headLineStart
	case b == '\r':
		h.state = headLineReturn
	case b < ' ' && b != '\t' || b == 0x7f:
		return fmt.Errorf("%w: control byte 0x%02x", ErrMalformedHead, b)
	}
	return nil
}

func (h *HeadCheck) nextAtLineStart(b byte) error {
	switch b {
	case '\n':
		return h.end()
	case '\r':
		h.state = headEndReturn
		return nil
	case ' ', '\t':
		return fmt.Errorf("%w: folded line", ErrMalformedHead)
	case ':':
		return fmt.Errorf("%w: field without a name", ErrMalformedHead)
	}
	h.state, h.nameLength = headName, 0
	if h.skip([]byte{b}) == 0 {
		return nameError(b)
	}
	return nil
}

// nextInName checks a byte that is not part of a name.
func (h *HeadCheck) nextInName(b byte) error {
	if b != ':' {
		return nameError(b)
	}
	h.endName()
	h.state = headValue
	return nil
}

func nameError(b byte) error {
	return fmt.Errorf("%w: byte 0x%02x in the name of a field", ErrMalformedHead, b)
}

func (h *HeadCheck) endName() {
	h.fields++
	if h.nameLength > len(h.name) {
		return
	}
	switch name := h.name[:h.nameLength]; {
	case len(name) == len("content-length") && strings.EqualFold(string(name), "content-length"):
		h.hasLength = true
	case len(name) == len("transfer-encoding") && strings.EqualFold(string(name), "transfer-encoding"):
		h.hasEncoding = true
	}
}

func (h *HeadCheck) end() error {
	h.state = headEnded
	if h.hasLength && h.hasEncoding {
		return fmt.Errorf("%w: both Content-Length and Transfer-Encoding", ErrMalformedHead)
	}
	if string(h.start[:]) == "HTTP/1.1 1" {
		h.Begin()
	}
	return nil
}

// CheckVersion returns ErrMalformedHead if the head is not one of HTTP/1, or is one of HTTP/1.0 with a
// Transfer-Encoding, which that version does not have. The arguments are the version as it was parsed.
func (h *HeadCheck) CheckVersion(major, minor int) error {
	if major != 1 {
		return fmt.Errorf("%w: version %d.%d", ErrMalformedHead, major, minor)
	}
	if minor == 0 && h.hasEncoding {
		return fmt.Errorf("%w: Transfer-Encoding in HTTP/1.0", ErrMalformedHead)
	}
	return nil
}

// isTokenByte has the bytes of the name of a field, a token of RFC 9110.
var isTokenByte = func() (is [256]bool) {
	for b := 'a'; b <= 'z'; b++ {
		is[b], is[b-'a'+'A'] = true, true
	}
	for _, b := range "0123456789!#$%&'*+-.^_`|~" {
		is[b] = true
	}
	return is
}()
