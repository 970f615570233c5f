// Package framing encodes and decodes the length-prefixed frames that instances
// exchange over a byte stream.
package framing

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

var (
	// ErrVersion means that a frame has a protocol version other than Version.
	ErrVersion = errors.New("unsupported protocol version")
	// ErrSize means that a frame is longer than allowed or too short for its header.
	ErrSize = errors.New("frame size out of range")
)

// A frame is a 4-byte big-endian length, which counts everything after it, a
// byte with the protocol version, a byte with the type, and the body.
const (
	// Version is the protocol version of this release.
	Version = 1
	// MaxBytes is the maximum size of a frame, not counting its length field.
	MaxBytes = 1 << 20
	// lengthBytes is the size of the length field.
	lengthBytes = 4
	// headerBytes is the size of the version and type fields.
	headerBytes = 2
)

// Frame is a message with its type.
type Frame struct {
	Type byte
	Body []byte
}

// Append appends the encoded frame to b. It returns b unchanged and an error that wraps
// ErrSize if the frame exceeds MaxBytes.
func Append(b []byte, f Frame) ([]byte, error) {
	length := headerBytes + len(f.Body)
	if length > MaxBytes {
		return b, fmt.Errorf("%w: %d bytes", ErrSize, length)
	}
	b = binary.BigEndian.AppendUint32(b, uint32(length)) //nolint:gosec // bounded above
	b = append(b, Version, f.Type)
	return append(b, f.Body...), nil
}

// Read reads one frame of at most limit bytes, not counting its length field. It
// allocates the body only after the length and the version have been checked; its errors
// wrap ErrSize or ErrVersion if a check fails. It returns io.EOF if the stream ends before
// a frame or between its type and its body, and io.ErrUnexpectedEOF if it ends elsewhere
// in a frame.
func Read(r io.Reader, limit int) (Frame, error) {
	var head [lengthBytes + headerBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return Frame{}, err
	}
	length := binary.BigEndian.Uint32(head[:])
	if length < headerBytes || length > uint32(limit) { //nolint:gosec // limit is a positive constant
		return Frame{}, fmt.Errorf("%w: %d bytes", ErrSize, length)
	}
	if v := head[lengthBytes]; v != Version {
		return Frame{}, fmt.Errorf("%w %d, expected %d", ErrVersion, v, Version)
	}
	f := Frame{Type: head[lengthBytes+1], Body: make([]byte, length-headerBytes)}
	_, err := io.ReadFull(r, f.Body)
	return f, err
}
