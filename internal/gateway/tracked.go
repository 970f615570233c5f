package gateway

import (
	"cmp"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/boragegate/boragegate/internal/httpwire"
	"github.com/boragegate/boragegate/internal/socket"
)

// Errors of writes that a tracked connection rejects.
var (
	errSealed      = errors.New("write request: connection sealed after an attempt failed or the connection was closed")
	errConnNotIdle = errors.New("write request: connection is closed or has unread bytes before the first write")
)

// readState is the state of the connection's reader.
type readState uint8

const (
	readStateNone  readState = iota // not in Read: has not started, or processes received bytes
	readStateFirst                  // waits for bytes with an empty buffer
	readStateMore                   // waits for bytes with a part of a response in its buffer
)

// trackedConn is a connection of an http.Transport. It tracks whether a request
// was written, and lets a request start only while the transport waits for a
// response with an empty buffer. Otherwise the transport would take bytes that
// followed the previous response for the beginning of the next one.
type trackedConn struct {
	net.Conn
	raw       syscall.RawConn // nil if the connection cannot be peeked at
	plaintext bool            // no TLS: a failed write of 0 bytes has sent nothing

	mu         sync.Mutex
	changed    sync.Cond
	readState  readState
	pending    bool // assigned to a request, of which nothing has been written yet
	hasWritten bool // a request was written before
	sealed     bool // no further writes are allowed
	writing    bool
	resetErr   error // of a write, if the connection was reset or has timed out
	head       httpwire.HeadCheck
	noData     bool // result of the last peek: open and nothing to read
	peekBuffer [1]byte
	peek       func(uintptr) // peekForData; stored, because a new method value for each request would allocate
}

func newTrackedConn(inner net.Conn) *trackedConn {
	c := &trackedConn{Conn: inner, plaintext: true}
	c.changed.L, c.peek = &c.mu, c.peekForData
	if tlsConn, ok := inner.(*tls.Conn); ok {
		inner, c.plaintext = tlsConn.NetConn(), false
	}
	if s, ok := inner.(syscall.Conn); ok {
		c.raw, _ = s.SyscallConn()
	}
	return c
}

// Read implements net.Conn. It detects by the length of p whether the transport's
// read buffer is empty: only then does the transport pass the whole buffer.
func (c *trackedConn) Read(p []byte) (int, error) {
	state := readStateMore
	if len(p) >= readBufferSize {
		state = readStateFirst
	}
	c.setReadState(state)
	n, err := c.Conn.Read(p)
	c.setReadState(readStateNone)
	if malformed := c.checkHead(p[:n]); malformed != nil {
		return 0, malformed
	}
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	return n, err
}

// checkHead checks the bytes that have been read as the head of the response, as far as they belong to it.
func (c *trackedConn) checkHead(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.Scan(p)
}

// checkVersion checks the version of the response, see httpwire.HeadCheck.
func (c *trackedConn) checkVersion(resp *http.Response) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.CheckVersion(resp.ProtoMajor, resp.ProtoMinor)
}

// endError returns the error with which the connection has ended: io.EOF if the peer has closed it, or the
// error that a write has got, which the read did not get any more.
func (c *trackedConn) endError() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // ends a write in progress
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.writing {
		c.changed.Wait()
	}
	if c.resetErr != nil {
		return c.resetErr
	}
	return io.EOF
}

func (c *trackedConn) setReadState(r readState) {
	c.mu.Lock()
	c.readState = r
	if c.pending {
		c.changed.Broadcast()
	}
	c.mu.Unlock()
}

// Write implements net.Conn. The first write of a request waits until the transport
// reads from the connection. Write fails if the connection is sealed, and the first
// write of a request also if the connection is closed or has unread bytes.
func (c *trackedConn) Write(p []byte) (int, error) {
	first, err := c.begin()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if first && n == 0 && err != nil && c.plaintext {
		c.pending, c.sealed = true, true
	}
	c.writing, c.resetErr = false, cmp.Or(c.resetErr, socket.ResetError(err))
	c.changed.Broadcast()
	return n, err
}

// begin prepares a write and reports whether it is the first of a request. It is
// called before the write, so that the request counts as written while the write is
// in progress.
func (c *trackedConn) begin() (first bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.pending && !c.sealed && c.readState == readStateNone {
		c.changed.Wait()
	}
	if c.sealed {
		return false, errSealed
	}
	if !c.pending {
		c.writing = true
		return false, nil
	}
	if c.readState != readStateFirst || c.hasWritten && !c.isClean() {
		c.sealed = true
		return false, errConnNotIdle
	}
	c.pending, c.hasWritten, c.writing = false, true, true
	c.head.Begin()
	return true, nil
}

// isClean reports whether the connection is open and has nothing to read.
func (c *trackedConn) isClean() bool {
	if c.raw == nil {
		return true
	}
	c.noData = false
	// Control, unlike RawConn.Read, does not wait for the pending read.
	return c.raw.Control(c.peek) == nil && c.noData
}

func (c *trackedConn) peekForData(fd uintptr) {
	_, _, err := syscall.Recvfrom(int(fd), c.peekBuffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	c.noData = err == syscall.EAGAIN //nolint:errorlint // the call returns plain errno values
}

// assign assigns the connection to a request.
func (c *trackedConn) assign() {
	c.mu.Lock()
	c.pending = true
	c.mu.Unlock()
}

// written reports whether bytes of the request may have been sent.
func (c *trackedConn) written() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.pending
}

// sealPending prevents all writes if nothing of the request to which the connection is assigned was written yet.
func (c *trackedConn) sealPending() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending {
		c.sealed = true
		c.changed.Broadcast()
	}
}

// seal prevents all further writes, and reports whether bytes of the request may
// have been sent before.
func (c *trackedConn) seal() (written bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	c.changed.Broadcast()
	return !c.pending
}

// Close seals and closes the connection.
func (c *trackedConn) Close() error {
	c.seal()
	return c.Conn.Close()
}
