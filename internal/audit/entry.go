// Package audit keeps the audit trail of changes in objects of limited size and
// number in the platform's store. The instances of a cell share a trail: each
// appends batches of entries to the newest object by conditional update, and creates
// the next object when that one is full. Entries are buffered in memory until they
// are written. Entries that were dropped or delayed are reported by entries in the
// trail itself.
package audit

import (
	"encoding/json"
	"fmt"
	"maps"
	"strconv"
	"strings"
	"time"

	"github.com/boragegate/boragegate/ownership"
)

// Events of the entries that the package itself creates.
const (
	// EventGap reports entries that were dropped because the buffer was full.
	EventGap = "audit.gap"
	// EventDelayed reports a period of at least 5 s in which entries could not be written.
	EventDelayed = "audit.delayed"
	// EventUnreadable replaces a stored line that is not a valid entry when the trail is read.
	EventUnreadable = "audit.unreadable"
)

const (
	// maxDiffBytes is the maximum size of the diff of an entry.
	maxDiffBytes = 8 << 10
	// maxFieldBytes is the maximum size of every other text of an entry.
	maxFieldBytes = 512
	// maxFields is the maximum number of entries in Entry.Fields.
	maxFields = 16
	// maxEntryBytes is the maximum size of an encoded entry. JSON escapes take up to
	// six bytes per byte of text, so an entry with long texts can exceed it even
	// though each text is within its limit.
	maxEntryBytes = 24 << 10
	// writtenSlack is the difference in bytes between the longest and the shortest
	// encoding of Entry.Written, which is not set yet when the size of an entry is
	// checked.
	writtenSlack = 16
	// truncationMark ends a truncated text. It is also the key in Entry.Fields under which
	// omitted fields are reported.
	truncationMark = "…"
)

// Entry describes one change. Add truncates Diff to 8 KiB, and every other text except ID
// and Instance to 512 bytes. It keeps at most 16 values of Fields and replaces the rest by
// a note on their number.
type Entry struct {
	// ID is unique. It consists of the instance, its incarnation and a number that
	// increases by one. Add sets it.
	ID string `json:"id"`
	// Sequence is the position in the trail, set by Read. Later entries have higher
	// positions, but another instance may still add an entry at a lower position than one
	// that was already read.
	Sequence uint64 `json:"-"`
	// Time is the time of the change by the clock of the instance. Add sets it if it is
	// zero.
	Time time.Time `json:"time"`
	// Written is the time at which the entry was sent to the store. The difference
	// from Time is the delay of the entry.
	Written time.Time `json:"written"`
	// Instance is the instance that made or accepted the change. Add sets it.
	Instance string `json:"instance"`
	// Who is the name of the operator. It is empty for automatic changes.
	Who string `json:"who,omitempty"`
	// Event is the stable name of the kind of change, for example "table.accepted".
	Event        string `json:"event"`
	TableVersion uint64 `json:"table_version,omitempty"`
	Service      string `json:"service,omitempty"`
	Key          string `json:"key,omitempty"`
	// Partition is nil if the change does not concern a single partition.
	Partition *int   `json:"partition,omitempty"`
	Epoch     uint64 `json:"epoch,omitempty"`
	Cause     string `json:"cause,omitempty"`
	Outcome   string `json:"outcome,omitempty"`
	// Diff is the change as text. It is omitted if the encoded entry would exceed 24 KiB.
	Diff string `json:"diff,omitempty"`
	// Fields holds all values that have no field of their own. If Diff is omitted because
	// of the size of the entry, a note replaces them.
	Fields map[string]string `json:"fields,omitempty"`
}

// FromLogEntry converts a log entry of package ownership into an audit entry.
func FromLogEntry(entry ownership.LogEntry) Entry {
	fields := map[string]string{}
	for i := 0; i+1 < len(entry.Fields); i += 2 {
		fields[fmt.Sprint(entry.Fields[i])] = fmt.Sprint(entry.Fields[i+1])
	}
	return FromFields("", entry.Event, fields)
}

// FromFields creates an entry from text fields. Values with known names are stored in
// the typed fields of the entry, all others in Fields. Without a value "service", Service is
// the part of the value "target" before the first "/".
func FromFields(who, event string, fields map[string]string) Entry {
	e := Entry{Who: who, Event: event, Fields: maps.Clone(fields)}
	texts := map[string]*string{"service": &e.Service, "key": &e.Key, "cause": &e.Cause, "outcome": &e.Outcome, "diff": &e.Diff}
	for name, to := range texts {
		if v, ok := e.Fields[name]; ok {
			*to = v
			delete(e.Fields, name)
		}
	}
	e.moveUint("epoch", func(n uint64) { e.Epoch = n })
	e.moveUint("table_version", func(n uint64) { e.TableVersion = n })
	if strings.HasPrefix(event, "table.") {
		e.moveUint("version", func(n uint64) { e.TableVersion = n })
	}
	e.moveUint("partition", func(n uint64) { p := int(n); e.Partition = &p }) //nolint:gosec // a wrong value would only be displayed
	if service, _, ok := strings.Cut(e.Fields["target"], "/"); ok && e.Service == "" {
		e.Service = service
	}
	return e
}

// moveUint calls set with the value of the given name in Fields and removes it there. A value
// that is not an unsigned integer stays.
func (e *Entry) moveUint(name string, set func(uint64)) {
	if n, err := strconv.ParseUint(e.Fields[name], 10, 64); err == nil {
		set(n)
		delete(e.Fields, name)
	}
}

// AllFields returns Fields and all typed fields that are set, as text and by name. It leaves
// out the ID, sequence, times, instance, operator and event of the entry.
func (e Entry) AllFields() map[string]string {
	all := map[string]string{}
	maps.Copy(all, e.Fields)
	texts := map[string]string{"service": e.Service, "key": e.Key, "cause": e.Cause, "outcome": e.Outcome, "diff": e.Diff}
	for name, n := range map[string]uint64{"epoch": e.Epoch, "table_version": e.TableVersion} {
		if n != 0 {
			texts[name] = strconv.FormatUint(n, 10)
		}
	}
	if e.Partition != nil {
		texts["partition"] = strconv.Itoa(*e.Partition)
	}
	for name, text := range texts {
		if text != "" {
			all[name] = text
		}
	}
	return all
}

// enforceLimits truncates the texts of the entry and limits the number of Fields, so that
// the entry always fits into an object.
func (e *Entry) enforceLimits() {
	for _, text := range []*string{&e.Who, &e.Event, &e.Service, &e.Key, &e.Cause, &e.Outcome} {
		*text = truncate(*text, maxFieldBytes)
	}
	e.Diff = truncate(e.Diff, maxDiffBytes)
	fields := map[string]string{}
	for name, text := range e.Fields {
		if len(fields) == maxFields {
			fields[truncationMark] = strconv.Itoa(len(e.Fields)-maxFields) + " more"
			break
		}
		fields[truncate(name, maxFieldBytes)] = truncate(text, maxFieldBytes)
	}
	e.Fields = fields
	if n := e.maxSize(); n > maxEntryBytes {
		e.Diff = ""
		e.Fields = map[string]string{truncationMark: fmt.Sprintf("entry of %d bytes cut", n)}
	}
}

// maxSize returns the maximum number of bytes that the entry takes when it is written.
func (e Entry) maxSize() int { return len(e.marshalLine()) + writtenSlack }

// truncate returns s as valid UTF-8 of at most limit bytes.
func truncate(s string, limit int) string {
	s = strings.ToValidUTF8(s, "\uFFFD")
	if len(s) <= limit {
		return s
	}
	return strings.ToValidUTF8(s[:limit-len(truncationMark)], "") + truncationMark
}

// marshalLine returns the entry as it is stored, as JSON with a trailing newline.
func (e Entry) marshalLine() []byte {
	b, err := json.Marshal(e)
	if err != nil {
		// Only a time outside the years 0 to 9999 cannot be encoded.
		e.Time, e.Written = time.Time{}, time.Time{}
		b, _ = json.Marshal(e)
	}
	return append(b, '\n')
}
