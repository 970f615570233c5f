package tablestore

import (
	"errors"
	"fmt"
	"strings"

	"github.com/boragegate/boragegate/store"
	"github.com/boragegate/boragegate/table"
)

// ErrStaleRead means that a read of the store returned an older version than an
// earlier read, for example from a replica that lags.
var ErrStaleRead = errors.New("the store returned an older version of the table than before")

// ConflictError means that another operator changed the table after the version
// that a change is based on. Nothing was written. It wraps store.ErrConflict.
type ConflictError struct {
	// Base is the version that the change is based on, Current the one in the
	// store.
	Base, Current uint64
	// CurrentOperator is the name of the operator who made the current version.
	CurrentOperator string
	// Mine and Theirs are the two sets of changes relative to the base. They are
	// nil if the base has been removed from the history.
	Mine, Theirs *table.Changes
	// Conflicts are the entries that both sides changed differently. It is empty if
	// the changes can be merged or the base has been removed from the history.
	Conflicts table.Conflicts
}

// Error formats both sets of changes and the entries in conflict.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "the change is based on version %d, but %s made version %d", e.Base, e.CurrentOperator, e.Current)
	if e.Mine == nil || e.Theirs == nil {
		fmt.Fprintf(&b, "\nthe history no longer has version %d", e.Base)
		return b.String()
	}
	fmt.Fprintf(&b, "\nyour changes since version %d:\n%stheir changes since version %d:\n%s", e.Base, e.Mine, e.Base, e.Theirs)
	if len(e.Conflicts) == 0 {
		b.WriteString("the changes concern different entries and can be merged")
		return b.String()
	}
	b.WriteString("both change:")
	for _, c := range e.Conflicts {
		b.WriteString(" " + c.Type + " " + c.ID)
	}
	return b.String()
}

// Unwrap makes errors.Is(err, store.ErrConflict) true.
func (*ConflictError) Unwrap() error { return store.ErrConflict }

// OutcomeUnknownError means that the outcome of a write is unknown: its reply was lost, and
// a later read failed or did not find the version, which the write may still create. It
// wraps store.ErrOutcomeUnknown.
type OutcomeUnknownError struct {
	// Version is the version that the write creates if it takes effect.
	Version uint64
	// Writer identifies the write. If the record of the version has this writer,
	// the write took effect.
	Writer string
	// Cause is the error of the write or of the read that followed it.
	Cause error
}

// Error names the version and the writer with which the outcome can be checked.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("it is unknown whether version %d was accepted (writer %s): %v", e.Version, e.Writer, e.Cause)
}

// Unwrap makes errors.Is true for store.ErrOutcomeUnknown and for the cause.
func (e *OutcomeUnknownError) Unwrap() []error { return []error{store.ErrOutcomeUnknown, e.Cause} }
