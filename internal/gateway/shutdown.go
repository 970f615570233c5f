package gateway

import (
	"context"
	"sync"
)

// active counts the requests that handlers work on.
type active struct {
	mu   sync.Mutex
	n    int
	idle chan struct{} // closed when n is 0; nil if nobody waits
}

func (a *active) begin() {
	a.mu.Lock()
	a.n++
	a.mu.Unlock()
}

func (a *active) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.n--
	if a.n == 0 && a.idle != nil {
		close(a.idle)
		a.idle = nil
	}
}

func (a *active) wait() <-chan struct{} {
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

// InFlight is the number of requests that the handlers work on.
func (g *Gateway) InFlight() int {
	g.active.mu.Lock()
	defer g.active.mu.Unlock()
	return g.active.n
}

// Shutdown waits until no request is in flight and closes idle connections. The
// readiness check has failed and the targets were handed over before, so that
// few requests are left. If the context ends first, Shutdown returns its error
// and InFlight has the number of requests that will be cut off.
func (g *Gateway) Shutdown(ctx context.Context) error {
	select {
	case <-g.active.wait():
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
