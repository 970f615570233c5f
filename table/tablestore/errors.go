package tablestore

import (
	"errors"
	"fmt"
	"strings"

	"github.com/boragegate/boragegate/store"
	"github.com/boragegate/boragegate/table"
)

// ErrStaleRead means that the store returned an older version than it did before.
var ErrStaleRead = errors.New("the store returned an older version of the table than before")

// ConflictError means that another operator changed the table since the version
// that a change is based on. Nothing was written. It is a store.ErrConflict.
type ConflictError struct {
	// Base is the version that the change is based on, Current the one in the store.
	Base, Current uint64
	// CurrentOperator is the operator who made the current version.
	CurrentOperator string
	// Mine and Theirs are the two sets of changes to the base. They are nil when
	// the history no longer has the base.
	Mine, Theirs *table.Changes
	// Conflicts are the entries that both changed, if a merge was tried or is possible.
	Conflicts table.Conflicts
}

// Error shows both changes.
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

// OutcomeUnknownError means that a write may or may not have taken effect, and that
// the store could not be asked. It is a store.ErrOutcomeUnknown.
type OutcomeUnknownError struct {
	// Version is the version that the write would make.
	Version uint64
	// Writer identifies the write: if the version's record names it, the write took effect.
	Writer string
	Cause  error
}

// Error says how to find out.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("it is unknown whether version %d was accepted (writer %s): %v", e.Version, e.Writer, e.Cause)
}

// Unwrap makes errors.Is true for store.ErrOutcomeUnknown and for the cause.
func (e *OutcomeUnknownError) Unwrap() []error { return []error{store.ErrOutcomeUnknown, e.Cause} }
