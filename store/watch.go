package store

import (
	"context"
	"time"
)

// WatchByPolling implements Store.Watch with a Poller. Each poll waits that long for a
// change. The channel closes when the context ends or a poll fails; the caller then
// lists again and gets the error there.
func WatchByPolling(ctx context.Context, p Poller, kind string, from Version, wait time.Duration) (<-chan Event, error) {
	first, at, err := p.Poll(ctx, kind, from, 0)
	if err != nil {
		return nil, err
	}
	events := make(chan Event)
	go func() {
		defer close(events)
		for {
			for _, e := range first {
				select {
				case events <- e:
				case <-ctx.Done():
					return
				}
			}
			if first, at, err = p.Poll(ctx, kind, at, wait); err != nil {
				return
			}
		}
	}()
	return events, nil
}
