package store

import (
	"context"
	"time"
)

// WatchByPolling implements Store.Watch by long polling. Each poll waits for a change
// for at most the given time, except the first, which does not wait: its error is
// returned. The channel is closed when the context ends, a later poll fails or reports another
// era; the caller then calls List, which reports the error if the store still fails.
func WatchByPolling(ctx context.Context, p Poller, kind string, from Version, wait time.Duration) (<-chan Event, error) {
	changes, version, err := p.Poll(ctx, kind, from, 0)
	if err != nil {
		return nil, err
	}
	era := func() Era {
		if r, ok := p.(EraReporter); ok {
			return r.Era()
		}
		return 0
	}
	firstEra := era()
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
			if changes, version, err = p.Poll(ctx, kind, version, wait); err != nil || era() != firstEra {
				return
			}
		}
	}()
	return events, nil
}
