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
	// ErrTLSHandshake means that the TLS handshake of an incoming connection failed.
	ErrTLSHandshake = errors.New("TLS handshake failed")
	// ErrWrongCell means that a peer named another cell in its handshake.
	ErrWrongCell = errors.New("peer is in another cell")
)

// rejectionReasons maps errors to the last part of the counter name "peer.rejected.<reason>".
var rejectionReasons = []struct {
	err  error
	name string
}{
	{framing.ErrVersion, "version"},
	{framing.ErrSize, "frame_size"},
	{ErrUnknownType, "unknown_type"},
	{ErrMalformed, "malformed"},
	{ErrUnknownSender, "unknown_sender"},
	{mtls.ErrIdentity, "unknown_sender"},
	{ErrTLSHandshake, "handshake"},
	{ErrWrongCell, "wrong_cell"},
}

// reasonBroken is the reason for connections that ended with an error of no type
// above, for example a reset.
const reasonBroken = "broken"

// rejectionReason returns the reason under which err is counted and logged.
func rejectionReason(err error) string {
	for _, r := range rejectionReasons {
		if errors.Is(err, r.err) {
			return r.name
		}
	}
	return reasonBroken
}
