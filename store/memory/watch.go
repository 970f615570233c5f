package memory

import (
	"context"
	"fmt"

	"github.com/boragegate/boragegate/store"
)

// Watch implements store.Store. Each watch has a goroutine that reads the history
// independently, so a slow receiver delays neither writes nor other watches. The
// channel is closed when ctx ends, when Faults.Down is set, when the store is restored, or when
// the history no longer has all changes since the last one that the watch read.
func (s *Store) Watch(ctx context.Context, kind string, from store.Version) (<-chan store.Event, error) {
	if err := s.beginCall(ctx, opWatch); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// A version higher than the store's own comes from another store, which this one replaced.
	if from < s.lastDroppedVersion || from > s.version {
		return nil, fmt.Errorf("watch %s from version %d: %w", kind, from, store.ErrTooOld)
	}
	ch := make(chan store.Event)
	go s.deliverEvents(ctx, kind, from, s.restores, ch)
	return ch, nil
}

func (s *Store) deliverEvents(ctx context.Context, kind string, from store.Version, restores int, ch chan<- store.Event) {
	defer close(ch)
	for {
		events, next, changed, ok := s.eventsSince(kind, from, restores)
		if !ok {
			return
		}
		for _, ev := range events {
			select {
			case ch <- ev:
			case <-ctx.Done():
				return
			}
		}
		from = next
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// eventsSince returns the changes to objects of a kind after a version, the store
// version up to which they are complete, and a channel that is closed at the next
// change. It returns false if the watch cannot continue.
func (s *Store) eventsSince(kind string, from store.Version, restores int) ([]store.Event, store.Version, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down || s.restores != restores || from < s.lastDroppedVersion {
		return nil, 0, nil, false
	}
	var events []store.Event
	for _, ev := range s.events {
		if ev.Object.Version > from && ev.Object.Kind == kind {
			ev.Object = clone(ev.Object)
			events = append(events, ev)
		}
	}
	s.counts.Events += int64(len(events))
	return events, s.version, s.changed, true
}
