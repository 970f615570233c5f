package httpstore

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/boragegate/boragegate/store"
)

// Watch implements store.Store. One goroutine per watch reads the stream. The watch ends
// when the context ends, when the connection is closed, when the stream contains
// anything but events of the kind and empty lines, or when no data arrives for
// Options.WatchIdleTimeout.
func (s *Store) Watch(ctx context.Context, kind string, from store.Version) (<-chan store.Event, error) {
	ctx, cancel := context.WithCancel(ctx)
	startTimer := time.AfterFunc(s.options.Timeout, cancel)
	response, err := s.send(ctx, call{method: http.MethodGet, path: watchPath(kind, from)}) //nolint:bodyclose // closed by the goroutine below
	if err != nil {
		startTimer.Stop()
		cancel()
		return nil, err
	}
	startTimer.Stop()
	events := make(chan store.Event)
	go func() {
		defer close(events)
		defer cancel()
		defer func() { _ = response.Body.Close() }()
		decodeEvents(ctx, newIdleReader(response.Body, s.options.WatchIdleTimeout, cancel), kind, events)
	}()
	return events, nil
}

// decodeEvents decodes events and sends them to the channel until the stream ends or
// contains anything but events of the kind.
func decodeEvents(ctx context.Context, stream *idleReader, kind string, events chan<- store.Event) {
	defer stream.stop()
	decoder := json.NewDecoder(stream)
	for {
		var ev store.Event
		if decoder.Decode(&ev) != nil || ev.Object.Kind != kind || (ev.Type != store.EventPut && ev.Type != store.EventDeleted) {
			return
		}
		// The time until the receiver takes the event does not count as idle time of the stream.
		stream.pause()
		select {
		case events <- ev:
		case <-ctx.Done():
			return
		}
	}
}

// idleReader is a reader with an idle timeout: the function that is passed to
// newIdleReader is called when no data arrives for the timeout. Each Read restarts the
// timer, and pause stops it until the next Read.
type idleReader struct {
	r       io.Reader
	timeout time.Duration
	timer   *time.Timer
}

func newIdleReader(r io.Reader, timeout time.Duration, expire func()) *idleReader {
	return &idleReader{r: r, timeout: timeout, timer: time.AfterFunc(timeout, expire)}
}

func (i *idleReader) Read(b []byte) (int, error) {
	i.timer.Reset(i.timeout)
	return i.r.Read(b)
}

func (i *idleReader) pause() { i.timer.Stop() }
func (i *idleReader) stop()  { i.timer.Stop() }
