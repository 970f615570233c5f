package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/boragegate/boragegate/internal/socket"
)

const (
	// minBackoff and maxBackoff bound the delay before a reconnect. maxBackoff is
	// below the time within which a restarted peer should be in contact again.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// maxDoublings is the number of doublings of minBackoff that reaches maxBackoff.
	maxDoublings = 5
	// writeTimeout closes a connection whose peer does not read.
	writeTimeout = 5 * time.Second
	// idleAfter closes the connection to a peer to which nothing is sent, for example a
	// former member, and ends attempts to reconnect to it.
	idleAfter = 30 * time.Second
	// unacknowledgedLimit is the value of TCP_USER_TIMEOUT: the kernel closes a
	// connection whose data the peer has not acknowledged for this time.
	unacknowledgedLimit = 2 * time.Second
)

var (
	errIdle       = errors.New("idle")
	errNewAddress = errors.New("address of the peer changed")
	errPeerClosed = errors.New("connection closed by peer")
)

// link sends the queued frames for one peer over an outgoing TCP connection and
// reconnects after failures. Only its goroutine, run, uses the TCP connection.
type link struct {
	t     *Transport
	id    string
	queue *queue

	// failures is the number of consecutive failures since the last successful handshake.
	failures int

	mu      sync.Mutex
	address string
	// moved receives a value when the address has changed.
	moved chan struct{}
}

// newLink returns the connection for the peer with the given ID, not yet running.
func newLink(t *Transport, id string) *link {
	drop := func(p priority) {
		if p == urgent {
			t.count("dropped_urgent", 1)
		} else {
			t.count("dropped_low", 1)
		}
	}
	return &link{t: t, id: id, queue: newQueue(drop), moved: make(chan struct{}, 1)}
}

// setAddress sets the host:port of the peer. If it differs from the previous one,
// the connection is re-established.
func (l *link) setAddress(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.address == address {
		return
	}
	known := l.address != ""
	l.address = address
	if known {
		select {
		case l.moved <- struct{}{}:
		default:
		}
	}
}

// run keeps the peer connected until the transport stops or nothing was sent to the
// peer for idleTimeout.
func (l *link) run() error {
	for l.t.tomb.Alive() {
		conn, err := l.connect()
		if err == nil {
			l.failures = 0
			err = l.serve(conn)
		} else {
			l.t.count("connect_errors", 1)
		}
		if l.retire() {
			return nil
		}
		if !errors.Is(err, errIdle) && !errors.Is(err, errNewAddress) {
			l.retryLater(err)
		}
	}
	return nil
}

// retryLater waits with exponential backoff before the next attempt. Only the first
// of consecutive failures is logged.
func (l *link) retryLater(err error) {
	if l.failures == 0 && l.t.tomb.Alive() {
		l.t.report(l.id, "connection to peer failed; reconnecting", err)
	}
	backoff := min(minBackoff<<min(l.failures, maxDoublings), maxBackoff)
	l.failures++
	l.t.pause(jitter(backoff))
}

// jitter returns a random duration between d/2 and d, so that instances do
// not reconnect to a restarted peer at the same moment.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1) //nolint:gosec // no secret
}

// retire removes the connection from the transport, discarding the frames that are
// still queued, if no message for the peer was queued for idleTimeout. It reports whether it did.
func (l *link) retire() bool {
	l.t.mu.Lock()
	defer l.t.mu.Unlock()
	if !l.queue.unused(time.Now(), idleAfter) {
		return false
	}
	delete(l.t.links, l.id)
	return true
}

// connect dials the peer, authenticates it and runs the handshake.
func (l *link) connect() (net.Conn, error) {
	l.mu.Lock()
	address := l.address
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(l.t.tomb.Context(context.Background()), handshakeTimeout)
	defer cancel()
	dialer := net.Dialer{Control: socket.TCPUserTimeout(unacknowledgedLimit)}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	var conn net.Conn = counted{raw, l.t}
	if l.t.material != nil {
		conn = tls.Client(conn, l.t.material.ClientConfig(l.id))
	}
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	if err := l.t.greet(conn, l.id); err != nil {
		_ = raw.Close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	l.t.count("connects", 1)
	return conn, nil
}

// serve writes frames until the connection ends, and returns the cause.
func (l *link) serve(conn net.Conn) error {
	gone := make(chan struct{})
	go func() {
		// The peer sends nothing after its handshake, so any result of this read
		// means that the connection has ended.
		_, _ = io.ReadFull(conn, make([]byte, 1))
		close(gone)
	}()
	defer func() { _ = conn.Close(); <-gone }()
	w := bufio.NewWriter(conn)
	idle := time.NewTimer(idleAfter)
	defer idle.Stop()
	for {
		wait, sent, err := l.writeReady(conn, w)
		if err != nil {
			return err
		}
		if sent {
			idle.Reset(idleAfter)
		}
		if err := l.sleep(wait, gone, idle.C); err != nil {
			return err
		}
	}
}

// writeReady writes and flushes all frames that may be sent now. It returns the
// time until the byte budget allows the next frame, and whether any was written.
func (l *link) writeReady(conn net.Conn, w *bufio.Writer) (wait time.Duration, sent bool, err error) {
	wait = idleAfter
	mayLow := func(n int) bool {
		wait = idleAfter
		if d := l.t.budget.take(time.Now(), n); d > 0 {
			wait = d
			return false
		}
		return true
	}
	for {
		frame, ok := l.queue.next(time.Now(), mayLow)
		if !ok {
			break
		}
		if !sent {
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		}
		sent = true
		if _, err := w.Write(frame); err != nil {
			return 0, sent, err
		}
		l.t.count("messages_sent", 1)
	}
	return wait, sent, w.Flush()
}

// sleep waits until a frame is queued or the time wait has passed. It returns nil,
// or the cause for which the connection must be closed.
func (l *link) sleep(wait time.Duration, gone <-chan struct{}, idle <-chan time.Time) error {
	budgeted := time.NewTimer(wait)
	defer budgeted.Stop()
	select {
	case <-l.queue.wake:
	case <-budgeted.C:
	case <-l.moved:
		return errNewAddress
	case <-gone:
		return errPeerClosed
	case <-idle:
		return errIdle
	case <-l.t.tomb.Dying():
		return net.ErrClosed
	}
	return nil
}
