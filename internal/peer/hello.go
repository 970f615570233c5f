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
	// handshakeTimeout bounds connecting, TLS and the hello exchange, each.
	handshakeTimeout = 2 * time.Second
	// maxHandshakeBytes bounds the frame of a peer that is not authenticated yet.
	maxHandshakeBytes = 1 << 10
)

// handshake is the first message in both directions of a connection.
type handshake struct {
	Instance string `msgpack:"i"`
	Cell     string `msgpack:"c"`
	// Incarnation is that of the sender's process, if known.
	Incarnation string `msgpack:"n,omitempty"`
}

// omitIncarnation leaves the incarnation out of a heartbeat: as an UUID it takes
// more bytes than the rest of the frame.
func omitIncarnation(msg ownership.Message, own string) ownership.Message {
	if m, ok := msg.(ownership.Heartbeat); ok && m.Incarnation == own {
		m.Incarnation = ""
		return m
	}
	return msg
}

// restoreIncarnation is the inverse, with the incarnation of the sender's hello.
func restoreIncarnation(msg ownership.Message, sender string) ownership.Message {
	if m, ok := msg.(ownership.Heartbeat); ok && m.Incarnation == "" {
		m.Incarnation = sender
		return m
	}
	return msg
}

func writeHandshake(w io.Writer, h handshake) error {
	body, err := marshal(h)
	if err != nil {
		return err
	}
	b, err := framing.Append(nil, framing.Frame{Kind: typeHandshake, Body: body})
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
	if f.Kind != typeHandshake {
		return handshake{}, fmt.Errorf("%w %d instead of hello", ErrUnknownType, f.Kind)
	}
	var h handshake
	return h, unmarshal(f.Body, &h)
}

// clientHandshake sends this instance's hello on an outgoing connection and checks the answer.
func (t *Transport) clientHandshake(conn net.Conn, want string) error {
	if err := writeHandshake(conn, t.localHandshake()); err != nil {
		return err
	}
	h, err := readHandshake(conn)
	if err != nil {
		return err
	}
	if h.Instance != want {
		return fmt.Errorf("%w: %q answers for %q", ErrUnknownSender, h.Instance, want)
	}
	return t.checkCell(h)
}

// serverHandshake reads the hello of an incoming connection, checks it, and answers.
// identity compares the ID with the connection's certificate.
func (t *Transport) serverHandshake(conn net.Conn, identity func(id string) error) (handshake, error) {
	h, err := readHandshake(conn)
	if err != nil {
		return h, err
	}
	if err := identity(h.Instance); err != nil {
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
		return fmt.Errorf("%w: %q instead of %q", ErrWrongCell, h.Cell, t.cfg.Cell)
	}
	return nil
}
