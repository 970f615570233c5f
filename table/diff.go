package table

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// ChangeKind is the kind of change of a service or row.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// FieldChange is one changed field. Old and New hold its values as JSON; one of
// them is empty if the field is absent on that side.
type FieldChange struct {
	Field string          `json:"field"`
	Old   json.RawMessage `json:"old,omitempty"`
	New   json.RawMessage `json:"new,omitempty"`
}

// Change describes the change of one entry of a table: a service, for example
// "service route", or a row, for example "row route/r1".
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Type is "service" or "row".
	Type string `json:"type"`
	// ID is the name of the service, or "service/target" for a row.
	ID string `json:"id"`
	// Fields are the fields that differ if the entry was changed, and all non-empty
	// fields if it was added or removed.
	Fields []FieldChange `json:"fields,omitempty"`
}

// Changes is the difference between two tables: changed entries and the resulting
// changes of capacity.
type Changes struct {
	Changes  []Change         `json:"changes"`
	Capacity []CapacityChange `json:"capacity,omitempty"`
}

// Entry types of Change and Conflict.
const (
	typeService = "service"
	typeRow     = "row"
)

// Diff returns the changes that lead from old to next. A nil old is treated as an
// empty table. The order of entries and the version are ignored.
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

// Empty reports whether the tables have the same entries.
func (c Changes) Empty() bool { return len(c.Changes) == 0 }

func serviceID(s Service) string { return s.Name }

func diffEntries[T any](entryType string, old, next []T, id func(T) string) []Change {
	var changes []Change
	before, after := indexBy(old, id), indexBy(next, id)
	for _, o := range old {
		n, kept := after[id(o)]
		if !kept {
			changes = append(changes, Change{Kind: Removed, Type: entryType, ID: id(o), Fields: diffFields(&o, nil)})
		} else if fields := diffFields(&o, &n); len(fields) > 0 {
			changes = append(changes, Change{Kind: Changed, Type: entryType, ID: id(o), Fields: fields})
		}
	}
	for _, n := range next {
		if _, known := before[id(n)]; !known {
			changes = append(changes, Change{Kind: Added, Type: entryType, ID: id(n), Fields: diffFields(nil, &n)})
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

// diffFields compares two structs field by field and names each field by its JSON
// tag. A nil side has no fields.
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

// fieldJSON returns field i of v as JSON. It returns nil if v is nil or the field
// is an empty list, so that an absent and an empty list compare as equal and an
// added entry omits empty lists.
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

// String formats the changes as readable text, one line per entry and field and one
// line per service whose capacity changes.
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

// String formats the change as one line for the entry and one line per field. The
// fields of a removed entry are omitted.
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
		case Removed: // the line of the entry is sufficient
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
