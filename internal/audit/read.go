package audit

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/boragegate/boragegate/store"
)

// sequencesPerObject is the number of values of Entry.Sequence that each object has for its
// entries, so that entries of different objects never share one. It exceeds the number of
// lines that fit into an object.
const sequencesPerObject = 1 << 16

// Filter selects entries. Fields that are zero do not restrict the selection.
type Filter struct {
	// Since excludes entries of changes before this time.
	Since time.Time
	// Before excludes entries whose Sequence is Before or higher.
	Before  uint64
	Service string
	Key     string
	Event   string
	// Limit is the maximum number of entries; the newest are selected.
	Limit int
}

func (f Filter) matches(e Entry) bool {
	return !e.Time.Before(f.Since) &&
		(f.Before == 0 || e.Sequence < f.Before) &&
		(f.Service == "" || e.Service == f.Service) &&
		(f.Key == "" || e.Key == f.Key) &&
		(f.Event == "" || e.Event == f.Event)
}

// Read returns the entries of a trail that the filter selects, newest first. It makes
// one store call. A stored line that is not a valid entry is returned as an entry
// with the event EventUnreadable.
func Read(ctx context.Context, backing store.Store, trail string, f Filter) ([]Entry, error) {
	objects, _, err := backing.List(ctx, Kind)
	if err != nil {
		return nil, fmt.Errorf("read audit trail: %w", err)
	}
	var selected []Entry
	for _, o := range slices.Backward(objects) {
		sequence, ok := parseObjectName(trail, o.Name)
		if !ok {
			continue
		}
		for _, e := range slices.Backward(parseEntries(o, sequence)) {
			if f.Limit > 0 && len(selected) == f.Limit {
				return selected, nil
			}
			if f.matches(e) {
				selected = append(selected, e)
			}
		}
	}
	return selected, nil
}

// parseEntries returns the entries of an object in the order in which they were written.
// The argument sequence is that of the object.
func parseEntries(o store.Object, sequence uint64) []Entry {
	var entries []Entry
	for line := range bytes.Lines(o.Value) {
		n := len(entries)
		var e Entry
		if json.Unmarshal(line, &e) != nil {
			e = Entry{Event: EventUnreadable, Cause: fmt.Sprintf("%s line %d", o.Name, n+1)}
		}
		e.Sequence = sequence*sequencesPerObject + uint64(n) //nolint:gosec // not negative
		entries = append(entries, e)
	}
	return entries
}
