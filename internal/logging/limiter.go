package logging

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
)

const (
	// unnamedEvent is the event name given to lines without one.
	unnamedEvent = "log"
	// overflowEvent is the name under which the lines of further events are counted
	// together while maxEventNames names are already counted separately.
	overflowEvent = "other"
	// maxEventNames is the maximum number of event names that are counted separately. It
	// limits the memory used, because names may come from outside the process.
	maxEventNames = 1000
	// eventSuppressed is the event that reports the number of suppressed lines.
	eventSuppressed = "log.left_out"
)

// limiter is a writer that passes on a limited number of lines per second for each event
// name and suppresses the others. It is safe for concurrent use.
type limiter struct {
	out          io.Writer
	recent       *RecentEvents
	clock        clockwork.Clock
	perSecond    int
	onSuppressed func(event string)

	mu      sync.Mutex
	windows map[string]*window
}

// window counts the written and suppressed lines of one event name since start, the
// time of the first line.
type window struct {
	start      time.Time
	written    int
	suppressed int
}

// Write passes on or suppresses one line of JSON. A line that is not JSON is always
// passed on.
func (l *limiter) Write(p []byte) (int, error) {
	var fields map[string]any
	if err := json.Unmarshal(p, &fields); err != nil {
		return l.out.Write(p)
	}
	event, _ := fields[fieldEvent].(string)
	if event == "" {
		event = unnamedEvent
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if err := l.reportSuppressed(now, limitWindow); err != nil {
		return 0, err
	}
	w := l.windowFor(event, now)
	if w.written >= l.perSecond {
		w.suppressed++
		if l.onSuppressed != nil {
			l.onSuppressed(event)
		}
		return len(p), nil
	}
	w.written++
	l.recent.add(event, fields)
	if _, err := l.out.Write(p); err != nil {
		return 0, err
	}
	return len(p), nil
}

// allow reports whether the event has not reached its limit yet. If it has, the line is
// counted as suppressed. Events that share the window of overflowEvent are always
// allowed; Write limits them.
func (l *limiter) allow(event string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	w := l.windows[event]
	if w == nil || now.Sub(w.start) >= limitWindow || w.written < l.perSecond {
		return true
	}
	w.suppressed++
	if l.onSuppressed != nil {
		l.onSuppressed(event)
	}
	return false
}

// windowFor returns the window of an event name. The caller must hold mu.
func (l *limiter) windowFor(event string, now time.Time) *window {
	w := l.windows[event]
	if w == nil && len(l.windows) >= maxEventNames {
		event = overflowEvent
		w = l.windows[event]
	}
	if w == nil {
		w = &window{start: now}
		l.windows[event] = w
	}
	return w
}

// reportSuppressed removes the windows that started at least age ago and writes one
// line for each that suppressed lines. The caller must hold mu.
func (l *limiter) reportSuppressed(now time.Time, age time.Duration) error {
	var names []string
	for name, w := range l.windows {
		if now.Sub(w.start) >= age {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		w := l.windows[name]
		delete(l.windows, name)
		if w.suppressed == 0 {
			continue
		}
		line, err := json.Marshal(map[string]any{
			fieldTime: now.UTC().Format(timeFormat), zerolog.LevelFieldName: zerolog.LevelWarnValue,
			fieldEvent: eventSuppressed, "of": name, "lines": w.suppressed,
		})
		if err != nil {
			return fmt.Errorf("log: encode count of suppressed lines: %w", err)
		}
		if _, err := l.out.Write(line); err != nil {
			return fmt.Errorf("log: write count of suppressed lines: %w", err)
		}
	}
	return nil
}

// flush reports the suppressed lines of all windows.
func (l *limiter) flush() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.reportSuppressed(l.clock.Now(), 0) // the log itself cannot report the error
}
