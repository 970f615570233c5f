package gateway

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/boragegate/boragegate/internal/route"
)

const (
	// probeGracePeriod is how long a replaced controller may continue with requests
	// before it is probed. Requests shorter than this start no monitor.
	probeGracePeriod = 300 * time.Millisecond
	// probeTimeout is the timeout of one probe. A connection within a region
	// opens within milliseconds.
	probeTimeout = 300 * time.Millisecond
	// probeFailureThreshold is the number of consecutive failed probes after which a
	// controller counts as unreachable. A single lost packet must not abort a request.
	probeFailureThreshold = 2
	// probeInterval is the delay after a successful probe.
	probeInterval = time.Second
)

// States of a controllerMonitor.
const (
	monitorWaiting int32 = iota
	monitorStopped
	monitorCancelled
)

// controllerMonitor cancels a forwarded request if a newer controller has taken
// over the target and the host of the controller that has the request does not
// respond.
type controllerMonitor struct {
	g      *Gateway
	target *route.Target
	ctx    context.Context //nolint:containedctx // ends with the attempt
	cancel context.CancelFunc
	state  atomic.Int32
}

// stop prevents the cancellation of the attempt, and reports whether it was
// cancelled before.
func (m *controllerMonitor) stop() bool {
	return !m.state.CompareAndSwap(monitorWaiting, monitorStopped)
}

// run cancels the attempt when its controller has been replaced and is
// unreachable. It returns then, or when the attempt ends.
func (m *controllerMonitor) run() {
	if !m.waitReplaced() || !m.sleep(probeGracePeriod) {
		return
	}
	for failed := 0; failed < probeFailureThreshold; {
		if m.state.Load() != monitorWaiting {
			return
		}
		if m.unreachable() {
			failed++
			continue
		}
		failed = 0
		if !m.sleep(probeInterval) {
			return
		}
	}
	if m.state.CompareAndSwap(monitorWaiting, monitorCancelled) {
		m.cancel()
	}
}

// waitReplaced waits for a snapshot with a newer term of the target. It returns
// false if the attempt ends first.
func (m *controllerMonitor) waitReplaced() bool {
	for m.state.Load() == monitorWaiting {
		snapshot, changed := m.g.cfg.Routes.Watch()
		if s := snapshot.Services[m.target.Row.Service]; s != nil {
			for _, t := range s.Targets {
				if t.Row.Target == m.target.Row.Target && t.Term > m.target.Term {
					return true
				}
			}
		}
		select {
		case <-changed:
		case <-m.ctx.Done():
			return false
		}
	}
	return false
}

// sleep waits for the duration. It returns false if the attempt ends first.
func (m *controllerMonitor) sleep(d time.Duration) bool {
	timer := m.g.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-m.ctx.Done():
		return false
	}
}

// unreachable probes the controller's address, for at most probeTimeout, and reports
// whether its host does not respond. A refused connection is a response: a graceful
// stop closes the listener before the requests in flight end, and the host closes the
// connections of a process that has died.
func (m *controllerMonitor) unreachable() bool {
	ctx, cancel := context.WithTimeout(m.ctx, probeTimeout)
	defer cancel()
	conn, err := m.g.probe(ctx, "tcp", m.target.ForwardAddress)
	if err == nil {
		_ = conn.Close()
		return false
	}
	var timeout net.Error
	return m.ctx.Err() == nil && (errors.As(err, &timeout) && timeout.Timeout() ||
		errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH))
}
