// Package logging sets up the log of the daemon: one line of key=value pairs per
// event, beginning with time, level and event.
//
// Every event has a stable name in the field "event", for example
//
//	logger.Info().Str("event", "table.in_force").Uint64("table_version", 7).Send()
//
// gives
//
//	time=2026-03-01T06:00:00.000Z level=info event=table.in_force table_version=7
//
// Lines of one event name are limited per second; what was left out is counted.
// Fields whose name says that they hold a secret are not written.
package logging

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
)

// Names of fields that every line has.
const (
	fieldTime  = "time"
	fieldEvent = "event"
)

// timeFormat has milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// DefaultEventsPerSecond is the default limit of lines per event name.
const DefaultEventsPerSecond = 20

// Options set up a log.
type Options struct {
	Out io.Writer
	// Level is debug, info, warn or error. Default info.
	Level string
	// EventsPerSecond bounds the lines of one event name. Default DefaultEventsPerSecond.
	EventsPerSecond int
	// Clock is the source of time. Default the real clock.
	Clock clockwork.Clock
	// OnSuppressed is called for each line that is left out; it may be nil. It must not log.
	OnSuppressed func(event string)
}

// Log is a logger with what belongs to it. It is safe for concurrent use.
type Log struct {
	zerolog.Logger
	// Recent has the last events.
	Recent  *RecentEvents
	limiter *limiter
}

// New returns a log.
func New(o Options) *Log {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.EventsPerSecond <= 0 {
		o.EventsPerSecond = DefaultEventsPerSecond
	}
	level, err := zerolog.ParseLevel(o.Level)
	if err != nil || o.Level == "" {
		level = zerolog.InfoLevel
	}
	recent := &RecentEvents{}
	l := &limiter{
		out: newLineWriter(o.Out), recent: recent, clock: o.Clock,
		perSecond: o.EventsPerSecond, onSuppressed: o.OnSuppressed, windows: map[string]*window{},
	}
	logger := zerolog.New(l).Level(level).Hook(zerolog.HookFunc(func(e *zerolog.Event, _ zerolog.Level, _ string) {
		e.Str(fieldTime, o.Clock.Now().UTC().Format(timeFormat))
	}))
	return &Log{Logger: logger, Recent: recent, limiter: l}
}

// StartEvent starts a line for an event, or returns nil if the event's lines of this
// second are used up; a nil *zerolog.Event takes fields and does nothing. So
// lines that are left out cost little on paths with many requests.
func (l *Log) StartEvent(level zerolog.Level, event string) *zerolog.Event {
	if l.GetLevel() > level || !l.limiter.allow(event) {
		return nil
	}
	return l.WithLevel(level).Str(fieldEvent, event)
}

// Close writes the counts of what was left out.
func (l *Log) Close() { l.limiter.flush() }

// newLineWriter turns the JSON of zerolog into a line.
func newLineWriter(out io.Writer) io.Writer {
	part := func(name string) zerolog.Formatter {
		return func(v any) string {
			s, _ := v.(string)
			if s == "" {
				return ""
			}
			return name + "=" + quoteValue(s)
		}
	}
	w := zerolog.ConsoleWriter{
		Out: out, NoColor: true,
		PartsOrder:      []string{fieldTime, zerolog.LevelFieldName, fieldEvent, zerolog.MessageFieldName},
		FieldsExclude:   []string{fieldEvent},
		FormatTimestamp: part(fieldTime),
		FormatLevel:     part(zerolog.LevelFieldName),
		FormatMessage:   part(zerolog.MessageFieldName),
		FormatPartValueByName: func(v any, name string) string {
			return part(name)(v)
		},
		FormatFieldValue: formatFieldValue,
		FormatPrepare:    redact,
	}
	return w
}

// formatFieldValue quotes lists and objects, which arrive as JSON. Texts arrive quoted if they need it.
func formatFieldValue(v any) string {
	if b, ok := v.([]byte); ok {
		return quoteValue(string(b))
	}
	return fmt.Sprint(v)
}

// quoteValue quotes a value that has other than printable characters, spaces, quotes or "=".
func quoteValue(s string) string {
	plain := strings.IndexFunc(s, func(r rune) bool { return r <= ' ' || r == '"' || r == '=' || r == '\\' || r > '~' }) < 0
	if plain {
		return s
	}
	return strconv.Quote(s)
}

// secretWords are parts of names of fields that are not written.
var secretWords = []string{"token", "password", "secret", "authorization", "cookie", "private_key"}

// redact replaces values of fields that hold secrets, and names events without a name.
func redact(fields map[string]any) error {
	if fields[fieldEvent] == nil {
		fields[fieldEvent] = unnamedEvent
	}
	for name := range fields {
		if isSecretName(name) {
			fields[name] = "[redacted]"
		}
	}
	return nil
}

func isSecretName(name string) bool {
	name = strings.ToLower(name)
	for _, w := range secretWords {
		if strings.Contains(name, w) {
			return true
		}
	}
	return false
}

// limitWindow is the window of the limit.
const limitWindow = time.Second
