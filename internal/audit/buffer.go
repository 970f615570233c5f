package audit

import (
	"fmt"
	"strconv"
	"sync"
	"time"
)

// buffer holds entries until they are written. It is bounded: when it is full,
// new entries are counted and replaced by one gap entry. Add and the trail's
// goroutine use it.
type buffer struct {
	limit int
	// identify completes an entry with its number. Called under mu.
	identify func(e *Entry, number uint64)

	mu      sync.Mutex
	entries []Entry
	number  uint64
	dropped uint64
	// from and to are the times of the first and the last dropped entry.
	from, to time.Time
}

// add appends an entry and returns false if it was dropped.
func (b *buffer) add(e Entry) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.entries) >= b.limit {
		if b.dropped == 0 {
			b.from = e.Time
		}
		b.dropped++
		b.to = e.Time
		return false
	}
	b.append(e)
	return true
}

func (b *buffer) append(e Entry) {
	b.number++
	b.identify(&e, b.number)
	b.entries = append(b.entries, e)
}

// take removes the oldest entries whose lines fit into room together. If any
// were dropped since, their gap entry follows the entries that remain.
func (b *buffer) take(room int) []Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for n < len(b.entries) {
		if room -= b.entries[n].size(); room < 0 {
			break
		}
		n++
	}
	taken := b.entries[:n:n]
	b.entries = b.entries[n:]
	if b.dropped > 0 && len(b.entries) < b.limit {
		b.append(Entry{Time: b.to, Event: EventGap, Outcome: "lost", Cause: "buffer full", Fields: map[string]string{
			"dropped": strconv.FormatUint(b.dropped, 10),
			"from":    b.from.Format(time.RFC3339Nano),
			"to":      b.to.Format(time.RFC3339Nano),
		}})
		b.dropped = 0
	}
	return taken
}

// putBack returns a batch that was certainly not written to the front.
func (b *buffer) putBack(batch []Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = append(batch[:len(batch):len(batch)], b.entries...)
}

func (b *buffer) empty() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.entries) == 0
}

// identity returns the identify function of an instance.
func identity(instance, incarnation string) func(*Entry, uint64) {
	return func(e *Entry, number uint64) {
		e.ID = fmt.Sprintf("%s/%s/%d", instance, incarnation, number)
		e.Instance = instance
	}
}
