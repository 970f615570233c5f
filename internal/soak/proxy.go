package soak

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// proxyChunkSize is the maximum size of a chunk that a proxy forwards, in bytes.
	proxyChunkSize = 4 << 10
	// proxyQueueLength is the number of chunks that a proxy buffers for each direction of a
	// connection.
	proxyQueueLength = 64
)

// networkConditions are the network faults that a proxy simulates on its connections.
type networkConditions struct {
	// Delay is added to each chunk in both directions.
	Delay time.Duration
	// HoldUpstream and HoldDownstream hold back the data to the server and from it. The data
	// is delivered when the condition ends.
	HoldUpstream, HoldDownstream bool
}

// proxy forwards TCP connections to a server.
type proxy struct {
	listener net.Listener
	server   string

	mu         sync.Mutex
	conditions networkConditions
	changed    chan struct{} // closed and replaced when the conditions change
	conns      map[net.Conn]struct{}
}

func newProxy(server string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, server: server, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setConditions(c networkConditions) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conditions = c
	close(p.changed)
	p.changed = make(chan struct{})
}

// resetConnections closes all open connections with a TCP reset.
func (p *proxy) resetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.setConditions(networkConditions{})
	p.resetConnections()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.server)
	if err != nil {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(server, client, func(c networkConditions) bool { return c.HoldUpstream }) })
	wg.Go(func() { p.copy(client, server, func(c networkConditions) bool { return c.HoldDownstream }) })
	wg.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, client)
	delete(p.conns, server)
}

// copy forwards data in one direction under the current conditions. Data that is held
// back when its sender resets the connection is discarded.
func (p *proxy) copy(to, from net.Conn, isHeld func(networkConditions) bool) {
	defer func() { _, _ = to.Close(), from.Close() }()
	chunks, reset := make(chan []byte, proxyQueueLength), make(chan struct{})
	go func() {
		defer close(chunks)
		for {
			chunk := make([]byte, proxyChunkSize)
			n, err := from.Read(chunk)
			if n > 0 {
				chunks <- chunk[:n]
			}
			if errors.Is(err, syscall.ECONNRESET) {
				close(reset)
			}
			if err != nil {
				return
			}
		}
	}()
	for chunk := range chunks {
		if !p.waitToForward(isHeld, reset) {
			break
		}
		if _, err := to.Write(chunk); err != nil {
			break
		}
	}
	_ = from.Close()   // makes the reader's Read fail
	for range chunks { //nolint:revive // unblocks the reader, which may be sending
	}
}

// waitToForward waits until a chunk may be forwarded. It returns false if the sender has
// reset the connection while the chunk was held back.
func (p *proxy) waitToForward(isHeld func(networkConditions) bool, reset <-chan struct{}) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if delay := p.conditions.Delay; delay > 0 {
		p.mu.Unlock()
		time.Sleep(delay)
		p.mu.Lock()
	}
	for isHeld(p.conditions) {
		changed := p.changed
		p.mu.Unlock()
		select {
		case <-changed:
		case <-reset:
			p.mu.Lock()
			return false
		}
		p.mu.Lock()
	}
	return true
}
