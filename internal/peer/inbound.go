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
	// readTimeout is the time after which an incoming connection is closed if no complete
	// frame arrives. It exceeds idleTimeout, after which peers close idle connections
	// themselves.
	readTimeout = 60 * time.Second
	// acceptBackoff is the delay after a failed accept, for example when the process
	// has no file descriptors left.
	acceptBackoff = 50 * time.Millisecond
)

// inboundConnection is the state of one incoming connection.
type inboundConnection struct {
	// peerID is the ID of the peer, empty before the handshake. Guarded by Transport.mu.
	peerID string
	// done is closed after the last message of the connection was delivered.
	done chan struct{}
}

// acceptConnections accepts connections until the transport stops.
func (t *Transport) acceptConnections() error {
	for {
		conn, err := t.listener.Accept()
		if !t.tomb.Alive() {
			return nil
		}
		if err != nil {
			t.logPeerError("", "accepting a peer connection failed", err)
			t.sleep(acceptBackoff)
			continue
		}
		if t.addInbound(conn) {
			t.tomb.Go(func() error { t.serveInbound(conn); return nil })
		}
	}
}

// sleep waits for d or until the transport stops.
func (t *Transport) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.tomb.Dying():
	}
}

// addInbound registers a new connection. If there are maxInbound connections already or
// the transport is stopping, it closes the connection and returns false.
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

// replaceOlderConnections assigns conn to the peer with the given ID and closes older
// connections of that peer, which a network partition or a restart may have left half
// open. It returns when these have delivered their last message, so that messages of one
// peer stay in order.
func (t *Transport) replaceOlderConnections(conn net.Conn, peerID string) {
	t.mu.Lock()
	var older []*inboundConnection
	for other, state := range t.inbound {
		if state.peerID == peerID {
			_ = other.Close()
			older = append(older, state)
		}
	}
	t.inbound[conn].peerID = peerID
	t.mu.Unlock()
	for _, state := range older {
		<-state.done
	}
}

// serveInbound runs the TLS handshake and the handshake of this protocol on an incoming
// connection, and delivers its messages until it ends.
func (t *Transport) serveInbound(conn net.Conn) {
	defer t.removeInbound(conn)
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	secureConn, verifyID, err := t.serverTLSHandshake(countingConn{conn, t})
	if err != nil {
		t.reportRejection("", err)
		return
	}
	h, err := t.serverHandshake(secureConn, verifyID)
	if err != nil {
		t.reportRejection(h.Instance, err)
		return
	}
	t.replaceOlderConnections(conn, h.Instance)
	if err := t.deliverMessages(conn, secureConn, h); !closedNormally(err) {
		t.reportRejection(h.Instance, err)
	}
}

// serverTLSHandshake runs the TLS handshake of an incoming connection. It returns the TLS
// connection and a function that checks an instance ID against the peer's
// certificate. In plain mode it returns conn itself and accepts any ID.
func (t *Transport) serverTLSHandshake(conn net.Conn) (net.Conn, func(id string) error, error) {
	if t.material == nil {
		return conn, func(string) error { return nil }, nil
	}
	tlsConn := tls.Server(conn, t.material.ServerConfig())
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrTLSHandshake, err)
	}
	return tlsConn, func(id string) error { return mtls.VerifyIdentity(tlsConn.ConnectionState(), id) }, nil
}

// deliverMessages delivers messages until the connection ends. It returns the cause as a non-nil error.
func (t *Transport) deliverMessages(rawConn, conn net.Conn, sender handshake) error {
	r := bufio.NewReader(conn)
	for {
		_ = rawConn.SetDeadline(time.Now().Add(readTimeout))
		f, err := framing.Read(r, framing.MaxBytes)
		if err != nil {
			return err
		}
		msg, err := decode(f)
		if err != nil {
			return err
		}
		if err := validateSender(sender.Instance, msg); err != nil {
			return err
		}
		t.count("messages_received", 1)
		t.cfg.Deliver(sender.Instance, restoreIncarnation(msg, sender.Incarnation))
	}
}

// closedNormally reports whether err means that the peer closed the connection between
// frames or that this side closed it.
func closedNormally(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed)
}

// reportRejection counts and logs a connection that ended with err.
func (t *Transport) reportRejection(from string, err error) {
	t.count("rejected."+rejectionReason(err), 1)
	t.logPeerError(from, "incoming peer connection rejected or broken", err)
}

// countingConn is a connection that counts the bytes on the wire, including TLS overhead.
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
