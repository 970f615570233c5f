// Package logging creates the log of the daemon. Each event is one line of key=value
// pairs that begins with time, level and event.
//
// Every event has a stable name in the field "event", for example
//
//	logger.Info().Str("event", "table.in_force").Uint64("table_version", 7).Send()
//
// gives
//
//	time=2026-03-01T06:00:00.000Z level=info event=table.in_force table_version=7
//
// The number of lines per second and event name is limited; suppressed lines are
// counted and reported. Values of fields whose names indicate a secret are
// redacted.
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

// timeFormat is RFC 3339 with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// DefaultEventsPerSecond is the default limit of lines per second and event name.
const DefaultEventsPerSecond = 20

// Options configures a log.
type Options struct {
	// Out receives the lines.
	Out io.Writer
	// Level is the lowest level that is written: debug, info, warn or error. Default
	// info, also for an unknown level.
	Level string
	// EventsPerSecond is the maximum number of lines per second and event name.
	// Default DefaultEventsPerSecond.
	EventsPerSecond int
	// Clock is the time source. Default the real clock.
	Clock clockwork.Clock
	// OnSuppressed is called for each line that the limit suppresses. It may be nil.
	// It must not log, because the limiter's lock is held.
	OnSuppressed func(event string)
}

// Log is a logger with a rate limit per event name and a buffer of recent events.
// It is safe for concurrent use.
type Log struct {
	zerolog.Logger
	// Recent holds the latest events.
	Recent  *RecentEvents
	limiter *limiter
}

// New returns a log with the given options.
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

// StartEvent starts a line for an event. It returns nil if the level is disabled or
// the event has reached its limit per second; a nil *zerolog.Event accepts fields and
// does nothing. Suppressed lines therefore cost little, even if every request is logged.
func (l *Log) StartEvent(level zerolog.Level, event string) *zerolog.Event {
	if l.GetLevel() > level || !l.limiter.allow(event) {
		return nil
	}
	return l.WithLevel(level).Str(fieldEvent, event)
}

// Close writes the counts of suppressed lines that were not reported yet.
func (l *Log) Close() { l.limiter.flush() }

// newLineWriter returns a writer that formats the JSON lines of zerolog as key=value
// pairs.
func newLineWriter(out io.Writer) io.Writer {
	formatPart := func(name string) zerolog.Formatter {
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
		FormatTimestamp: formatPart(fieldTime),
		FormatLevel:     formatPart(zerolog.LevelFieldName),
		FormatMessage:   formatPart(zerolog.MessageFieldName),
		FormatPartValueByName: func(v any, name string) string {
			return formatPart(name)(v)
		},
		FormatFieldValue: formatFieldValue,
		FormatPrepare:    prepareFields,
	}
	return w
}

// formatFieldValue quotes lists and objects, which zerolog passes as JSON. Strings are
// returned unchanged, because zerolog has quoted them where necessary.
func formatFieldValue(v any) string {
	if b, ok := v.([]byte); ok {
		return quoteValue(string(b))
	}
	return fmt.Sprint(v)
}

// quoteValue quotes a value that contains a space, a quote, a backslash, "=" or a
// character that is not printable ASCII.
func quoteValue(s string) string {
	plain := strings.IndexFunc(s, func(r rune) bool { return r <= ' ' || r == '"' || r == '=' || r == '\\' || r > '~' }) < 0
	if plain {
		return s
	}
	return strconv.Quote(s)
}

// secretWords lists the substrings of field names whose values are redacted.
var secretWords = []string{"token", "password", "secret", "authorization", "cookie", "private_key"}

// prepareFields redacts the values of secret fields, and sets the event name of lines
// without one.
func prepareFields(fields map[string]any) error {
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

// isSecretName reports whether a field name indicates a secret.
func isSecretName(name string) bool {
	name = strings.ToLower(name)
	for _, w := range secretWords {
		if strings.Contains(name, w) {
			return true
		}
	}
	return false
}

// limitWindow is the period for which the lines of an event name are counted. It begins
// with the first line.
const limitWindow = time.Second
