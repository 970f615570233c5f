package table

import (
	"fmt"
	"reflect"
	"strings"
)

// Conflict is a service or row that two operators changed in different ways.
type Conflict struct {
	// Type is "service" or "row".
	Type string `json:"type"`
	// ID is the name of the service or "service/target".
	ID string `json:"id"`
	// Mine and Theirs are the changes that each side makes to the base.
	Mine   Change `json:"mine"`
	Theirs Change `json:"theirs"`
}

// Conflicts is a set of conflicts. A non-empty set is an error.
type Conflicts []Conflict

// Error shows both changes of each conflict.
func (c Conflicts) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d conflicting changes\n", len(c))
	for _, x := range c {
		fmt.Fprintf(&b, "%s %s\n  mine:\n%s  theirs:\n%s", x.Type, x.ID, indent(x.Mine.String()), indent(x.Theirs.String()))
	}
	return strings.TrimSuffix(b.String(), "\n")
}

func indent(s string) string {
	return "    " + strings.ReplaceAll(strings.TrimSuffix(s, "\n"), "\n", "\n    ") + "\n"
}

// Merge combines two sets of changes to base. Changes to different services and
// rows, and equal changes, merge; the result is in the order of theirs with my
// additions at the end, and has the version of theirs. Different changes to the
// same service or row are Conflicts. The result may still have findings, for
// example when one side removes a service to which the other adds a row.
func Merge(base, mine, theirs *Table) (*Table, error) {
	services, c1 := mergeEntries(typeService, base.Services, mine.Services, theirs.Services, serviceID)
	rows, c2 := mergeEntries(typeRow, base.Rows, mine.Rows, theirs.Rows, Row.ID)
	if c1 = append(c1, c2...); len(c1) > 0 {
		return nil, c1
	}
	return &Table{Version: theirs.Version, Services: services, Rows: rows}, nil
}

func mergeEntries[T any](typ string, base, mine, theirs []T, id func(T) string) ([]T, Conflicts) {
	m := merger[T]{
		entryType: typ, base: indexBy(base, id), mine: indexBy(mine, id), theirs: indexBy(theirs, id),
	}
	for _, list := range [][]T{theirs, mine, base} {
		for _, v := range list {
			m.mergeEntry(id(v))
		}
	}
	return m.result, m.conflicts
}

type merger[T any] struct {
	entryType          string
	base, mine, theirs map[string]T
	visited            map[string]bool
	result             []T
	conflicts          Conflicts
}

func (m *merger[T]) mergeEntry(id string) {
	if m.visited == nil {
		m.visited = map[string]bool{}
	}
	if m.visited[id] {
		return
	}
	m.visited[id] = true
	base, mine, theirs := lookup(m.base, id), lookup(m.mine, id), lookup(m.theirs, id)
	switch {
	case equal(mine, theirs), equal(base, mine):
		m.appendEntry(theirs)
	case equal(base, theirs):
		m.appendEntry(mine)
	default:
		m.conflicts = append(m.conflicts, Conflict{
			Type: m.entryType, ID: id, Mine: changeOf(m.entryType, id, base, mine), Theirs: changeOf(m.entryType, id, base, theirs),
		})
	}
}

func (m *merger[T]) appendEntry(v *T) {
	if v != nil {
		m.result = append(m.result, *v)
	}
}

func lookup[T any](m map[string]T, id string) *T {
	if v, ok := m[id]; ok {
		return &v
	}
	return nil
}

// equal compares by fields, so that an absent and an empty list are the same.
func equal[T any](a, b *T) bool {
	if a == nil || b == nil {
		return a == b
	}
	return reflect.DeepEqual(a, b) || len(diffFields(a, b)) == 0
}

func changeOf[T any](typ, id string, base, side *T) Change {
	kind := Changed
	switch {
	case base == nil:
		kind = Added
	case side == nil:
		kind = Removed
	}
	return Change{Kind: kind, Type: typ, ID: id, Fields: diffFields(base, side)}
}
