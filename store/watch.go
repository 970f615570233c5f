package store

import (
	"context"
	"time"
)

// WatchByPolling implements Store.Watch by long polling. Each poll waits for a change
// for at most the given time, except the first, which does not wait: its error is
// returned. The channel is closed when the context ends or a later poll fails; the
// caller then calls List, which reports the error if the store still fails.
func WatchByPolling(ctx context.Context, p Poller, kind string, from Version, wait time.Duration) (<-chan Event, error) {
	changes, version, err := p.Poll(ctx, kind, from, 0)
	if err != nil {
		return nil, err
	}
	events := make(chan Event)
	go func() {
		defer close(events)
		for {
			for _, e := range changes {
				select {
				case events <- e:
				case <-ctx.Done():
					return
				}
			}
			if changes, version, err = p.Poll(ctx, kind, version, wait); err != nil {
				return
			}
		}
	}()
	return events, nil
}
