package logging

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// maxRecentEntries is the number of events that RecentEvents keeps.
const maxRecentEntries = 1000

// Entry is one event of the log.
type Entry struct {
	Time  time.Time
	Level string
	Event string
	// Fields holds the other fields as text, with secrets redacted.
	Fields map[string]string
}

// RecentEvents keeps the latest events of the log in a ring buffer. It does not keep
// suppressed lines, so that a flood of one event does not displace others. It is
// safe for concurrent use.
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

// Last returns the latest events, newest first and at most limit of them.
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

// toText returns a string unchanged and any other value as JSON.
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
