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

	"github.com/boragegate/boragegate/platform"
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
	// Writer identifies the write, see platform.Object.
	Writer string `json:"writer"`

	object platform.Version
}

// value is the stored form of a record.
type value struct {
	Record
	Content json.RawMessage `json:"table"`
}

func (r *Record) encode() ([]byte, error) {
	content, err := table.Encode(r.Table)
	if err != nil {
		return nil, fmt.Errorf("tablestore: %w", err)
	}
	b, err := json.Marshal(value{Record: *r, Content: content})
	if err != nil {
		return nil, fmt.Errorf("tablestore: encode: %w", err)
	}
	return b, nil
}

// Decode reads the value of an object of Kind or HistoryKind.
func Decode(obj platform.Object) (*Record, error) {
	var v value
	if err := json.Unmarshal(obj.Value, &v); err != nil {
		return nil, fmt.Errorf("tablestore: decode %s/%s: %w", obj.Kind, obj.Name, err)
	}
	t, err := table.Parse(obj.Kind+"/"+obj.Name, v.Content)
	if err != nil {
		return nil, fmt.Errorf("tablestore: decode: %w", err)
	}
	if t.Version != v.Version || v.Version == 0 {
		return nil, fmt.Errorf("tablestore: %s/%s holds table version %d as version %d", obj.Kind, obj.Name, t.Version, v.Version)
	}
	r := v.Record
	r.Table, r.object = t, obj.Version
	return &r, nil
}
