package load

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	progressInterval = time.Second
	dialTimeout      = time.Second
)

// generator sends the requests of one run.
type generator struct {
	cfg       Config
	transport *http.Transport
	recorder  *recorder
	slots     chan struct{} // one element per request in flight
	pending   sync.WaitGroup
	startedAt time.Time
}

// Run sends the requests of a schedule, writes a progress line every second, and
// returns when all responses were received or timed out. Cancelling the context stops
// the schedule and the requests in flight, which count as Broken; the result covers the
// requests until then. The error is that of Config.Validate; no request was sent then.
func Run(ctx context.Context, cfg Config, progress io.Writer) (Result, error) {
	cfg = cfg.withDefaults()
	if err := cfg.Validate(); err != nil {
		return Result{}, err
	}
	g := &generator{
		cfg: cfg, recorder: newRecorder(), slots: make(chan struct{}, cfg.MaxOutstanding), startedAt: time.Now(),
		transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: cfg.MaxOutstanding, MaxConnsPerHost: cfg.MaxOutstanding, DisableCompression: true,
		},
	}
	defer g.transport.CloseIdleConnections()
	stop := make(chan struct{})
	progressDone := make(chan struct{})
	go func() { defer close(progressDone); g.writeProgress(progress, stop) }()
	g.sendOnSchedule(ctx)
	g.pending.Wait()
	close(stop)
	<-progressDone
	return g.recorder.snapshot(time.Since(g.startedAt)), nil
}

// sendOnSchedule starts each request at its scheduled time, or skips it if too many are in flight.
func (g *generator) sendOnSchedule(ctx context.Context) {
	arrivals := newArrivals(g.cfg)
	total := int(g.cfg.Rate * g.cfg.Duration.Seconds())
	for n := range total {
		scheduledAt := g.startedAt.Add(time.Duration(float64(n) / g.cfg.Rate * float64(time.Second)))
		if wait := time.Until(scheduledAt); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				return
			}
		} else if ctx.Err() != nil {
			return
		}
		g.startRequest(ctx, arrivals.next(n), scheduledAt)
	}
}

func (g *generator) startRequest(ctx context.Context, a arrival, scheduledAt time.Time) {
	select {
	case g.slots <- struct{}{}:
	default:
		g.recorder.recordArrival(false)
		return
	}
	g.recorder.recordArrival(true)
	g.pending.Add(1)
	go func() {
		defer g.pending.Done()
		r := g.cfg.send(ctx, g.transport, a)
		g.recorder.recordResponse(r, time.Since(scheduledAt))
		<-g.slots
	}()
}

func (g *generator) writeProgress(w io.Writer, stop <-chan struct{}) {
	tick := time.NewTicker(progressInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			_, _ = fmt.Fprintln(w, g.recorder.progressLine(time.Since(g.startedAt), len(g.slots)))
		case <-stop:
			return
		}
	}
}
