// Package upstream sends requests to backend servers, the targets of package routing,
// over HTTP/1.1, one at a time on each connection. A response is accepted only if it
// repeats the request's ID, so that a duplicate, late or forged response on the same
// connection is never passed to a caller; only the first response on a new connection
// may have no ID. A connection is reused only after a complete response with no bytes
// after it.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/boragegate/boragegate/internal/httpwire"
	"github.com/boragegate/boragegate/internal/socket"
	"github.com/boragegate/boragegate/routing"
)

const (
	// dialTimeout bounds connection setup, which normally takes a few milliseconds.
	dialTimeout = 250 * time.Millisecond
	// tcpUserTimeout bounds the time for which sent data may stay unacknowledged. After
	// it, the server is considered unreachable and the connection is closed.
	tcpUserTimeout = 600 * time.Millisecond
	// keepAliveInterval is the idle time before the kernel's first keep-alive probe and
	// the interval between probes. They detect a server that became unreachable after it
	// received the request.
	keepAliveInterval = time.Second
	// keepAliveProbes is the number of unanswered probes that closes a connection.
	keepAliveProbes = 2
	// defaultIdleTimeout is the idle timeout of a connection if the server sends none in
	// a Keep-Alive header.
	defaultIdleTimeout = 3 * time.Second
	// idleTimeoutMargin is subtracted from the server's keep-alive timeout, so that a
	// connection is not used at the moment in which the server closes it.
	idleTimeoutMargin = 700 * time.Millisecond
	// maxIdleTimeout bounds the idle timeout of a connection.
	maxIdleTimeout = 20 * time.Second
	// minResetIdleTime is the minimum idle time of a connection at which a reset is
	// attributed to a server that drops idle connections: connections that were idle for
	// less are reset for other reasons.
	minResetIdleTime = 40 * time.Millisecond
	// reuseLimitFraction is the idle time up to which connections are reused after such a
	// reset, as a fraction of the idle time of the connection that was reset.
	reuseLimitFraction = 0.5
	// reuseLimitDuration is the time for which a reuseLimit applies.
	reuseLimitDuration = 5 * time.Second
	// receiveBufferBytes and sendBufferBytes are the sizes of the buffers of a connection's socket. With the kernel's
	// defaults, a body that its reader does not take holds up to several MB in each of them.
	receiveBufferBytes = 32 << 10
	sendBufferBytes    = 32 << 10
	// maxIdleConns is the maximum number of idle connections to one server.
	maxIdleConns = 16
)

// Errors of Do.
var (
	// ErrNotSent means that no byte of the request was written, so that it can safely be
	// retried on another target.
	ErrNotSent = errors.New("request was not sent")
	// ErrTooManyConnections means that the limit of connections to the server is
	// reached. It wraps ErrNotSent.
	ErrTooManyConnections = fmt.Errorf("too many connections to the target: %w", ErrNotSent)
	// ErrNewConnReset means that the server reset a connection that had not carried a
	// request before. The server may have executed the request.
	ErrNewConnReset = errors.New("new connection was reset by the target")
	// ErrInvalidStatus means that the status of a response is not three digits from 100 to 599. The server may have
	// executed the request.
	ErrInvalidStatus = errors.New("response with an invalid status")
	// ErrResponseMismatch means that the responses on the connection belong to other requests.
	ErrResponseMismatch = errors.New("response ID does not match the request")
)

// Request is a request to a backend server.
type Request struct {
	Method, URI, Host string
	Header            http.Header
	// ID is the request's identifier, which the response must repeat in the header
	// Client.IDHeader. Do does not add it to the request: Header must contain it.
	ID string
	// Body is the whole body, or its beginning if BodyStream is not nil. BodyStream is
	// closed when it is no longer needed; its Close must unblock a pending Read.
	Body       []byte
	BodyStream io.ReadCloser
	// Length is the length of the whole body, or -1 if it is unknown.
	Length int64
	// TargetBusy is set if the target is expected to have a queue. It may then reset the connection because it is full,
	// which says nothing about the time for which it keeps idle connections.
	TargetBusy bool
	// Used has the connections on which earlier attempts with the same ID were sent; nil if there are none. Do uses
	// another one: a late copy of the response to an earlier attempt would have the right ID. Do adds the connection.
	Used *UsedConnections
}

// UsedConnections is the set of connections on which a request was sent. The zero value is empty. It is safe for
// concurrent use.
type UsedConnections struct {
	mu   sync.Mutex
	list []*conn
}

func (u *UsedConnections) add(cn *conn) {
	if u == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.list = append(u.list, cn)
}

func (u *UsedConnections) contains(cn *conn) bool {
	if u == nil {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Contains(u.list, cn)
}

// Response is a response from a backend server. Its Close field is not set.
type Response = httpwire.Response

// Client sends requests to backend servers and pools the connections to them. It is
// safe for concurrent use; its exported fields must be set before the first request.
type Client struct {
	// IDHeader is the name of the response header that repeats the request's ID.
	IDHeader string
	// MaxConnections returns the maximum number of connections of this instance to one
	// server of the service; 0 means no limit.
	MaxConnections func(service string) int
	// OnDial is called before each connection attempt; it may be nil.
	OnDial func()
	// OnMemoryExhausted is called for each response of which less is buffered than its size
	// allows, because the memory for bodies is exhausted; it may be nil.
	OnMemoryExhausted func()
	// BodyMemoryBytes bounds the memory for bodies of responses if it is smaller than bodyMemoryBytes; 0 means no
	// further limit.
	BodyMemoryBytes int64

	bodyMemory httpwire.ReservedMemory // of bodyMemoryBytes

	mu    sync.Mutex
	pools map[routing.Lifetime]*pool
	// reuseLimits holds the limits for services whose servers dropped idle connections,
	// by service name.
	reuseLimits map[string]reuseLimit
}

// reuseLimit bounds the idle time up to which connections to the servers of a service are
// reused. It applies to services whose servers drop idle connections early.
type reuseLimit struct {
	maxIdleTime time.Duration
	expiresAt   time.Time
}

// pool holds the connections to one server during one of its lifetimes.
type pool struct {
	idleConns []*conn
	openCount int
	closed    bool
}

// RetainTargets closes the idle connections to all servers that are not in the list.
// Connections in use are closed when their requests have ended.
func (c *Client) RetainTargets(targets []routing.Target) {
	listed := map[routing.Lifetime]bool{}
	for i := range targets {
		listed[targets[i].Lifetime()] = true
	}
	c.mu.Lock()
	var toClose []*conn
	for id, p := range c.pools {
		if !listed[id] {
			p.closed = true
			toClose = append(toClose, p.idleConns...)
			delete(c.pools, id)
		}
	}
	c.mu.Unlock()
	for _, cn := range toClose {
		_ = cn.nc.Close()
	}
}

// RemoveTargets closes the idle connections to servers whose lifetimes have ended.
// Connections in use are closed when their requests have ended.
func (c *Client) RemoveTargets(ended []routing.Lifetime) {
	c.mu.Lock()
	var toClose []*conn
	for _, id := range ended {
		if p := c.pools[id]; p != nil {
			p.closed = true
			toClose = append(toClose, p.idleConns...)
			delete(c.pools, id)
		}
	}
	c.mu.Unlock()
	for _, cn := range toClose {
		_ = cn.nc.Close()
	}
}

// CloseExpired closes connections whose idle timeout has passed, and deletes empty pools.
func (c *Client) CloseExpired(now time.Time) {
	c.mu.Lock()
	var toClose []*conn
	for id, p := range c.pools {
		if p.openCount == 0 {
			delete(c.pools, id)
			continue
		}
		kept := p.idleConns[:0]
		for _, cn := range p.idleConns {
			if now.Before(cn.idleUntil) {
				kept = append(kept, cn)
			} else {
				toClose = append(toClose, cn)
				p.openCount--
			}
		}
		p.idleConns = kept
	}
	c.mu.Unlock()
	for _, cn := range toClose {
		_ = cn.nc.Close()
	}
}

// acquire returns an idle connection to the target that was not used before, or opens a new
// one. Its errors wrap ErrNotSent.
func (c *Client) acquire(ctx context.Context, t *routing.Target, used *UsedConnections) (*conn, error) {
	c.mu.Lock()
	if c.pools == nil {
		c.pools = map[routing.Lifetime]*pool{}
	}
	p := c.pools[t.Lifetime()]
	if p == nil {
		p = &pool{}
		c.pools[t.Lifetime()] = p
	}
	now := time.Now()
	for i := len(p.idleConns) - 1; i >= 0; i-- {
		cn := p.idleConns[i]
		if used.contains(cn) {
			continue
		}
		p.idleConns = slices.Delete(p.idleConns, i, i+1)
		cn.idleTime = now.Sub(cn.idleSince)
		if now.Before(cn.idleUntil) && c.mayReuse(t.Service, cn.idleTime, now) && socket.Reusable(cn.nc) {
			c.mu.Unlock()
			cn.reused = true
			return cn, nil
		}
		p.openCount--
		_ = cn.nc.Close()
	}
	if limit := c.MaxConnections(t.Service); limit > 0 && p.openCount >= limit {
		c.mu.Unlock()
		return nil, ErrTooManyConnections
	}
	p.openCount++
	c.mu.Unlock()
	return c.dial(ctx, t, p)
}

// mayReuse reports whether a connection to a server of the service may be reused
// after the given idle time. The caller must hold c.mu.
func (c *Client) mayReuse(service string, idleTime time.Duration, now time.Time) bool {
	limit, ok := c.reuseLimits[service]
	if ok && now.After(limit.expiresAt) {
		delete(c.reuseLimits, service)
		return true
	}
	return !ok || idleTime < limit.maxIdleTime
}

// recordReset records that a connection ended without a response. If the connection had
// been idle for at least minResetIdleTime, recordReset sets or reduces the limit of the idle
// time up to which connections to the service are reused.
func (c *Client) recordReset(service string, cn *conn) {
	if !cn.reused || cn.idleTime < minResetIdleTime {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reuseLimits == nil {
		c.reuseLimits = map[string]reuseLimit{}
	}
	limit := time.Duration(reuseLimitFraction * float64(cn.idleTime))
	if previous, ok := c.reuseLimits[service]; ok {
		limit = min(limit, previous.maxIdleTime)
	}
	c.reuseLimits[service] = reuseLimit{maxIdleTime: limit, expiresAt: time.Now().Add(reuseLimitDuration)}
}

func (c *Client) dial(ctx context.Context, t *routing.Target, p *pool) (*conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout, Control: socket.Controls(socket.TCPUserTimeout(tcpUserTimeout), socket.Buffers(receiveBufferBytes, sendBufferBytes)),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
	}
	if c.OnDial != nil {
		c.OnDial()
	}
	nc, err := dialer.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		c.mu.Lock()
		p.openCount--
		c.mu.Unlock()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return newConn(c, p, nc), nil
}

// release returns a connection to its pool, or closes it if it is not reusable, its pool
// is closed or the pool has maxIdleConns idle connections.
func (c *Client) release(cn *conn, reusable bool) {
	c.mu.Lock()
	if reusable && !cn.pool.closed && len(cn.pool.idleConns) < maxIdleConns {
		cn.idleSince = time.Now()
		cn.idleUntil = cn.idleSince.Add(cn.idleTimeout)
		cn.pool.idleConns = append(cn.pool.idleConns, cn)
		c.mu.Unlock()
		return
	}
	cn.pool.openCount--
	c.mu.Unlock()
	_ = cn.nc.Close()
}

// Connections returns the number of open connections.
func (c *Client) Connections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, p := range c.pools {
		n += p.openCount
	}
	return n
}

// keepAliveTimeout returns the idle timeout of a connection: the timeout in the server's
// Keep-Alive header minus idleTimeoutMargin, but at most maxIdleTimeout, or
// defaultIdleTimeout if there is none. A connection must not be reused if the result is
// not positive.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			return min(time.Duration(n)*time.Second-idleTimeoutMargin, maxIdleTimeout)
		}
	}
	return defaultIdleTimeout
}
