package tablestore

import (
	"context"
	"errors"
	"fmt"

	"github.com/boragegate/boragegate/finding"
	"github.com/boragegate/boragegate/store"
	"github.com/boragegate/boragegate/table"
)

// Request is a change of the table.
type Request struct {
	// Table is the new content. Its version is ignored.
	Table *table.Table
	// Base is the version that the change was made from; 0 means that there was no table.
	Base uint64
	// Operator is the name for the record.
	Operator string
	// Comment is the operator's text, at most MaxCommentBytes.
	Comment string
	// Merge combines the change with those that others made since Base, if they
	// concern different entries.
	Merge bool

	// restoredVersion is the version that a rollback restores.
	restoredVersion uint64
}

// Result is an accepted change.
type Result struct {
	Record *Record
	// Changes are the changes to the version before, empty if the table was
	// the same already and nothing was written.
	Changes table.Changes
}

// Apply checks the table and makes it the current version. Errors are a
// finding.List, a *ConflictError, an *OutcomeUnknownError, or wrap the errors of
// package store; with all but an *OutcomeUnknownError nothing was written.
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
	return nil, fmt.Errorf("tablestore: %d other changes came first: %w", maxAttempts, store.ErrConflict)
}

// errConcurrentChange means that the table changed between read and write.
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
	var before *table.Table
	if current != nil {
		before = current.Table
	}
	changes := table.Diff(before, next)
	if changes.Empty() && current != nil {
		return &Result{Record: current, Changes: changes}, nil
	}
	r := &Record{
		Action: action, Operator: req.Operator, Comment: req.Comment, From: req.restoredVersion,
		Time: t.options.Clock.Now().UTC(), Writer: t.options.NewWriter(),
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

// prepareContent returns a copy of what to write, after a merge if one is needed.
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
	m, th := table.Diff(base, &mine), table.Diff(base, current.Table)
	conflict.Mine, conflict.Theirs = &m, &th
	merged, err := table.Merge(base, &mine, current.Table)
	if err != nil {
		errors.As(err, &conflict.Conflicts)
		return nil, "", conflict
	}
	if !req.Merge {
		return nil, "", conflict
	}
	return merged, ActionMerge, nil
}

// Rollback makes the content of an older version the current one, as a new
// version. Base is the version that the operator saw as current.
func (t *Tables) Rollback(ctx context.Context, to, base uint64, operator, comment string) (*Result, error) {
	old, err := t.Version(ctx, to)
	if err != nil {
		return nil, err
	}
	return t.Apply(ctx, Request{Table: old.Table, Base: base, Operator: operator, Comment: comment, restoredVersion: to})
}
