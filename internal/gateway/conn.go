package gateway

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// Constants of connection pools.
const (
	forwardConnections = 512
	idleTimeout        = 60 * time.Second
	keepAlive          = 15 * time.Second
	bufferSize         = 8 << 10
	maxHeaderBytes     = 64 << 10
)

// NewTransport returns a pool of HTTP/1.1 connections, one exchange at a time
// on each, with at most connections to each address. It is used for servers
// and, with TLS, for the forward listeners of other instances.
func NewTransport(tlsConfig *tls.Config, connections int) *http.Transport {
	dialer := &net.Dialer{Timeout: DefaultDialTimeout, KeepAlive: keepAlive}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &provingConn{Conn: c}, nil
		},
		TLSClientConfig:        tlsConfig,
		DisableCompression:     true,
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         bufferSize,
		WriteBufferSize:        bufferSize,
		TLSNextProto:           map[string]func(string, *tls.Conn) http.RoundTripper{}, // no HTTP/2
	}
}

var errSealed = errors.New("connection was given up before the request was written")

// provingConn counts writes, so that it can be proved that a request never left.
type provingConn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write counts before it writes. A sealed connection writes nothing.
func (c *provingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *provingConn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal reports whether nothing was written since the count, and prevents that
// anything is written later.
func (c *provingConn) seal(count uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != count {
		return false
	}
	c.sealed = true
	return true
}

// writeProof follows the connections of one round trip.
type writeProof struct {
	mu      sync.Mutex
	conn    *provingConn
	count   uint64
	written bool // an earlier connection of the round trip wrote, or a connection cannot prove anything
}

func (p *writeProof) gotConn(info httptrace.GotConnInfo) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil && !p.conn.seal(p.count) {
		p.written = true
	}
	inner := info.Conn
	if t, ok := inner.(*tls.Conn); ok {
		inner = t.NetConn()
	}
	c, ok := inner.(*provingConn)
	if !ok {
		p.written = true
		return
	}
	p.conn, p.count = c, c.count()
}

// nothingWritten reports whether no byte of the request can have left.
func (p *writeProof) nothingWritten() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.written && (p.conn == nil || p.conn.seal(p.count))
}
