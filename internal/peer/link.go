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
	// minBackoff and maxBackoff bound the wait before a reconnect. The longest
	// wait is below the time in which a returning peer should be in contact again.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// maxBackoffDoublings is enough to reach maxBackoff.
	maxBackoffDoublings = 5
	// writeTimeout ends a connection whose peer does not read.
	writeTimeout = 5 * time.Second
	// idleTimeout ends the link to a peer to which nothing is sent, for example a
	// former member, also while it cannot be reached.
	idleTimeout = 30 * time.Second
	// tcpUserTimeout ends a connection whose data the peer has not acknowledged for that long.
	tcpUserTimeout = 2 * time.Second
)

var (
	errIdle           = errors.New("idle")
	errAddressChanged = errors.New("peer has a new address")
	errPeerClosed     = errors.New("closed by peer")
)

// outboundConnection is the outgoing connection to one peer. Its goroutine owns the connection.
type outboundConnection struct {
	transport *Transport
	id        string
	queue     *queue

	// failures counts the connections that failed since the last hello.
	failures int

	mu      sync.Mutex
	address string
	// addressChanged receives when the address changed.
	addressChanged chan struct{}
}

func newOutboundConnection(t *Transport, id string) *outboundConnection {
	drop := func(p priority) {
		if p == urgent {
			t.count("dropped_urgent", 1)
		} else {
			t.count("dropped_low", 1)
		}
	}
	return &outboundConnection{transport: t, id: id, queue: newQueue(drop), addressChanged: make(chan struct{}, 1)}
}

func (l *outboundConnection) setAddress(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.address == address {
		return
	}
	known := l.address != ""
	l.address = address
	if known {
		select {
		case l.addressChanged <- struct{}{}:
		default:
		}
	}
}

// maintain keeps a connection until the transport stops or the link is idle.
func (l *outboundConnection) maintain() error {
	for l.transport.tomb.Alive() {
		conn, err := l.connect()
		if err == nil {
			l.failures = 0
			err = l.writeFrames(conn)
		} else {
			l.transport.count("connect_errors", 1)
		}
		if l.removeIfIdle() {
			return nil
		}
		if !errors.Is(err, errIdle) && !errors.Is(err, errAddressChanged) {
			l.waitBeforeReconnect(err)
		}
	}
	return nil
}

// waitBeforeReconnect waits before the next attempt. Only the first failure in a row is logged.
func (l *outboundConnection) waitBeforeReconnect(err error) {
	if l.failures == 0 && l.transport.tomb.Alive() {
		l.transport.logPeerError(l.id, "peer connection lost", err)
	}
	backoff := min(minBackoff<<min(l.failures, maxBackoffDoublings), maxBackoff)
	l.failures++
	l.transport.sleep(jitter(backoff))
}

// jitter returns a random time between half and all of d, so that instances do
// not reconnect to a restarted peer at the same moment.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1) //nolint:gosec // no secret
}

// removeIfIdle removes the link, with what is still queued, if nothing was sent to the
// peer for idleTimeout.
func (l *outboundConnection) removeIfIdle() bool {
	l.transport.mu.Lock()
	defer l.transport.mu.Unlock()
	if !l.queue.idleFor(time.Now(), idleTimeout) {
		return false
	}
	delete(l.transport.outbound, l.id)
	return true
}

// connect dials, authenticates and exchanges hellos.
func (l *outboundConnection) connect() (net.Conn, error) {
	l.mu.Lock()
	address := l.address
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(l.transport.tomb.Context(context.Background()), handshakeTimeout)
	defer cancel()
	dialer := net.Dialer{Control: socket.TCPUserTimeout(tcpUserTimeout)}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	var conn net.Conn = countingConn{raw, l.transport}
	if l.transport.material != nil {
		conn = tls.Client(conn, l.transport.material.ClientConfig(l.id))
	}
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	if err := l.transport.clientHandshake(conn, l.id); err != nil {
		_ = raw.Close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	l.transport.count("connects", 1)
	return conn, nil
}

// writeFrames writes frames until the connection ends.
func (l *outboundConnection) writeFrames(conn net.Conn) error {
	gone := make(chan struct{})
	go func() {
		// The peer sends nothing after its hello, so any result means the end.
		_, _ = io.ReadFull(conn, make([]byte, 1))
		close(gone)
	}()
	defer func() { _ = conn.Close(); <-gone }()
	w := bufio.NewWriter(conn)
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		wait, sent, err := l.writePending(conn, w)
		if err != nil {
			return err
		}
		if sent {
			idle.Reset(idleTimeout)
		}
		if err := l.waitForWork(wait, gone, idle.C); err != nil {
			return err
		}
	}
}

// writePending writes all frames that may be sent now, in one flush. It returns
// the time until the byte budget allows the next one.
func (l *outboundConnection) writePending(conn net.Conn, w *bufio.Writer) (wait time.Duration, sent bool, err error) {
	wait = idleTimeout
	mayLow := func(n int) bool {
		wait = idleTimeout
		if d := l.transport.budget.take(time.Now(), n); d > 0 {
			wait = d
			return false
		}
		return true
	}
	for {
		frame, ok := l.queue.dequeue(time.Now(), mayLow)
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
		l.transport.count("messages_sent", 1)
	}
	return wait, sent, w.Flush()
}

// waitForWork waits for something to write. It returns why the connection must end, or nil.
func (l *outboundConnection) waitForWork(wait time.Duration, gone <-chan struct{}, idle <-chan time.Time) error {
	budgeted := time.NewTimer(wait)
	defer budgeted.Stop()
	select {
	case <-l.queue.wake:
	case <-budgeted.C:
	case <-l.addressChanged:
		return errAddressChanged
	case <-gone:
		return errPeerClosed
	case <-idle:
		return errIdle
	case <-l.transport.tomb.Dying():
		return net.ErrClosed
	}
	return nil
}
