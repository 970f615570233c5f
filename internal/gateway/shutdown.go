package gateway

import (
	"context"
	"sync"
)

// activeRequests counts the requests that the handlers are processing.
type activeRequests struct {
	mu   sync.Mutex
	n    int
	idle chan struct{} // closed when n reaches 0; nil if nobody waits for it
}

func (a *activeRequests) begin() {
	a.mu.Lock()
	a.n++
	a.mu.Unlock()
}

func (a *activeRequests) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.n--
	if a.n == 0 && a.idle != nil {
		close(a.idle)
		a.idle = nil
	}
}

// idleChan returns a channel that is closed as soon as no request is active.
func (a *activeRequests) idleChan() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.idle == nil {
		a.idle = make(chan struct{})
	}
	idle := a.idle
	if a.n == 0 {
		close(idle)
		a.idle = nil
	}
	return idle
}

// ActiveRequests returns the number of requests that the handlers are processing.
func (g *Gateway) ActiveRequests() int {
	g.activeRequests.mu.Lock()
	defer g.activeRequests.mu.Unlock()
	return g.activeRequests.n
}

// Shutdown waits until no request is in flight and then closes idle connections.
// Call it after the readiness check has begun to fail and the targets were handed
// over, so that few requests remain. If the context ends first, Shutdown returns
// its error, and ActiveRequests returns the number of requests that will be cut off.
func (g *Gateway) Shutdown(ctx context.Context) error {
	select {
	case <-g.activeRequests.idleChan():
	case <-ctx.Done():
		return ctx.Err()
	}
	g.targets.m.Range(func(_, v any) bool {
		v.(*target).pool().CloseIdleConnections()
		return true
	})
	if t, ok := g.cfg.ForwardTransport.(interface{ CloseIdleConnections() }); ok {
		t.CloseIdleConnections()
	}
	return nil
}
