// Package upstream exchanges requests with backend servers over HTTP/1.1, one at
// a time on a connection. An answer is accepted only if it names the request, so
// that a second, late or forged answer on the same connection reaches nobody. A
// connection is used again only after a whole answer with nothing behind it.
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
	// dialTimeout bounds connecting. A connection opens in a few milliseconds.
	dialTimeout = 250 * time.Millisecond
	// tcpUserTimeout ends a connection to a server that has vanished.
	tcpUserTimeout = 600 * time.Millisecond
	// keepAliveInterval is the idle time and interval of the kernel's probes, which
	// end a connection to a server that vanished after it took the request.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// defaultIdleTimeout is the time for which an idle connection is kept if the server
	// does not say how long it keeps it.
	defaultIdleTimeout = 3 * time.Second
	// idleTimeoutMargin is taken off the time that a server says.
	idleTimeoutMargin = 700 * time.Millisecond
	// maxIdleTimeout bounds the time for which an idle connection is kept.
	maxIdleTimeout = 20 * time.Second
	// minResetIdleTime is the shortest rest of a connection whose reset is taken for a
	// server that forgets idle connections: a busy one is reset for other reasons.
	minResetIdleTime = 40 * time.Millisecond
	// reuseLimitFraction is the part of that rest for which connections are used again.
	reuseLimitFraction = 0.5
	// reuseLimitDuration is the time for which connections are then kept shorter.
	reuseLimitDuration = 5 * time.Second
	// maxIdleConns is the number of idle connections to one server.
	maxIdleConns = 16
)

// Errors of an exchange.
var (
	// ErrNotSent means that no byte of the request was written.
	ErrNotSent = errors.New("request was not sent")
	// ErrTooManyConnections means that the limit of connections to the server is reached. Nothing was sent.
	ErrTooManyConnections = fmt.Errorf("too many connections: %w", ErrNotSent)
	// ErrNewConnReset means that the server reset a connection that had not carried a
	// request before. The request may have run.
	ErrNewConnReset = errors.New("new connection was reset")
	// ErrResponseMismatch means that the answers on the connection belong to other requests.
	ErrResponseMismatch = errors.New("answer belongs to another request")
)

// Request is what is sent.
type Request struct {
	Method, URI, Host string
	Header            http.Header
	// ID is the request's identifier; answers must repeat it.
	ID string
	// Body is the whole body, or its beginning if Rest is not nil. Rest is closed when
	// the rest is not needed any more; Close must end a Read that waits.
	Body       []byte
	BodyStream io.ReadCloser
	// Length is the length of the whole body, or -1 if it is unknown.
	Length int64
}

// Response is an answer. Close is not used.
type Response = httpwire.Response

// Client has the connections to all backend servers.
type Client struct {
	// IDHeader is the name of the header that repeats the request's ID.
	IDHeader string
	// MaxConnections returns the number of connections that this instance may have
	// to one server of the service; 0 means no limit.
	MaxConnections func(service string) int
	// OnDial is told of each new connection; it may be nil.
	OnDial func()

	mu    sync.Mutex
	pools map[routing.Lifetime]*pool
	// reuseLimits has the services whose servers have lost idle connections, by name.
	reuseLimits map[string]reuseLimit
}

// reuseLimit bounds the rest of connections to servers that lose idle ones.
type reuseLimit struct {
	maxIdleTime time.Duration
	expiresAt   time.Time
}

// pool has the connections to one lifetime of a server.
type pool struct {
	idleConns []*conn
	openCount int
	closed    bool
}

// RetainTargets closes idle connections to servers that are not in the list.
func (c *Client) RetainTargets(targets []routing.Target) {
	listed := map[routing.Lifetime]bool{}
	for i := range targets {
		listed[targets[i].Lifetime()] = true
	}
	c.mu.Lock()
	var drop []*conn
	for id, p := range c.pools {
		if !listed[id] {
			p.closed = true
			drop = append(drop, p.idleConns...)
			delete(c.pools, id)
		}
	}
	c.mu.Unlock()
	for _, cn := range drop {
		_ = cn.nc.Close()
	}
}

// RemoveTargets closes idle connections to servers that have gone.
func (c *Client) RemoveTargets(gone []routing.Lifetime) {
	c.mu.Lock()
	var drop []*conn
	for _, id := range gone {
		if p := c.pools[id]; p != nil {
			p.closed = true
			drop = append(drop, p.idleConns...)
			delete(c.pools, id)
		}
	}
	c.mu.Unlock()
	for _, cn := range drop {
		_ = cn.nc.Close()
	}
}

// CloseExpired closes connections that have been idle for too long.
func (c *Client) CloseExpired(now time.Time) {
	c.mu.Lock()
	var drop []*conn
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
				drop = append(drop, cn)
				p.openCount--
			}
		}
		p.idleConns = kept
	}
	c.mu.Unlock()
	for _, cn := range drop {
		_ = cn.nc.Close()
	}
}

// acquire returns an idle connection or a new one.
func (c *Client) acquire(ctx context.Context, t *routing.Target) (*conn, error) {
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
	for len(p.idleConns) > 0 {
		cn := p.idleConns[len(p.idleConns)-1]
		p.idleConns = p.idleConns[:len(p.idleConns)-1]
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

// mayReuse reports whether the servers of a service still know a connection
// that has rested for the time. The caller holds the lock.
func (c *Client) mayReuse(service string, rested time.Duration, now time.Time) bool {
	f, ok := c.reuseLimits[service]
	if ok && now.After(f.expiresAt) {
		delete(c.reuseLimits, service)
		return true
	}
	return !ok || rested < f.maxIdleTime
}

// recordReset notes that a connection ended instead of bringing an answer.
func (c *Client) recordReset(service string, cn *conn) {
	if !cn.reused || cn.idleTime < minResetIdleTime {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reuseLimits == nil {
		c.reuseLimits = map[string]reuseLimit{}
	}
	longest := time.Duration(reuseLimitFraction * float64(cn.idleTime))
	if f, ok := c.reuseLimits[service]; ok {
		longest = min(longest, f.maxIdleTime)
	}
	c.reuseLimits[service] = reuseLimit{maxIdleTime: longest, expiresAt: time.Now().Add(reuseLimitDuration)}
}

func (c *Client) dial(ctx context.Context, t *routing.Target, p *pool) (*conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout, Control: socket.TCPUserTimeout(tcpUserTimeout),
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

// release returns a connection after a whole answer, or closes it.
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

// Connections is the number of connections.
func (c *Client) Connections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, p := range c.pools {
		n += p.openCount
	}
	return n
}

// keepAliveTimeout reads how long the server keeps an idle connection.
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
