package tablestore

import (
	"context"
	"errors"
	"fmt"

	"github.com/boragegate/boragegate/finding"
	"github.com/boragegate/boragegate/store"
	"github.com/boragegate/boragegate/table"
)

// Request is a request to replace the content of the table.
type Request struct {
	// Table is the new content. Its version is ignored.
	Table *table.Table
	// Base is the version that the change is based on; 0 means that there was no table.
	Base uint64
	// Operator is the name of the operator who makes the change.
	Operator string
	// Comment is a free text by the operator, at most MaxCommentBytes long.
	Comment string
	// AllowMerge allows merging with changes that others made since Base. Different
	// changes to the same entry still conflict.
	AllowMerge bool

	// restoredVersion is the version that a rollback restores; 0 for other changes.
	restoredVersion uint64
}

// Result is the outcome of an accepted change.
type Result struct {
	Record *Record
	// Changes are the differences from the previous version. They are empty if
	// the table already had this content and nothing was written.
	Changes table.Changes
}

// Apply validates the table and stores it as the new current version. It retries
// a limited number of times if other operators change the table meanwhile.
// Errors are a finding.List, a *ConflictError or an *OutcomeUnknownError, or wrap
// ErrStaleRead, an error of package store or the error of the announcer. With any error
// but an *OutcomeUnknownError, the call has not changed the table.
func (t *Tables) Apply(ctx context.Context, req Request) (*Result, error) {
	if len(req.Comment) > MaxCommentBytes {
		return nil, finding.List{{Path: "comment", Message: fmt.Sprintf("the comment has %d bytes", len(req.Comment)), Expected: fmt.Sprintf("at most %d", MaxCommentBytes)}}
	}
	for range maxAttempts {
		result, err := t.tryApply(ctx, req)
		if !errors.Is(err, errConcurrentChange) {
			return result, err
		}
	}
	return nil, fmt.Errorf("tablestore: the table changed concurrently in each of %d attempts: %w", maxAttempts, store.ErrConflict)
}

// errConcurrentChange means that another operator changed the table between read and
// write. Apply then makes another attempt.
var errConcurrentChange = errors.New("the table changed between read and write")

func (t *Tables) tryApply(ctx context.Context, req Request) (*Result, error) {
	current, err := t.Get(ctx)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return nil, err
	}
	next, action, err := t.prepareContent(ctx, req, current)
	if err != nil {
		return nil, err
	}
	if err := t.check(next, current); err != nil {
		return nil, err
	}
	var previous *table.Table
	if current != nil {
		previous = current.Table
	}
	changes := table.Diff(previous, next)
	if changes.Empty() && current != nil {
		return &Result{Record: current, Changes: changes}, nil
	}
	r := &Record{
		Action: action, Operator: req.Operator, Comment: req.Comment, From: req.restoredVersion,
		Time: t.options.Clock.Now().UTC(), Writer: t.options.NewWriterID(),
	}
	if r.Version, err = t.nextVersion(ctx, current); err != nil {
		return nil, err
	}
	next.Version = r.Version
	r.Table = next
	if err := t.write(ctx, r, current); err != nil {
		return nil, err
	}
	return &Result{Record: r, Changes: changes}, nil
}

func (t *Tables) nextVersion(ctx context.Context, current *Record) (uint64, error) {
	if current != nil {
		return current.Version + 1, nil
	}
	return t.nextVersionFromHistory(ctx)
}

// prepareContent returns the table to write and the action to record. If the current
// version is not the base of the request, it merges the table of the request with the
// current version. It returns a *ConflictError if the request does not allow a merge, the
// changes conflict, or the base is no longer in the history.
func (t *Tables) prepareContent(ctx context.Context, req Request, current *Record) (*table.Table, Action, error) {
	action := ActionApply
	if req.restoredVersion > 0 {
		action = ActionRollback
	}
	mine := *req.Table
	if current == nil || current.Version == req.Base {
		return &mine, action, nil
	}
	conflict := &ConflictError{Base: req.Base, Current: current.Version, CurrentOperator: current.Operator}
	base := &table.Table{}
	if req.Base > 0 {
		r, err := t.Version(ctx, req.Base)
		if err != nil {
			if errors.Is(err, store.ErrNotFound) {
				return nil, "", conflict
			}
			return nil, "", err
		}
		base = r.Table
	}
	myChanges, theirChanges := table.Diff(base, &mine), table.Diff(base, current.Table)
	conflict.Mine, conflict.Theirs = &myChanges, &theirChanges
	merged, err := table.Merge(base, &mine, current.Table)
	if err != nil {
		errors.As(err, &conflict.Conflicts)
		return nil, "", conflict
	}
	if !req.AllowMerge {
		return nil, "", conflict
	}
	return merged, ActionMerge, nil
}

// Rollback stores the content of version to, an older one, as a new version. The
// argument base is the version that the operator took for the current one; if another
// one is current, Rollback returns a *ConflictError. Other errors are those of Version
// and Apply.
func (t *Tables) Rollback(ctx context.Context, to, base uint64, operator, comment string) (*Result, error) {
	old, err := t.Version(ctx, to)
	if err != nil {
		return nil, err
	}
	return t.Apply(ctx, Request{Table: old.Table, Base: base, Operator: operator, Comment: comment, restoredVersion: to})
}
