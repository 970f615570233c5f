package tablestore

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/boragegate/boragegate/store"
)

// write makes a record the current one if the store still has the version that
// was read. It returns errConcurrentChange if it has another one.
func (t *Tables) write(ctx context.Context, r, current *Record) error {
	if err := r.encode(); err != nil {
		return err
	}
	if current != nil {
		if err := t.archive(ctx, current); err != nil {
			return err
		}
	}
	if err := t.announce(ctx, r.Version); err != nil {
		return err
	}
	obj := store.Object{Kind: Kind, Name: Name, Writer: r.Writer, Value: r.Value}
	if current != nil {
		obj.Version = current.objectVersion
	}
	err := t.put(ctx, obj, r)
	var unknown *OutcomeUnknownError
	switch {
	case err == nil:
		t.completeChange(ctx, r)
	case !errors.As(err, &unknown) && t.options.Announcer != nil:
		t.options.Announcer.OnAbandoned(r.Version)
	}
	return err
}

func (t *Tables) announce(ctx context.Context, version uint64) error {
	if t.options.Announcer == nil {
		return nil
	}
	if err := t.options.Announcer.Announce(ctx, version); err != nil {
		t.options.Announcer.OnAbandoned(version)
		return fmt.Errorf("tablestore: announce version %d: %w", version, err)
	}
	return nil
}

// completeChange does what can follow later: history and notice.
func (t *Tables) completeChange(ctx context.Context, r *Record) {
	t.observeVersion(r.Version)
	if t.options.Announcer != nil {
		t.options.Announcer.OnAccepted(r)
	}
	// The next change keeps the version in the history if this attempt fails.
	_ = t.archive(ctx, r)
	t.pruneHistory(ctx, r.Version)
}

// put writes until the outcome is known. Repeating is safe: the write is
// conditional on the version read, so it takes effect at most once.
func (t *Tables) put(ctx context.Context, obj store.Object, r *Record) error {
	lost := false
	for attempt := 1; ; attempt++ {
		stored, err := t.putOnce(ctx, obj)
		switch {
		case err == nil:
			r.objectVersion = stored.Version
			return nil
		case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrExists), errors.Is(err, store.ErrNotFound):
			if !lost {
				return errConcurrentChange
			}
			return t.resolveOutcome(ctx, r)
		case !lost && !uncertain(err):
			return fmt.Errorf("tablestore: write version %d: %w", r.Version, err)
		}
		lost = true
		if attempt == maxAttempts || !t.waitForRetry(ctx) {
			return t.readOutcome(ctx, r, err)
		}
	}
}

func (t *Tables) putOnce(ctx context.Context, obj store.Object) (store.Object, error) {
	if obj.Version == 0 {
		return t.store.Create(ctx, obj)
	}
	return t.store.Update(ctx, obj)
}

// uncertain reports whether a write that failed may have taken effect.
func uncertain(err error) bool {
	return errors.Is(err, store.ErrOutcomeUnknown) || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}

func (t *Tables) waitForRetry(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-t.options.Clock.After(retryDelay):
		return true
	}
}

// resolveOutcome finds out whose write replaced the version that was read. The history
// answers when later versions followed, because each writer keeps the version
// that it replaces.
func (t *Tables) resolveOutcome(ctx context.Context, r *Record) error {
	now, err := t.Version(ctx, r.Version)
	switch {
	case err != nil:
		return &OutcomeUnknownError{Version: r.Version, Writer: r.Writer, Cause: err}
	case now.Writer == r.Writer:
		r.objectVersion = now.objectVersion
		return nil
	default:
		return errConcurrentChange
	}
}

// outcomeReadTimeout bounds the read that follows when the caller's time is used up.
const outcomeReadTimeout = 2 * time.Second

// readOutcome reads once more before it gives up.
func (t *Tables) readOutcome(ctx context.Context, r *Record, cause error) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), outcomeReadTimeout)
	defer cancel()
	if now, err := t.Version(ctx, r.Version); err == nil {
		if now.Writer == r.Writer {
			r.objectVersion = now.objectVersion
			return nil
		}
		return errConcurrentChange
	}
	return &OutcomeUnknownError{Version: r.Version, Writer: r.Writer, Cause: cause}
}
