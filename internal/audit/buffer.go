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
	// assignID completes an entry with its number. Called under mu.
	assignID func(e *Entry, number uint64)

	mu         sync.Mutex
	entries    []Entry
	lastNumber uint64
	dropped    uint64
	// firstDropped and to are the times of the first and the last dropped entry.
	firstDropped, lastDropped time.Time
}

// add appends an entry and returns false if it was dropped.
func (b *buffer) add(e Entry) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.entries) >= b.limit {
		if b.dropped == 0 {
			b.firstDropped = e.Time
		}
		b.dropped++
		b.lastDropped = e.Time
		return false
	}
	b.append(e)
	return true
}

func (b *buffer) append(e Entry) {
	b.lastNumber++
	b.assignID(&e, b.lastNumber)
	b.entries = append(b.entries, e)
}

// takeBatch removes the oldest entries whose lines fit into room together. If any
// were dropped since, their gap entry follows the entries that remain.
func (b *buffer) takeBatch(room int) []Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for n < len(b.entries) {
		if room -= b.entries[n].maxSize(); room < 0 {
			break
		}
		n++
	}
	taken := b.entries[:n:n]
	b.entries = b.entries[n:]
	if b.dropped > 0 && len(b.entries) < b.limit {
		b.append(Entry{Time: b.lastDropped, Event: EventGap, Outcome: "lost", Cause: "buffer full", Fields: map[string]string{
			"dropped": strconv.FormatUint(b.dropped, 10),
			"from":    b.firstDropped.Format(time.RFC3339Nano),
			"to":      b.lastDropped.Format(time.RFC3339Nano),
		}})
		b.dropped = 0
	}
	return taken
}

// requeue returns a batch that was certainly not written to the front.
func (b *buffer) requeue(batch []Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = append(batch[:len(batch):len(batch)], b.entries...)
}

func (b *buffer) isEmpty() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.entries) == 0
}

// newIDAssigner returns the identify function of an instance.
func newIDAssigner(instance, incarnation string) func(*Entry, uint64) {
	return func(e *Entry, number uint64) {
		e.ID = fmt.Sprintf("%s/%s/%d", instance, incarnation, number)
		e.Instance = instance
	}
}
