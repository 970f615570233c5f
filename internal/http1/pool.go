package http1

import (
	"sync"
	"time"
)

// pool holds idle connections, latest last, by address.
type pool struct {
	mu    sync.Mutex
	idle  map[string][]*conn
	swept time.Time
}

func (p *pool) take(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	last := len(conns) - 1
	c := conns[last]
	conns[last] = nil
	p.idle[address] = conns[:last]
	return c
}

// put keeps a connection for later, or returns false.
func (p *pool) put(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[string][]*conn)
	}
	p.sweep(c.idleSince, c.transport.IdleTimeout)
	if len(p.idle[c.address]) >= c.transport.MaxIdle {
		return false
	}
	p.idle[c.address] = append(p.idle[c.address], c)
	return true
}

// sweep closes connections that were idle for too long, also those to addresses
// that are not used any more.
func (p *pool) sweep(now time.Time, timeout time.Duration) {
	if now.Sub(p.swept) < timeout/2 {
		return
	}
	p.swept = now
	for address, conns := range p.idle {
		n := 0
		for n < len(conns) && now.Sub(conns[n].idleSince) >= timeout {
			_ = conns[n].net.Close()
			n++
		}
		if n == len(conns) {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = conns[n:]
	}
}

func (p *pool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.idle {
		for _, c := range conns {
			_ = c.net.Close()
		}
	}
	clear(p.idle)
}
