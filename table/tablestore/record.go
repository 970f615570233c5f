// Package tablestore keeps the operators' table and its history in the
// platform's store.
//
// The object table/current holds the version in force. Before it is replaced,
// its content is kept as table-history/<version>, so the history has every
// version that was ever accepted. All writes are conditional on the version
// read. A Tables is safe for concurrent use.
package tablestore

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/boragegate/boragegate/store"
	"github.com/boragegate/boragegate/table"
)

// Kinds and names of objects.
const (
	// Kind and Name identify the object with the current version.
	Kind = "table"
	Name = "current"
	// HistoryKind is the kind of older versions. The name is the version in decimal.
	HistoryKind = "table-history"
)

// MaxCommentBytes bounds an operator's comment.
const MaxCommentBytes = 1024

// Action says how a version came about.
type Action string

// Actions.
const (
	ActionApply    Action = "apply"
	ActionMerge    Action = "merge"
	ActionRollback Action = "rollback"
)

// Record is one accepted version with its origin.
type Record struct {
	Table *table.Table `json:"-"`
	// Value is the stored form of Table and record, plain JSON that also decodes
	// into a table.Table.
	Value []byte `json:"-"`
	// Version is the version of the table.
	Version uint64 `json:"version"`
	Action  Action `json:"action"`
	// Operator is the name of the operator who made the change.
	Operator string `json:"operator"`
	// Comment is the operator's text.
	Comment string    `json:"comment,omitempty"`
	Time    time.Time `json:"time"`
	// From is the version that a rollback restored.
	From uint64 `json:"from,omitempty"`
	// Writer identifies the write, see store.Object.
	Writer string `json:"writer"`

	objectVersion store.Version
}

// storedValue is the stored form of a record: the table with one more field.
type storedValue struct {
	table.Table
	Change Record `json:"change"`
}

// encode sets Value.
func (r *Record) encode() error {
	b, err := json.Marshal(storedValue{Table: *r.Table, Change: *r})
	if err != nil {
		return fmt.Errorf("tablestore: encode: %w", err)
	}
	r.Value = b
	return nil
}

// Decode reads an object of Kind or HistoryKind. It does not check the table, so
// that one that an earlier release accepted can still be read and corrected.
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
