package httpstore

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/boragegate/boragegate/store"
)

// Watch implements store.Store. One goroutine per watch reads the stream; it
// ends with the context, with the connection, or when nothing arrives for
// Options.WatchIdle.
func (s *Store) Watch(ctx context.Context, kind string, from store.Version) (<-chan store.Event, error) {
	ctx, cancel := context.WithCancel(ctx)
	starting := time.AfterFunc(s.options.Timeout, cancel)
	response, err := s.send(ctx, call{method: http.MethodGet, path: watchPath(kind, from)}) //nolint:bodyclose // closed by the goroutine below
	if err != nil {
		starting.Stop()
		cancel()
		return nil, err
	}
	starting.Stop()
	events := make(chan store.Event)
	go func() {
		defer close(events)
		defer cancel()
		defer func() { _ = response.Body.Close() }()
		decodeEvents(ctx, newIdleReader(response.Body, s.options.WatchIdle, cancel), kind, events)
	}()
	return events, nil
}

// decodeEvents decodes events until the stream ends or has something that is not an event of the kind.
func decodeEvents(ctx context.Context, stream *idleReader, kind string, events chan<- store.Event) {
	defer stream.stop()
	decoder := json.NewDecoder(stream)
	for {
		var ev store.Event
		if decoder.Decode(&ev) != nil || ev.Object.Kind != kind || (ev.Type != store.EventPut && ev.Type != store.EventDeleted) {
			return
		}
		// The time that the consumer takes does not count as silence of the stream.
		stream.pause()
		select {
		case events <- ev:
		case <-ctx.Done():
			return
		}
	}
}

// idleReader calls expire when a read waits longer than the limit.
type idleReader struct {
	r       io.Reader
	timeout time.Duration
	timer   *time.Timer
}

func newIdleReader(r io.Reader, limit time.Duration, expire func()) *idleReader {
	return &idleReader{r: r, timeout: limit, timer: time.AfterFunc(limit, expire)}
}

func (i *idleReader) Read(b []byte) (int, error) {
	i.timer.Reset(i.timeout)
	return i.r.Read(b)
}

func (i *idleReader) pause() { i.timer.Stop() }
func (i *idleReader) stop()  { i.timer.Stop() }
