// Package tablestore keeps the operators' table and its history in the
// platform's store.
//
// The object table/current holds the current version. Before it is replaced, its
// content is copied to table-history/<version>, so that the history has every
// accepted version within the retention. All writes are conditional on the
// version that was read. A Tables is safe for concurrent use.
package tablestore

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/boragegate/boragegate/store"
	"github.com/boragegate/boragegate/table"
)

// Kinds and names of the objects in the store.
const (
	// Kind and Name identify the object with the current version.
	Kind = "table"
	Name = "current"
	// HistoryKind is the kind of the objects in the history. Their names are the
	// versions in decimal.
	HistoryKind = "table-history"
)

// MaxCommentBytes is the maximum length of an operator's comment in bytes.
const MaxCommentBytes = 1024

// Action is the kind of operation that created a version.
type Action string

// Actions.
const (
	// ActionApply stored a table as the operator gave it.
	ActionApply Action = "apply"
	// ActionMerge stored the merge of the operator's table with a newer version.
	ActionMerge Action = "merge"
	// ActionRollback stored the content of an older version.
	ActionRollback Action = "rollback"
)

// Record is one accepted version of the table with information on who made it,
// when and how.
type Record struct {
	Table *table.Table `json:"-"`
	// Value is the encoded form in the store: JSON of the table and this record,
	// which can also be decoded into a table.Table.
	Value []byte `json:"-"`
	// Version is the version of the table.
	Version uint64 `json:"version"`
	Action  Action `json:"action"`
	// Operator is the name of the operator who made the change.
	Operator string `json:"operator"`
	// Comment is a free text by the operator, at most MaxCommentBytes long.
	Comment string `json:"comment,omitempty"`
	// Time is the time of the change, in UTC.
	Time time.Time `json:"time"`
	// From is the version that a rollback restored; 0 for other actions.
	From uint64 `json:"from,omitempty"`
	// Writer identifies the write; see store.Object.
	Writer string `json:"writer"`

	objectVersion store.Version
}

// storedValue is the encoded form of a record: the table with an additional field.
type storedValue struct {
	table.Table
	Change Record `json:"change"`
}

// encode sets Value to the encoded form of the record.
func (r *Record) encode() error {
	b, err := json.Marshal(storedValue{Table: *r.Table, Change: *r})
	if err != nil {
		return fmt.Errorf("tablestore: encode record: %w", err)
	}
	r.Value = b
	return nil
}

// Decode decodes an object of Kind or HistoryKind. It does not validate the table,
// so that a table that an earlier release accepted can still be read and corrected.
// It returns an error if the object is not JSON or has no version.
func Decode(obj store.Object) (*Record, error) {
	var v storedValue
	if err := json.Unmarshal(obj.Value, &v); err != nil {
		return nil, fmt.Errorf("tablestore: decode %s/%s: %w", obj.Kind, obj.Name, err)
	}
	if v.Version == 0 {
		return nil, fmt.Errorf("tablestore: %s/%s has no version", obj.Kind, obj.Name)
	}
	r := v.Change
	r.Version = v.Version
	r.Table, r.Value, r.objectVersion = &v.Table, obj.Value, obj.Version
	return &r, nil
}
