// Package audit keeps the audit trail of changes in bounded objects of the
// platform's store. Instances of one cell share a trail: each appends batches of
// entries to the newest object by conditional update, and starts the next object
// when that one is full. Entries are buffered in memory until they are written;
// what is lost or late is itself an entry.
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

// Events that the trail itself enters.
const (
	// EventGap says that entries were dropped because the buffer was full.
	EventGap = "audit.gap"
	// EventDelayed says that entries could not be written for some time.
	EventDelayed = "audit.delayed"
	// EventUnreadable stands for a line in the store that is not an entry.
	EventUnreadable = "audit.unreadable"
)

const (
	// maxDiffBytes bounds the diff text of an entry.
	maxDiffBytes = 8 << 10
	// maxFieldBytes bounds every other text of an entry.
	maxFieldBytes = 512
	// maxFields bounds the further fields of an entry.
	maxFields = 16
	// maxEntryBytes bounds an entry as it is stored. JSON escapes take up to six
	// bytes for one, so an entry with long texts can reach it.
	maxEntryBytes = 24 << 10
	// writtenSlack is the difference between the longest and the shortest form
	// of Written, which is not set when the size of an entry is judged.
	writtenSlack   = 16
	truncationMark = "…"
)

// Entry is one change.
type Entry struct {
	// ID is unique: the instance, its incarnation and a number that rises by one. Set by Add.
	ID string `json:"id"`
	// Sequence is the place in the trail, set by Read. It rises, but an entry of
	// another instance may appear below one that was already read.
	Sequence uint64 `json:"-"`
	// Time of the change at the instance. Add sets it if it is zero.
	Time time.Time `json:"time"`
	// Written is the time at which the entry was sent to the store; the
	// difference to Time is its delay.
	Written time.Time `json:"written"`
	// Instance that made or accepted the change. Set by Add.
	Instance string `json:"instance"`
	// Who is the operator, empty for changes that the system decides.
	Who string `json:"who,omitempty"`
	// Event is a stable name, for example "table.accepted".
	Event        string `json:"event"`
	TableVersion uint64 `json:"table_version,omitempty"`
	Service      string `json:"service,omitempty"`
	Key          string `json:"key,omitempty"`
	// Partition is nil if the change is not about one partition.
	Partition *int   `json:"partition,omitempty"`
	Epoch     uint64 `json:"epoch,omitempty"`
	Cause     string `json:"cause,omitempty"`
	Outcome   string `json:"outcome,omitempty"`
	// Diff is the change as text, cut to 8 KiB.
	Diff string `json:"diff,omitempty"`
	// Fields has what no other field holds.
	Fields map[string]string `json:"fields,omitempty"`
}

// FromLogEntry turns a record of the control core into an entry.
func FromLogEntry(r ownership.LogEntry) Entry {
	fields := map[string]string{}
	for i := 0; i+1 < len(r.Fields); i += 2 {
		fields[fmt.Sprint(r.Fields[i])] = fmt.Sprint(r.Fields[i+1])
	}
	return FromFields("", r.Event, fields)
}

// FromFields makes an entry from text fields. Known names go into the typed
// fields, the others into Fields.
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
	e.moveUint("partition", func(n uint64) { p := int(n); e.Partition = &p }) //nolint:gosec // a wrong partition is only shown
	if service, _, ok := strings.Cut(e.Fields["target"], "/"); ok && e.Service == "" {
		e.Service = service
	}
	return e
}

func (e *Entry) moveUint(name string, set func(uint64)) {
	if n, err := strconv.ParseUint(e.Fields[name], 10, 64); err == nil {
		set(n)
		delete(e.Fields, name)
	}
}

// AllFields returns everything but ID, times, instance, operator and event as text.
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

// enforceLimits cuts the texts, so that an entry always fits into an object.
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

// maxSize is the largest number of bytes that the entry takes when it is written.
func (e Entry) maxSize() int { return len(e.marshalLine()) + writtenSlack }

func truncate(s string, limit int) string {
	s = strings.ToValidUTF8(s, "\uFFFD")
	if len(s) <= limit {
		return s
	}
	return strings.ToValidUTF8(s[:limit-len(truncationMark)], "") + truncationMark
}

// marshalLine is the entry as it is stored: JSON and a line end.
func (e Entry) marshalLine() []byte {
	b, err := json.Marshal(e)
	if err != nil {
		// Only a time outside the years 0 to 9999 cannot be encoded.
		e.Time, e.Written = time.Time{}, time.Time{}
		b, _ = json.Marshal(e)
	}
	return append(b, '\n')
}
