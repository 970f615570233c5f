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

// generator is one run.
type generator struct {
	cfg       Config
	transport *http.Transport
	recorder  *recorder
	slots     chan struct{} // one element per open request
	open      sync.WaitGroup
	started   time.Time
}

// Run sends the requests of a schedule, writes a progress line a second, and
// returns when all answers have come or timed out. A context that ends stops
// the schedule.
func Run(ctx context.Context, cfg Config, progress io.Writer) (Result, error) {
	cfg = cfg.withDefaults()
	if err := cfg.Validate(); err != nil {
		return Result{}, err
	}
	g := &generator{
		cfg: cfg, recorder: newRecorder(), slots: make(chan struct{}, cfg.Outstanding), started: time.Now(),
		transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: cfg.Outstanding, MaxConnsPerHost: cfg.Outstanding, DisableCompression: true,
		},
	}
	defer g.transport.CloseIdleConnections()
	stop := make(chan struct{})
	reporting := make(chan struct{})
	go func() { defer close(reporting); g.report(progress, stop) }()
	g.schedule(ctx)
	g.open.Wait()
	close(stop)
	<-reporting
	return g.recorder.take(time.Since(g.started)), nil
}

// schedule starts each request at its time.
func (g *generator) schedule(ctx context.Context) {
	arrivals := newArrivals(g.cfg)
	total := int(g.cfg.Rate * g.cfg.Duration.Seconds())
	for n := range total {
		due := g.started.Add(time.Duration(float64(n) / g.cfg.Rate * float64(time.Second)))
		if wait := time.Until(due); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				return
			}
		} else if ctx.Err() != nil {
			return
		}
		g.start(ctx, arrivals.next(n), due)
	}
}

func (g *generator) start(ctx context.Context, a arrival, due time.Time) {
	select {
	case g.slots <- struct{}{}:
	default:
		g.recorder.schedule(false)
		return
	}
	g.recorder.schedule(true)
	g.open.Add(1)
	go func() {
		defer g.open.Done()
		r := g.cfg.send(ctx, g.transport, a)
		g.recorder.add(r, time.Since(due))
		<-g.slots
	}()
}

func (g *generator) report(w io.Writer, stop <-chan struct{}) {
	tick := time.NewTicker(progressInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			_, _ = fmt.Fprintln(w, g.recorder.progress(time.Since(g.started), len(g.slots)))
		case <-stop:
			return
		}
	}
}
