// Package http1 is an HTTP/1.1 client for forwarding requests. Unlike
// http.Transport it exchanges request and answer on the goroutine of the caller,
// without goroutines per connection, never repeats a request on its own, and
// tells whether any byte of a failed request was written.
//
// A connection carries one exchange at a time. It is used again only if the
// answer was read to its end and nothing came after it, so an answer can never
// contain bytes of another.
package http1

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"time"
)

// Defaults of Transport.
const (
	DefaultDialTimeout = time.Second
	DefaultIdleTimeout = 60 * time.Second
	DefaultMaxHeader   = 64 << 10
	keepAlive          = 15 * time.Second
)

// Error is the error of an exchange without an answer.
type Error struct {
	// Written says that bytes of the request may have left.
	Written bool
	Err     error
}

// Error describes the failure.
func (e *Error) Error() string {
	if e.Written {
		return fmt.Sprintf("exchange failed after the request was sent, at least in part: %v", e.Err)
	}
	return fmt.Sprintf("exchange failed before the request was sent: %v", e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Transport is a pool of connections. Fields are set before its first use; then
// it is safe for concurrent use.
type Transport struct {
	// DialContext opens connections.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// DialTLSContext opens connections for "https" with the handshake done.
	DialTLSContext func(ctx context.Context, network, address string) (net.Conn, error)
	// MaxIdle is the number of idle connections to an address.
	MaxIdle int
	// IdleTimeout is the time after which an idle connection is not used any more.
	IdleTimeout time.Duration
	// MaxHeader is the size of the largest header of an answer, in bytes.
	MaxHeader int64

	pool pool
}

// New returns a transport. The configuration is used for "https"; it can be nil.
func New(tlsConfig *tls.Config, maxIdle int) *Transport {
	dialer := &net.Dialer{Timeout: DefaultDialTimeout, KeepAlive: keepAlive}
	secure := &tls.Dialer{NetDialer: dialer, Config: tlsConfig}
	return &Transport{
		DialContext: dialer.DialContext, DialTLSContext: secure.DialContext,
		MaxIdle: maxIdle, IdleTimeout: DefaultIdleTimeout, MaxHeader: DefaultMaxHeader,
	}
}

// CloseIdleConnections closes the connections that no exchange uses.
func (t *Transport) CloseIdleConnections() { t.pool.closeAll() }

// RoundTrip sends a request and returns the answer with its body still to be
// read. The error is an *Error. The body has to be read to its end or closed. A
// request whose GetBody is set, or that has no body, is sent again over a new
// connection if an idle one turned out to be closed before a byte was written.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	for {
		c, reused, err := t.get(req)
		if err != nil {
			return nil, &Error{Err: err}
		}
		resp, failure := c.exchange(req)
		if failure == nil {
			return resp, nil
		}
		if !reused || failure.Written || req.Context().Err() != nil || !rewind(req) {
			return nil, failure
		}
	}
}

// rewind prepares the body for another attempt.
func rewind(req *http.Request) bool {
	if req.Body == nil || req.Body == http.NoBody {
		return true
	}
	if req.GetBody == nil {
		return false
	}
	body, err := req.GetBody()
	req.Body = body
	return err == nil
}

// get returns an idle connection, or a new one.
func (t *Transport) get(req *http.Request) (c *conn, reused bool, err error) {
	address := req.URL.Scheme + "://" + req.URL.Host
	now := time.Now()
	for c = t.pool.take(address); c != nil; c = t.pool.take(address) {
		if now.Sub(c.idleSince) < t.IdleTimeout && c.healthy() {
			return c, true, nil
		}
		_ = c.net.Close()
	}
	dial := t.DialContext
	if req.URL.Scheme == "https" {
		dial = t.DialTLSContext
	}
	n, err := dial(req.Context(), "tcp", req.URL.Host)
	if err != nil {
		return nil, false, err
	}
	return newConn(t, address, n), false, nil
}
