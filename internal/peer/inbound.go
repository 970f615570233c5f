package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/boragegate/boragegate/internal/framing"
	"github.com/boragegate/boragegate/internal/mtls"
)

const (
	// readTimeout ends an incoming connection without a complete frame. Peers
	// close idle connections earlier, after idleAfter.
	readTimeout = 60 * time.Second
	// acceptPause is the wait after a failed accept, for example without file descriptors.
	acceptPause = 50 * time.Millisecond
)

// session is one incoming connection.
type session struct {
	// peer is the authenticated ID, empty before the hello. Guarded by Transport.mu.
	peer string
	// done is closed when nothing more is delivered.
	done chan struct{}
}

func (t *Transport) accept() error {
	for {
		conn, err := t.listener.Accept()
		if !t.tomb.Alive() {
			return nil
		}
		if err != nil {
			t.report("", "peer accept failed", err)
			t.pause(acceptPause)
			continue
		}
		if t.track(conn) {
			t.tomb.Go(func() error { t.receive(conn); return nil })
		}
	}
}

func (t *Transport) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.tomb.Dying():
	}
}

// track keeps a new connection, or closes it when there are too many or the transport stops.
func (t *Transport) track(conn net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.tomb.Alive() || len(t.inbound) >= maxInbound {
		t.count("rejected.too_many", 1)
		_ = conn.Close()
		return false
	}
	t.inbound[conn] = &session{done: make(chan struct{})}
	return true
}

func (t *Transport) untrack(conn net.Conn) {
	_ = conn.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.inbound[conn].done)
	delete(t.inbound, conn)
}

// replace closes an older connection of the same peer, which a partition or a
// restart may have left half open, and waits until it delivers nothing more.
func (t *Transport) replace(conn net.Conn, from string) {
	t.mu.Lock()
	var older []*session
	for other, s := range t.inbound {
		if s.peer == from {
			_ = other.Close()
			older = append(older, s)
		}
	}
	t.inbound[conn].peer = from
	t.mu.Unlock()
	for _, s := range older {
		<-s.done
	}
}

// receive serves one incoming connection until it ends.
func (t *Transport) receive(conn net.Conn) {
	defer t.untrack(conn)
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	secured, identity, err := t.secure(counted{conn, t})
	if err != nil {
		t.reject("", err)
		return
	}
	h, err := t.admit(secured, identity)
	if err != nil {
		t.reject(h.Instance, err)
		return
	}
	t.replace(conn, h.Instance)
	if err := t.deliverAll(conn, secured, h); !ended(err) {
		t.reject(h.Instance, err)
	}
}

// secure runs the TLS handshake of an incoming connection and returns the check of the peer's ID.
func (t *Transport) secure(conn net.Conn) (net.Conn, func(id string) error, error) {
	if t.material == nil {
		return conn, func(string) error { return nil }, nil
	}
	secured := tls.Server(conn, t.material.ServerConfig())
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrHandshake, err)
	}
	return secured, func(id string) error { return mtls.VerifyIdentity(secured.ConnectionState(), id) }, nil
}

// deliverAll delivers messages until the connection ends and returns why, never nil.
func (t *Transport) deliverAll(raw, conn net.Conn, from hello) error {
	r := bufio.NewReader(conn)
	for {
		_ = raw.SetDeadline(time.Now().Add(readTimeout))
		f, err := framing.Read(r, framing.MaxBytes)
		if err != nil {
			return err
		}
		msg, err := decode(f)
		if err != nil {
			return err
		}
		if err := checkSender(from.Instance, msg); err != nil {
			return err
		}
		t.count("messages_received", 1)
		t.cfg.Deliver(from.Instance, restoreIncarnation(msg, from.Incarnation))
	}
}

// ended reports whether a connection was closed between frames or by this side.
func ended(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed)
}

func (t *Transport) reject(from string, err error) {
	t.count("rejected."+reason(err), 1)
	t.report(from, "peer connection rejected", err)
}

// counted counts the bytes on the wire, TLS included.
type counted struct {
	net.Conn
	t *Transport
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.t.count("bytes_received", n)
	return n, err
}

func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.t.count("bytes_sent", n)
	return n, err
}
