package logging

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// maxRecentEntries is the number of events that are kept.
const maxRecentEntries = 1000

// Entry is one event.
type Entry struct {
	Time  time.Time
	Level string
	Event string
	// Fields are the other fields as text, without secrets.
	Fields map[string]string
}

// RecentEvents keeps the last events of the log in memory. Lines that the limit leaves
// out do not count, so that a flood does not displace other events. It is safe
// for concurrent use.
type RecentEvents struct {
	mu      sync.Mutex
	entries []Entry
	next    int
}

func (r *RecentEvents) add(event string, fields map[string]any) {
	e := Entry{Event: event, Fields: make(map[string]string, len(fields))}
	for name, v := range fields {
		switch {
		case name == fieldEvent:
		case name == fieldTime:
			s, _ := v.(string)
			e.Time, _ = time.Parse(timeFormat, s)
		case name == zerolog.LevelFieldName:
			e.Level, _ = v.(string)
		case isSecretName(name):
			e.Fields[name] = "[redacted]"
		default:
			e.Fields[name] = toText(v)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.entries) < maxRecentEntries {
		r.entries = append(r.entries, e)
		return
	}
	r.entries[r.next] = e
	r.next = (r.next + 1) % maxRecentEntries
}

// Last returns up to limit events, newest first.
func (r *RecentEvents) Last(limit int) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.entries)
	list := make([]Entry, 0, min(limit, n))
	for i := 1; i <= n && len(list) < limit; i++ {
		list = append(list, r.entries[(r.next+n-i)%n])
	}
	return list
}

func toText(v any) string {
	if s, ok := v.(string); ok {
		return s
	}
	b, err := json.Marshal(v)
	if err != nil {
		return ""
	}
	return string(b)
}
