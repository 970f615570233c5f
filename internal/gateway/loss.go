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
	// probeGracePeriod is the time for which a controller may finish requests after a
	// newer one took its target. Requests shorter than this start no watch.
	probeGracePeriod = 300 * time.Millisecond
	// probeTimeout bounds one probe. A connection within a region opens within milliseconds.
	probeTimeout = 300 * time.Millisecond
	// probeFailureThreshold is the number of failed probes in a row after which a controller
	// counts as lost. One lost packet must not cut off a request.
	probeFailureThreshold = 2
	// probeInterval is the wait after a probe that was answered.
	probeInterval = time.Second
)

// States of a controllerMonitor.
const (
	monitorWaiting int32 = iota
	monitorStopped
	monitorCancelled
)

// controllerMonitor gives up a forwarded request if a newer controller has the target
// and the host of the earlier one does not respond.
type controllerMonitor struct {
	g      *Gateway
	target *route.Target
	ctx    context.Context //nolint:containedctx // ends with the attempt
	cancel context.CancelFunc
	state  atomic.Int32
}

// stop stops giving up, and reports whether the attempt was given up before.
func (w *controllerMonitor) stop() bool {
	return !w.state.CompareAndSwap(monitorWaiting, monitorStopped)
}

// run cancels the attempt when its controller is lost. It returns at the latest
// with the attempt.
func (w *controllerMonitor) run() {
	if !w.waitReplaced() || !w.sleep(probeGracePeriod) {
		return
	}
	for failed := 0; failed < probeFailureThreshold; {
		if w.state.Load() != monitorWaiting {
			return
		}
		if w.unreachable() {
			failed++
			continue
		}
		failed = 0
		if !w.sleep(probeInterval) {
			return
		}
	}
	if w.state.CompareAndSwap(monitorWaiting, monitorCancelled) {
		w.cancel()
	}
}

// waitReplaced waits until a snapshot has a newer term of the target.
func (w *controllerMonitor) waitReplaced() bool {
	for w.state.Load() == monitorWaiting {
		snapshot, changed := w.g.cfg.Routes.Watch()
		if s := snapshot.Services[w.target.Row.Service]; s != nil {
			for _, t := range s.Targets {
				if t.Row.Target == w.target.Row.Target && t.Term > w.target.Term {
					return true
				}
			}
		}
		select {
		case <-changed:
		case <-w.ctx.Done():
			return false
		}
	}
	return false
}

func (w *controllerMonitor) sleep(d time.Duration) bool {
	timer := w.g.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-w.ctx.Done():
		return false
	}
}

// unreachable reports whether nothing responds at the controller's address. A refused
// connection is a response: a planned stop closes the listener before the
// requests in flight end, and a host closes the connections of a dead process.
func (w *controllerMonitor) unreachable() bool {
	ctx, cancel := context.WithTimeout(w.ctx, probeTimeout)
	defer cancel()
	conn, err := w.g.probe(ctx, "tcp", w.target.ForwardAddress)
	if err == nil {
		_ = conn.Close()
		return false
	}
	var timeout net.Error
	return w.ctx.Err() == nil && (errors.As(err, &timeout) && timeout.Timeout() ||
		errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH))
}
