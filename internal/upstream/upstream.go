// Package upstream sends requests to backend servers over HTTP/1.1, one at a time on
// each connection. A response is accepted only if it repeats the request's ID, so that
// a duplicate, late or forged response on the same connection is never passed to a
// caller. A connection is reused only after a complete response with no bytes after it.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
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
	// unacknowledgedLimit bounds the time for which sent data may stay unacknowledged,
	// after which the server counts as unreachable and its connection is closed.
	unacknowledgedLimit = 600 * time.Millisecond
	// keepAliveTime is the idle time before the kernel's first keep-alive probe and
	// the interval between probes. They detect a server that became unreachable after it
	// received the request.
	keepAliveTime = time.Second
	// keepAliveLost is the number of unanswered probes that closes a connection.
	keepAliveLost = 2
	// defaultIdle is the idle timeout of a connection if the server sends none in
	// a Keep-Alive header.
	defaultIdle = 3 * time.Second
	// idleMargin is subtracted from the server's keep-alive timeout, so that a
	// connection is not used at the moment in which the server closes it.
	idleMargin = 700 * time.Millisecond
	// longestIdle bounds the idle timeout of a connection.
	longestIdle = 20 * time.Second
	// restNoticed is the minimum idle time of a connection at which a reset is
	// attributed to a server that drops idle connections: connections that were idle for
	// less are reset for other reasons.
	restNoticed = 40 * time.Millisecond
	// restShare is the fraction of that idle time up to which connections are
	// then reused.
	restShare = 0.5
	// forgetTime is the time for which such a limit applies.
	forgetTime = 5 * time.Second
	// maxIdle is the maximum number of idle connections to one server.
	maxIdle = 16
)

// Errors of Do.
var (
	// ErrNotSent means that no byte of the request was written, so that it can safely be
	// retried on another target.
	ErrNotSent = errors.New("request was not sent")
	// ErrTooMany means that the limit of connections to the server is reached. It wraps
	// ErrNotSent.
	ErrTooMany = fmt.Errorf("too many connections to the target: %w", ErrNotSent)
	// ErrNewReset means that the server reset a connection that had not carried a
	// request before. The server may have executed the request.
	ErrNewReset = errors.New("new connection was reset by the target")
	// ErrForeignAnswer means that the responses on the connection belong to other requests.
	ErrForeignAnswer = errors.New("response ID does not match the request")
)

// Request is a request to a backend server.
type Request struct {
	Method, URI, Host string
	Header            http.Header
	// ID is the request's identifier, which the response must repeat in the header IDHeader.
	ID string
	// Body is the whole body, or its beginning if BodyStream is not nil. BodyStream is
	// closed when it is no longer needed; its Close must unblock a pending Read.
	Body []byte
	Rest io.ReadCloser
	// Length is the length of the whole body, or -1 if it is unknown.
	Length int64
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

	mu    sync.Mutex
	pools map[routing.Lifetime]*pool
	// forgetful holds the limits for services whose servers dropped idle connections,
	// by service name.
	forgetful map[string]forgetting
}

// forgetting bounds the idle time after which connections to the servers of a service
// are still reused. It applies to services whose servers drop idle connections early.
type forgetting struct {
	longestRest time.Duration
	until       time.Time
}

// pool holds the connections to one lifetime of a server.
type pool struct {
	idle   []*conn
	open   int
	closed bool
}

// Keep closes the idle connections to all servers that are not in the list.
func (c *Client) Keep(targets []routing.Target) {
	listed := map[routing.Lifetime]bool{}
	for i := range targets {
		listed[targets[i].Lifetime()] = true
	}
	c.mu.Lock()
	var drop []*conn
	for id, p := range c.pools {
		if !listed[id] {
			p.closed = true
			drop = append(drop, p.idle...)
			delete(c.pools, id)
		}
	}
	c.mu.Unlock()
	for _, cn := range drop {
		_ = cn.nc.Close()
	}
}

// Drop closes the idle connections to servers whose lifetimes have ended.
func (c *Client) Drop(gone []routing.Lifetime) {
	c.mu.Lock()
	var drop []*conn
	for _, id := range gone {
		if p := c.pools[id]; p != nil {
			p.closed = true
			drop = append(drop, p.idle...)
			delete(c.pools, id)
		}
	}
	c.mu.Unlock()
	for _, cn := range drop {
		_ = cn.nc.Close()
	}
}

// Sweep closes connections whose idle timeout has passed, and deletes empty pools.
func (c *Client) Sweep(now time.Time) {
	c.mu.Lock()
	var drop []*conn
	for id, p := range c.pools {
		if p.open == 0 {
			delete(c.pools, id)
			continue
		}
		kept := p.idle[:0]
		for _, cn := range p.idle {
			if now.Before(cn.until) {
				kept = append(kept, cn)
			} else {
				drop = append(drop, cn)
				p.open--
			}
		}
		p.idle = kept
	}
	c.mu.Unlock()
	for _, cn := range drop {
		_ = cn.nc.Close()
	}
}

// get returns an idle connection to the target or opens a new one. Its errors wrap
// ErrNotSent.
func (c *Client) get(ctx context.Context, t *routing.Target) (*conn, error) {
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
	for len(p.idle) > 0 {
		cn := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		cn.rested = now.Sub(cn.since)
		if now.Before(cn.until) && c.remembered(t.Service, cn.rested, now) && socket.Quiet(cn.nc) {
			c.mu.Unlock()
			cn.used = true
			return cn, nil
		}
		p.open--
		_ = cn.nc.Close()
	}
	if limit := c.MaxConnections(t.Service); limit > 0 && p.open >= limit {
		c.mu.Unlock()
		return nil, ErrTooMany
	}
	p.open++
	c.mu.Unlock()
	return c.dial(ctx, t, p)
}

// remembered reports whether a connection to a server of the service may be reused
// after the given idle time. The caller must hold c.mu.
func (c *Client) remembered(service string, rested time.Duration, now time.Time) bool {
	f, ok := c.forgetful[service]
	if ok && now.After(f.until) {
		delete(c.forgetful, service)
		return true
	}
	return !ok || rested < f.longestRest
}

// reset records that a connection ended without a response. If it had been idle
// for long enough, it shortens the idle time after which connections to the service
// are reused.
func (c *Client) reset(service string, cn *conn) {
	if !cn.used || cn.rested < restNoticed {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.forgetful == nil {
		c.forgetful = map[string]forgetting{}
	}
	longest := time.Duration(restShare * float64(cn.rested))
	if f, ok := c.forgetful[service]; ok {
		longest = min(longest, f.longestRest)
	}
	c.forgetful[service] = forgetting{longestRest: longest, until: time.Now().Add(forgetTime)}
}

func (c *Client) dial(ctx context.Context, t *routing.Target, p *pool) (*conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout, Control: socket.UnacknowledgedLimit(unacknowledgedLimit),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveTime, Interval: keepAliveTime, Count: keepAliveLost},
	}
	if c.OnDial != nil {
		c.OnDial()
	}
	nc, err := dialer.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		c.mu.Lock()
		p.open--
		c.mu.Unlock()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return newConn(c, p, nc), nil
}

// put returns a connection to its pool, or closes it if it is not reusable, its pool
// is closed or the pool has maxIdleConns idle connections.
func (c *Client) put(cn *conn, reusable bool) {
	c.mu.Lock()
	if reusable && !cn.pool.closed && len(cn.pool.idle) < maxIdle {
		cn.since = time.Now()
		cn.until = cn.since.Add(cn.idle)
		cn.pool.idle = append(cn.pool.idle, cn)
		c.mu.Unlock()
		return
	}
	cn.pool.open--
	c.mu.Unlock()
	_ = cn.nc.Close()
}

// Open returns the number of open connections.
func (c *Client) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, p := range c.pools {
		n += p.open
	}
	return n
}

// idleTime returns the idle timeout of a connection from the server's Keep-Alive
// header, with a margin subtracted. Values that are not positive mean that the
// connection cannot be reused.
func idleTime(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			return min(time.Duration(n)*time.Second-idleMargin, longestIdle)
		}
	}
	return defaultIdle
}
