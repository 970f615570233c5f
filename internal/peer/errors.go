package peer

import (
	"errors"

	"github.com/boragegate/boragegate/internal/framing"
	"github.com/boragegate/boragegate/internal/mtls"
)

// Errors for rejected input. The connection is closed, and neither the input nor
// anything after it is delivered.
var (
	// ErrUnknownType means that a message has an unknown or unexpected type number.
	ErrUnknownType = errors.New("unknown message type")
	// ErrMalformed means that a body is not a valid message of its type.
	ErrMalformed = errors.New("malformed message")
	// ErrUnknownSender means that a peer is not allowed to connect or uses the ID of another instance.
	ErrUnknownSender = errors.New("unknown sender")
	// ErrHandshake means that the TLS handshake of an incoming connection failed.
	ErrHandshake = errors.New("TLS handshake failed")
	// ErrWrongCell means that a peer named another cell in its handshake.
	ErrWrongCell = errors.New("peer is in another cell")
)

// reasons maps errors to the last part of the counter name "peer.rejected.<reason>".
var reasons = []struct {
	err  error
	name string
}{
	{framing.ErrVersion, "version"},
	{framing.ErrSize, "frame_size"},
	{ErrUnknownType, "unknown_type"},
	{ErrMalformed, "malformed"},
	{ErrUnknownSender, "unknown_sender"},
	{mtls.ErrIdentity, "unknown_sender"},
	{ErrHandshake, "handshake"},
	{ErrWrongCell, "wrong_cell"},
}

// otherReason is the reason for connections that ended with an error of no type
// above, for example a reset.
const otherReason = "broken"

// reason returns the reason under which err is counted and logged.
func reason(err error) string {
	for _, r := range reasons {
		if errors.Is(err, r.err) {
			return r.name
		}
	}
	return otherReason
}
