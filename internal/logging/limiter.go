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
	// unnamedEvent is the name of lines without an event.
	unnamedEvent = "log"
	// overflowEvent is the name under which the limit counts when there are too many names.
	overflowEvent = "other"
	// maxEventNames bounds the names that the limit counts apart.
	maxEventNames = 1000
	// eventSuppressed reports what was left out.
	eventSuppressed = "log.left_out"
)

// limiter passes on a bounded number of lines per second and event name.
type limiter struct {
	out          io.Writer
	recent       *RecentEvents
	clock        clockwork.Clock
	perSecond    int
	onSuppressed func(event string)

	mu      sync.Mutex
	windows map[string]*window
}

// window counts the lines of one event name since its start.
type window struct {
	start      time.Time
	written    int
	suppressed int
}

// Write takes one line of JSON.
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

// allow reports whether a line of the event would be written now, and counts it as left out if not.
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

// windowFor returns the window of a name; the mutex is held.
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

// reportSuppressed writes the counts of windows that are older than the age and ends them.
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
			return fmt.Errorf("log: %w", err)
		}
		if _, err := l.out.Write(line); err != nil {
			return fmt.Errorf("log: %w", err)
		}
	}
	return nil
}

// flush reports all windows.
func (l *limiter) flush() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.reportSuppressed(l.clock.Now(), 0) // nobody can be told that the log cannot be written
}
