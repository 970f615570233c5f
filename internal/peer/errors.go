package peer

import (
	"errors"

	"github.com/boragegate/boragegate/internal/framing"
	"github.com/boragegate/boragegate/internal/mtls"
)

// Errors for input that is refused. The connection is closed and nothing is delivered.
var (
	// ErrUnknownType means that the type of a message is not known.
	ErrUnknownType = errors.New("unknown message type")
	// ErrMalformed means that a body is not a well-formed message of its type.
	ErrMalformed = errors.New("malformed message")
	// ErrUnknownSender means that a peer may not connect or claims another instance's ID.
	ErrUnknownSender = errors.New("unknown sender")
	// ErrTLSHandshake means that the TLS handshake of an incoming connection failed.
	ErrTLSHandshake = errors.New("TLS handshake failed")
	// ErrWrongCell means that a peer belongs to another cell.
	ErrWrongCell = errors.New("peer is in another cell")
)

// rejectionReasons maps errors to the last part of the counter "peer.rejected.<reason>".
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

// reasonBroken counts connections that broke.
const reasonBroken = "broken"

func rejectionReason(err error) string {
	for _, r := range rejectionReasons {
		if errors.Is(err, r.err) {
			return r.name
		}
	}
	return reasonBroken
}
