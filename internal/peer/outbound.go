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
	// maxBackoffDoublings is the number of doublings of minBackoff that reaches maxBackoff.
	maxBackoffDoublings = 5
	// writeTimeout is the time after which a connection whose peer does not read is
	// closed.
	writeTimeout = 5 * time.Second
	// idleTimeout is the time after which the connection to a peer to which nothing is sent,
	// for example a former member, is closed, and attempts to reconnect to it end.
	idleTimeout = 30 * time.Second
	// tcpUserTimeout is the value of TCP_USER_TIMEOUT: the kernel closes a
	// connection whose data the peer has not acknowledged for this time.
	tcpUserTimeout = 2 * time.Second
)

var (
	errIdle           = errors.New("idle")
	errAddressChanged = errors.New("address of the peer changed")
	errPeerClosed     = errors.New("connection closed by peer")
)

// outboundConnection sends the queued frames for one peer over an outgoing TCP connection and
// reconnects after failures. The goroutine that runs maintain owns the TCP connection.
type outboundConnection struct {
	transport *Transport
	id        string
	queue     *queue

	// failures is the number of consecutive failures since the last successful handshake.
	failures int

	mu      sync.Mutex
	address string
	// addressChanged receives a value when the address has changed.
	addressChanged chan struct{}
}

// newOutboundConnection returns the connection for the peer with the given ID, not yet running.
func newOutboundConnection(transport *Transport, id string) *outboundConnection {
	drop := func(p priority) {
		if p == urgent {
			transport.count("dropped_urgent", 1)
		} else {
			transport.count("dropped_low", 1)
		}
	}
	return &outboundConnection{transport: transport, id: id, queue: newQueue(drop), addressChanged: make(chan struct{}, 1)}
}

// setAddress sets the host:port of the peer. If it differs from the previous one,
// the connection is re-established.
func (c *outboundConnection) setAddress(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.address == address {
		return
	}
	hadAddress := c.address != ""
	c.address = address
	if hadAddress {
		select {
		case c.addressChanged <- struct{}{}:
		default:
		}
	}
}

// maintain keeps the peer connected until the transport stops or no message for the peer
// was queued for idleTimeout.
func (c *outboundConnection) maintain() error {
	for c.transport.tomb.Alive() {
		conn, err := c.connect()
		if err == nil {
			c.failures = 0
			err = c.writeFrames(conn)
		} else {
			c.transport.count("connect_errors", 1)
		}
		if c.removeIfIdle() {
			return nil
		}
		if !errors.Is(err, errIdle) && !errors.Is(err, errAddressChanged) {
			c.waitBeforeReconnect(err)
		}
	}
	return nil
}

// waitBeforeReconnect waits with exponential backoff before the next attempt. Only the first
// of consecutive failures is logged.
func (c *outboundConnection) waitBeforeReconnect(err error) {
	if c.failures == 0 && c.transport.tomb.Alive() {
		c.transport.logPeerError(c.id, "connection to peer failed; reconnecting", err)
	}
	backoff := min(minBackoff<<min(c.failures, maxBackoffDoublings), maxBackoff)
	c.failures++
	c.transport.sleep(jitter(backoff))
}

// jitter returns a random duration between d/2 and d, so that instances do
// not reconnect to a restarted peer at the same moment.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1) //nolint:gosec // no secret
}

// removeIfIdle removes the connection from the transport, discarding the frames that are
// still queued, if no message for the peer was queued for idleTimeout. It reports whether it did.
func (c *outboundConnection) removeIfIdle() bool {
	c.transport.mu.Lock()
	defer c.transport.mu.Unlock()
	if !c.queue.idleFor(time.Now(), idleTimeout) {
		return false
	}
	delete(c.transport.outbound, c.id)
	return true
}

// connect dials the peer, authenticates it and runs the handshake.
func (c *outboundConnection) connect() (net.Conn, error) {
	c.mu.Lock()
	address := c.address
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(c.transport.tomb.Context(context.Background()), handshakeTimeout)
	defer cancel()
	dialer := net.Dialer{Control: socket.TCPUserTimeout(tcpUserTimeout)}
	rawConn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	var conn net.Conn = countingConn{rawConn, c.transport}
	if c.transport.material != nil {
		conn = tls.Client(conn, c.transport.material.ClientConfig(c.id))
	}
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	if err := c.transport.clientHandshake(conn, c.id); err != nil {
		_ = rawConn.Close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	c.transport.count("connects", 1)
	return conn, nil
}

// writeFrames writes frames until the connection ends, and returns the cause.
func (c *outboundConnection) writeFrames(conn net.Conn) error {
	peerClosed := make(chan struct{})
	go func() {
		// The peer sends nothing after its handshake, so any result of this read
		// means that the connection has ended.
		_, _ = io.ReadFull(conn, make([]byte, 1))
		close(peerClosed)
	}()
	defer func() { _ = conn.Close(); <-peerClosed }()
	w := bufio.NewWriter(conn)
	idleTimer := time.NewTimer(idleTimeout)
	defer idleTimer.Stop()
	for {
		wait, sent, err := c.writePending(conn, w)
		if err != nil {
			return err
		}
		if sent {
			idleTimer.Reset(idleTimeout)
		}
		if err := c.waitForWork(wait, peerClosed, idleTimer.C); err != nil {
			return err
		}
	}
}

// writePending writes and flushes all frames that may be sent now. It returns the time
// until the byte budget allows the next frame, or idleTimeout if no frame waits for the
// budget, and whether any frame was written.
func (c *outboundConnection) writePending(conn net.Conn, w *bufio.Writer) (wait time.Duration, sent bool, err error) {
	wait = idleTimeout
	allowLow := func(n int) bool {
		wait = idleTimeout
		if d := c.transport.budget.take(time.Now(), n); d > 0 {
			wait = d
			return false
		}
		return true
	}
	for {
		frame, ok := c.queue.dequeue(time.Now(), allowLow)
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
		c.transport.count("messages_sent", 1)
	}
	return wait, sent, w.Flush()
}

// waitForWork waits until a frame is queued or the time wait has passed. It returns nil,
// or the cause for which the connection must be closed.
func (c *outboundConnection) waitForWork(wait time.Duration, peerClosed <-chan struct{}, idle <-chan time.Time) error {
	budgetTimer := time.NewTimer(wait)
	defer budgetTimer.Stop()
	select {
	case <-c.queue.wake:
	case <-budgetTimer.C:
	case <-c.addressChanged:
		return errAddressChanged
	case <-peerClosed:
		return errPeerClosed
	case <-idle:
		return errIdle
	case <-c.transport.tomb.Dying():
		return net.ErrClosed
	}
	return nil
}
