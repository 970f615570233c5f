package http1

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

const bufferSize = 8 << 10

// Errors of answers.
var (
	errHeaderTooLarge = errors.New("the header of the answer is too large")
	errUpgrade        = errors.New("the server switched protocols unasked")
)

// past is a deadline that ends pending reads and writes.
var past = time.Unix(1, 0)

// conn is a connection. One exchange at a time owns it.
type conn struct {
	transport *Transport
	address   string
	net       net.Conn
	raw       syscall.RawConn // nil if the connection cannot be checked
	in        *bufio.Reader
	out       *bufio.Writer
	left      int64 // bytes of header that may still be read; below 0 for bodies
	written   atomic.Bool
	idleSince time.Time
	silent    bool // result of peekOnce
	probe     [1]byte
	// Made once, because a new closure for each exchange would allocate.
	abort func()
	peek  func(uintptr) bool
}

func newConn(t *Transport, address string, n net.Conn) *conn {
	c := &conn{transport: t, address: address, net: n}
	c.in, c.out = bufio.NewReaderSize(c, bufferSize), bufio.NewWriterSize(c, bufferSize)
	c.peek = c.peekOnce
	c.abort = func() { _ = n.SetDeadline(past) }
	inner := n
	if secured, ok := n.(*tls.Conn); ok {
		inner = secured.NetConn()
	}
	if s, ok := inner.(syscall.Conn); ok {
		c.raw, _ = s.SyscallConn()
	}
	return c
}

// Read bounds what is read as a header.
func (c *conn) Read(p []byte) (int, error) {
	if c.left == 0 {
		return 0, errHeaderTooLarge
	}
	n, err := c.net.Read(p)
	if c.left > 0 {
		c.left = max(0, c.left-int64(n))
	}
	return n, err
}

// Write notes that bytes of the request may have left.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.net.Write(p)
	if n > 0 || err == nil {
		c.written.Store(true)
	}
	return n, err
}

// healthy reports whether an idle connection is still open and silent. Anything
// that a server sends unasked would be taken for the next answer.
func (c *conn) healthy() bool {
	if c.raw == nil {
		return true
	}
	c.silent = false
	return c.raw.Read(c.peek) == nil && c.silent
}

// peekOnce looks for bytes or an end without waiting.
func (c *conn) peekOnce(fd uintptr) bool {
	_, _, err := syscall.Recvfrom(int(fd), c.probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	c.silent = err == syscall.EAGAIN //nolint:errorlint // the call returns plain errno values
	return true
}

// exchange sends the request and reads the answer's header.
func (c *conn) exchange(req *http.Request) (*http.Response, *Error) {
	c.written.Store(false)
	deadline, _ := req.Context().Deadline()
	_ = c.net.SetDeadline(deadline) // a failure shows at the next read or write
	x := &exchange{conn: c, stop: context.AfterFunc(req.Context(), c.abort)}
	err := x.send(req)
	if err == nil || c.written.Load() {
		// A server may refuse a request without reading all of it.
		var resp *http.Response
		if resp, err = c.readAnswer(req, err); err == nil {
			x.attach(req, resp)
			return resp, nil
		}
	}
	x.giveUp()
	return nil, &Error{Written: c.written.Load(), Err: err}
}

// readAnswer reads the header of the final answer.
func (c *conn) readAnswer(req *http.Request, sendErr error) (*http.Response, error) {
	c.left = c.transport.MaxHeader
	for {
		resp, err := http.ReadResponse(c.in, req)
		if err != nil {
			return nil, errors.Join(sendErr, err)
		}
		switch {
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errUpgrade
		case resp.StatusCode >= http.StatusOK:
			c.left = -1
			return resp, nil
		case resp.StatusCode < http.StatusContinue:
			return nil, fmt.Errorf("status %d", resp.StatusCode)
		}
	}
}
