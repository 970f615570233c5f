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
	// close idle connections earlier, after idleTimeout.
	readTimeout = 60 * time.Second
	// acceptBackoff is the wait after a failed accept, for example without file descriptors.
	acceptBackoff = 50 * time.Millisecond
)

// inboundConnection is one incoming connection.
type inboundConnection struct {
	// peerID is the authenticated ID, empty before the hello. Guarded by Transport.mu.
	peerID string
	// done is closed when nothing more is delivered.
	done chan struct{}
}

func (t *Transport) acceptConnections() error {
	for {
		conn, err := t.listener.Accept()
		if !t.tomb.Alive() {
			return nil
		}
		if err != nil {
			t.logPeerError("", "peer accept failed", err)
			t.sleep(acceptBackoff)
			continue
		}
		if t.addInbound(conn) {
			t.tomb.Go(func() error { t.serveInbound(conn); return nil })
		}
	}
}

func (t *Transport) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.tomb.Dying():
	}
}

// addInbound keeps a new connection, or closes it when there are too many or the transport stops.
func (t *Transport) addInbound(conn net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.tomb.Alive() || len(t.inbound) >= maxInbound {
		t.count("rejected.too_many", 1)
		_ = conn.Close()
		return false
	}
	t.inbound[conn] = &inboundConnection{done: make(chan struct{})}
	return true
}

func (t *Transport) removeInbound(conn net.Conn) {
	_ = conn.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.inbound[conn].done)
	delete(t.inbound, conn)
}

// replaceOlderConnections closes an older connection of the same peer, which a partition or a
// restart may have left half open, and waits until it delivers nothing more.
func (t *Transport) replaceOlderConnections(conn net.Conn, from string) {
	t.mu.Lock()
	var older []*inboundConnection
	for other, s := range t.inbound {
		if s.peerID == from {
			_ = other.Close()
			older = append(older, s)
		}
	}
	t.inbound[conn].peerID = from
	t.mu.Unlock()
	for _, s := range older {
		<-s.done
	}
}

// serveInbound serves one incoming connection until it ends.
func (t *Transport) serveInbound(conn net.Conn) {
	defer t.removeInbound(conn)
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	secured, identity, err := t.serverTLSHandshake(countingConn{conn, t})
	if err != nil {
		t.reportRejection("", err)
		return
	}
	h, err := t.serverHandshake(secured, identity)
	if err != nil {
		t.reportRejection(h.Instance, err)
		return
	}
	t.replaceOlderConnections(conn, h.Instance)
	if err := t.deliverMessages(conn, secured, h); !closedNormally(err) {
		t.reportRejection(h.Instance, err)
	}
}

// serverTLSHandshake runs the TLS handshake of an incoming connection and returns the check of the peer's ID.
func (t *Transport) serverTLSHandshake(conn net.Conn) (net.Conn, func(id string) error, error) {
	if t.material == nil {
		return conn, func(string) error { return nil }, nil
	}
	secured := tls.Server(conn, t.material.ServerConfig())
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrTLSHandshake, err)
	}
	return secured, func(id string) error { return mtls.VerifyIdentity(secured.ConnectionState(), id) }, nil
}

// deliverMessages delivers messages until the connection ends and returns why, never nil.
func (t *Transport) deliverMessages(raw, conn net.Conn, from handshake) error {
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
		if err := validateSender(from.Instance, msg); err != nil {
			return err
		}
		t.count("messages_received", 1)
		t.cfg.Deliver(from.Instance, restoreIncarnation(msg, from.Incarnation))
	}
}

// closedNormally reports whether a connection was closed between frames or by this side.
func closedNormally(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed)
}

func (t *Transport) reportRejection(from string, err error) {
	t.count("rejected."+rejectionReason(err), 1)
	t.logPeerError(from, "peer connection rejected", err)
}

// countingConn counts the bytes on the wire, TLS included.
type countingConn struct {
	net.Conn
	transport *Transport
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.transport.count("bytes_received", n)
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.transport.count("bytes_sent", n)
	return n, err
}
