package peer

import (
	"fmt"
	"io"
	"net"
	"time"

	"github.com/boragegate/boragegate/internal/framing"
	"github.com/boragegate/boragegate/ownership"
)

const (
	// handshakeTimeout bounds dialing, and then the TLS handshake together with the
	// handshake of this protocol.
	handshakeTimeout = 2 * time.Second
	// maxHandshakeBytes bounds the handshake frame, in bytes, since the claimed instance
	// ID has not been verified when it is read.
	maxHandshakeBytes = 1 << 10
)

// handshake is the first message on a connection, in each direction.
type handshake struct {
	Instance string `msgpack:"i"`
	Cell     string `msgpack:"c"`
	// Incarnation identifies the sender's process. It may be empty.
	Incarnation string `msgpack:"n,omitempty"`
}

// omitIncarnation removes the incarnation from a heartbeat if it is this process's
// own: as a UUID it takes more bytes than the rest of the frame. The receiver knows
// it from the handshake.
func omitIncarnation(msg ownership.Message, localIncarnation string) ownership.Message {
	if m, ok := msg.(ownership.Heartbeat); ok && m.Incarnation == localIncarnation {
		m.Incarnation = ""
		return m
	}
	return msg
}

// restoreIncarnation sets a heartbeat's omitted incarnation to the one in the sender's handshake.
func restoreIncarnation(msg ownership.Message, senderIncarnation string) ownership.Message {
	if m, ok := msg.(ownership.Heartbeat); ok && m.Incarnation == "" {
		m.Incarnation = senderIncarnation
		return m
	}
	return msg
}

func writeHandshake(w io.Writer, h handshake) error {
	body, err := marshal(h)
	if err != nil {
		return err
	}
	b, err := framing.Append(nil, framing.Frame{Type: typeHandshake, Body: body})
	if err != nil {
		return err
	}
	_, err = w.Write(b)
	return err
}

func readHandshake(r io.Reader) (handshake, error) {
	f, err := framing.Read(r, maxHandshakeBytes)
	if err != nil {
		return handshake{}, err
	}
	if f.Type != typeHandshake {
		return handshake{}, fmt.Errorf("%w %d: expected a handshake", ErrUnknownType, f.Type)
	}
	var h handshake
	return h, unmarshal(f.Body, &h)
}

// clientHandshake sends this instance's handshake on an outgoing connection and validates
// the peer's: it must have the instance ID wantID and be in the same cell.
func (t *Transport) clientHandshake(conn net.Conn, wantID string) error {
	if err := writeHandshake(conn, t.localHandshake()); err != nil {
		return err
	}
	h, err := readHandshake(conn)
	if err != nil {
		return err
	}
	if h.Instance != wantID {
		return fmt.Errorf("%w: instance %q answered, expected %q", ErrUnknownSender, h.Instance, wantID)
	}
	return t.checkCell(h)
}

// serverHandshake reads and validates the handshake of an incoming connection and replies
// with this instance's own. verifyID checks the claimed instance ID against the
// certificate of the connection.
func (t *Transport) serverHandshake(conn net.Conn, verifyID func(id string) error) (handshake, error) {
	h, err := readHandshake(conn)
	if err != nil {
		return h, err
	}
	if err := verifyID(h.Instance); err != nil {
		return h, err
	}
	if h.Instance == "" || h.Instance == t.cfg.Self || !t.cfg.Allow(h.Instance) {
		return h, fmt.Errorf("%w %q", ErrUnknownSender, h.Instance)
	}
	if err := t.checkCell(h); err != nil {
		return h, err
	}
	return h, writeHandshake(conn, t.localHandshake())
}

func (t *Transport) localHandshake() handshake {
	return handshake{t.cfg.Self, t.cfg.Cell, t.cfg.Incarnation}
}

func (t *Transport) checkCell(h handshake) error {
	if h.Cell != t.cfg.Cell {
		return fmt.Errorf("%w: peer is in cell %q, this instance in %q", ErrWrongCell, h.Cell, t.cfg.Cell)
	}
	return nil
}
