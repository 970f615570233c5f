package peer

import (
	"encoding/binary"
	"fmt"
	"io"
)

// A frame is a 4-byte big-endian length, which counts everything after it, a
// byte with the protocol version, a byte with the type, and the body.
const (
	// Version is the protocol version of this release.
	Version = 1
	// MaxFrameBytes bounds a frame without its length field.
	MaxFrameBytes = 1 << 20
	// lengthBytes is the size of the length field.
	lengthBytes = 4
	// headBytes is the size of version and type.
	headBytes = 2
	// maxHelloBytes bounds the frame of a peer that is not authenticated yet.
	maxHelloBytes = 1 << 10
)

type frame struct {
	kind byte
	body []byte
}

// appendFrame appends the encoded frame to b.
func appendFrame(b []byte, f frame) ([]byte, error) {
	length := headBytes + len(f.body)
	if length > MaxFrameBytes {
		return b, fmt.Errorf("%w: %d bytes", ErrFrameSize, length)
	}
	b = binary.BigEndian.AppendUint32(b, uint32(length)) //nolint:gosec // bounded above
	b = append(b, Version, f.kind)
	return append(b, f.body...), nil
}

// readFrame reads one frame of at most limit bytes. It allocates the body only
// after the length and the version have been checked.
func readFrame(r io.Reader, limit int) (frame, error) {
	var head [lengthBytes + headBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return frame{}, err
	}
	length := binary.BigEndian.Uint32(head[:])
	if length < headBytes || length > uint32(limit) { //nolint:gosec // limit is a positive constant
		return frame{}, fmt.Errorf("%w: %d bytes", ErrFrameSize, length)
	}
	if v := head[lengthBytes]; v != Version {
		return frame{}, fmt.Errorf("%w %d, expected %d", ErrVersion, v, Version)
	}
	f := frame{kind: head[lengthBytes+1], body: make([]byte, length-headBytes)}
	_, err := io.ReadFull(r, f.body)
	return f, err
}
