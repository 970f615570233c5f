package table

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// ChangeKind says what happened to a service or row.
type ChangeKind string

// Change kinds.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// FieldChange is one field with its values as JSON.
type FieldChange struct {
	Field string          `json:"field"`
	Old   json.RawMessage `json:"old,omitempty"`
	New   json.RawMessage `json:"new,omitempty"`
}

// Change is what happened to one service ("service route") or row ("row route/r1").
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Type is "service" or "row".
	Type string `json:"type"`
	// ID is the name of the service or "service/target".
	ID string `json:"id"`
	// Fields are the differing fields of a changed entry, else all fields that are set.
	Fields []FieldChange `json:"fields,omitempty"`
}

// Changes is the difference between two tables.
type Changes struct {
	Changes  []Change         `json:"changes"`
	Capacity []CapacityChange `json:"capacity,omitempty"`
}

// Entry types of Change and Conflict.
const (
	typeService = "service"
	typeRow     = "row"
)

// Diff returns what changes from old to next. A nil old is an empty table. The
// order of entries and the version make no difference.
func Diff(old, next *Table) Changes {
	if old == nil {
		old = &Table{}
	}
	var c Changes
	c.Changes = diffEntries(typeService, old.Services, next.Services, serviceID)
	c.Changes = append(c.Changes, diffEntries(typeRow, old.Rows, next.Rows, Row.ID)...)
	c.Capacity = capacityChanges(old, next)
	return c
}

// Empty reports whether nothing changes.
func (c Changes) Empty() bool { return len(c.Changes) == 0 }

func serviceID(s Service) string { return s.Name }

func diffEntries[T any](typ string, old, next []T, id func(T) string) []Change {
	var changes []Change
	before, after := indexBy(old, id), indexBy(next, id)
	for _, o := range old {
		n, kept := after[id(o)]
		if !kept {
			changes = append(changes, Change{Kind: Removed, Type: typ, ID: id(o), Fields: diffFields(&o, nil)})
		} else if fields := diffFields(&o, &n); len(fields) > 0 {
			changes = append(changes, Change{Kind: Changed, Type: typ, ID: id(o), Fields: fields})
		}
	}
	for _, n := range next {
		if _, known := before[id(n)]; !known {
			changes = append(changes, Change{Kind: Added, Type: typ, ID: id(n), Fields: diffFields(nil, &n)})
		}
	}
	return changes
}

func indexBy[T any](list []T, id func(T) string) map[string]T {
	m := make(map[string]T, len(list))
	for _, v := range list {
		m[id(v)] = v
	}
	return m
}

// diffFields compares two structs field by field; a nil side has no fields.
func diffFields[T any](old, next *T) []FieldChange {
	t := reflect.TypeFor[T]()
	var fields []FieldChange
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		a, b := fieldJSON(old, i), fieldJSON(next, i)
		if string(a) != string(b) {
			fields = append(fields, FieldChange{Field: name, Old: a, New: b})
		}
	}
	return fields
}

// fieldJSON returns nil for a zero field of an absent struct, so that an added
// entry lists only what it sets.
func fieldJSON[T any](v *T, i int) json.RawMessage {
	if v == nil {
		return nil
	}
	f := reflect.ValueOf(v).Elem().Field(i)
	if f.Kind() == reflect.Slice && f.Len() == 0 {
		return nil
	}
	b, err := json.Marshal(f.Interface())
	if err != nil {
		return json.RawMessage(fmt.Sprintf("%q", err))
	}
	return b
}

// String formats the changes for people, one line per entry and field.
func (c Changes) String() string {
	if c.Empty() {
		return "no changes\n"
	}
	var b strings.Builder
	for _, ch := range c.Changes {
		b.WriteString(ch.String())
	}
	for _, cc := range c.Capacity {
		fmt.Fprintf(&b, "capacity of %s: %d -> %d slots, %.0f%% taken away\n", cc.Service, cc.OldSlots, cc.NewSlots, 100*cc.RemovedFraction)
	}
	return b.String()
}

// String formats one change.
func (c Change) String() string {
	var b strings.Builder
	sign := map[ChangeKind]string{Added: "+", Removed: "-", Changed: "~"}[c.Kind]
	fmt.Fprintf(&b, "%s %s %s\n", sign, c.Type, c.ID)
	for _, f := range c.Fields {
		switch c.Kind {
		case Added:
			fmt.Fprintf(&b, "    %s: %s\n", f.Field, f.New)
		case Changed:
			fmt.Fprintf(&b, "    %s: %s -> %s\n", f.Field, orNone(f.Old), orNone(f.New))
		case Removed: // the name says it all
		}
	}
	return b.String()
}

func orNone(v json.RawMessage) string {
	if v == nil {
		return "none"
	}
	return string(v)
}
