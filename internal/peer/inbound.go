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
	// readTimeout closes an incoming connection on which no complete frame arrived
	// for this time. It exceeds idleTimeout, after which peers close idle connections themselves.
	readTimeout = 60 * time.Second
	// acceptPause is the delay after a failed accept, for example when the process
	// has no file descriptors left.
	acceptPause = 50 * time.Millisecond
)

// session is the state of one incoming connection.
type session struct {
	// peer is the authenticated ID of the peer, empty before the handshake. Guarded by Transport.mu.
	peer string
	// done is closed after the last message of the connection was delivered.
	done chan struct{}
}

// accept accepts connections until the transport stops.
func (t *Transport) accept() error {
	for {
		conn, err := t.listener.Accept()
		if !t.tomb.Alive() {
			return nil
		}
		if err != nil {
			t.report("", "accepting a peer connection failed", err)
			t.pause(acceptPause)
			continue
		}
		if t.track(conn) {
			t.tomb.Go(func() error { t.receive(conn); return nil })
		}
	}
}

// pause waits for d or until the transport stops.
func (t *Transport) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.tomb.Dying():
	}
}

// track registers a new connection and reports true, or closes it if there are
// maxInbound connections already or the transport stops.
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

// replace assigns conn to the peer from and closes older connections of that peer,
// which a network partition or a restart may have left half open. It returns when
// these have delivered their last message, so that messages of one peer stay in order.
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

// receive runs both handshakes on an incoming connection and delivers its messages until it ends.
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

// secure runs the TLS handshake of an incoming connection. It returns the TLS
// connection and a function that checks an instance ID against the peer's
// certificate. In plain mode it returns conn itself and accepts any ID.
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
	return secured, func(id string) error { return mtls.Names(secured.ConnectionState(), id) }, nil
}

// deliverAll delivers messages until the connection ends. It returns the cause as a non-nil error.
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

// ended reports whether err means that the peer closed the connection between
// frames or that this side closed it.
func ended(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed)
}

// reject counts and logs a connection that ended with err.
func (t *Transport) reject(from string, err error) {
	t.count("rejected."+reason(err), 1)
	t.report(from, "incoming peer connection rejected or broken", err)
}

// counted is a connection that counts the bytes on the wire, including TLS overhead.
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
