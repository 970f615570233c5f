package tablestore

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/boragegate/boragegate/store"
)

// write stores r as the new current version in place of current, the version that was
// read. It returns errConcurrentChange if the store no longer has that version. It copies
// current to the history first.
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

// completeChange completes a change after the write: it notifies the announcer and
// updates the history. Errors are ignored because the change is already accepted.
func (t *Tables) completeChange(ctx context.Context, r *Record) {
	t.observeVersion(r.Version)
	if t.options.Announcer != nil {
		t.options.Announcer.OnAccepted(r)
	}
	// If this fails, the next change copies the version to the history.
	_ = t.archive(ctx, r)
	t.pruneHistory(ctx, r.Version)
}

// put writes an object and retries while the outcome is unknown. A retry is safe
// because the write is conditional on the version read, so it takes effect at most
// once.
func (t *Tables) put(ctx context.Context, obj store.Object, r *Record) error {
	outcomeUnknown := false
	for attempt := 1; ; attempt++ {
		stored, err := t.putOnce(ctx, obj)
		switch {
		case err == nil:
			r.objectVersion = stored.Version
			return nil
		case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrExists), errors.Is(err, store.ErrNotFound):
			if !outcomeUnknown {
				return errConcurrentChange
			}
			return t.resolveOutcome(ctx, r)
		case !outcomeUnknown && !mayHaveTakenEffect(err):
			return fmt.Errorf("tablestore: write version %d: %w", r.Version, err)
		}
		outcomeUnknown = true
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

// mayHaveTakenEffect reports whether a write that failed may have taken effect.
func mayHaveTakenEffect(err error) bool {
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

// resolveOutcome determines whose write replaced the version that was read, by
// comparing the writer of the stored version. If there are later versions already,
// the history has the record, because every writer copies the version that it
// replaces. It returns nil if the write of r took effect, errConcurrentChange if
// another one did, and an *OutcomeUnknownError if the version cannot be read.
func (t *Tables) resolveOutcome(ctx context.Context, r *Record) error {
	stored, err := t.Version(ctx, r.Version)
	switch {
	case err != nil:
		return &OutcomeUnknownError{Version: r.Version, Writer: r.Writer, Cause: err}
	case stored.Writer == r.Writer:
		r.objectVersion = stored.objectVersion
		return nil
	default:
		return errConcurrentChange
	}
}

// outcomeReadTimeout is the timeout of readOutcome, which does not use the deadline of the
// caller, because that may have passed.
const outcomeReadTimeout = 2 * time.Second

// readOutcome reads the version of r once more after the last attempt. It returns nil
// if the write of r took effect, errConcurrentChange if another one did, and an
// *OutcomeUnknownError if the read fails or the version does not exist.
func (t *Tables) readOutcome(ctx context.Context, r *Record, cause error) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), outcomeReadTimeout)
	defer cancel()
	if stored, err := t.Version(ctx, r.Version); err == nil {
		if stored.Writer == r.Writer {
			r.objectVersion = stored.objectVersion
			return nil
		}
		return errConcurrentChange
	}
	return &OutcomeUnknownError{Version: r.Version, Writer: r.Writer, Cause: cause}
}
