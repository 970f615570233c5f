package audit

import (
	"fmt"
	"strconv"
	"sync"
	"time"
)

// buffer holds entries until they are written. When it is full, new entries are
// dropped and counted, and one gap entry (EventGap) reports them later. It is safe for
// concurrent use by Trail.Add and the goroutine of Trail.Run.
type buffer struct {
	limit int
	// assignID sets the ID of an entry from its number. It is called with mu held.
	assignID func(e *Entry, number uint64)

	mu         sync.Mutex
	entries    []Entry
	lastNumber uint64
	dropped    uint64
	// firstDropped and lastDropped are the times of the first and the last dropped entry.
	firstDropped, lastDropped time.Time
}

// add appends an entry and returns true. If the buffer is full, it drops the entry and
// returns false.
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

// append numbers an entry and appends it, regardless of the limit. The caller must
// hold mu.
func (b *buffer) append(e Entry) {
	b.lastNumber++
	b.assignID(&e, b.lastNumber)
	b.entries = append(b.entries, e)
}

// takeBatch removes and returns the oldest entries whose lines together fit into
// availableBytes. If entries were dropped since the last gap entry, and the buffer is then
// not full, it appends a gap entry.
func (b *buffer) takeBatch(availableBytes int) []Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for n < len(b.entries) {
		if availableBytes -= b.entries[n].maxSize(); availableBytes < 0 {
			break
		}
		n++
	}
	batch := b.entries[:n:n]
	b.entries = b.entries[n:]
	if b.dropped > 0 && len(b.entries) < b.limit {
		b.append(Entry{Time: b.lastDropped, Event: EventGap, Outcome: "lost", Cause: "buffer full", Fields: map[string]string{
			"dropped": strconv.FormatUint(b.dropped, 10),
			"from":    b.firstDropped.Format(time.RFC3339Nano),
			"to":      b.lastDropped.Format(time.RFC3339Nano),
		}})
		b.dropped = 0
	}
	return batch
}

// requeue puts a batch, which is known not to be in the store, back in front of the other
// entries.
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

// newIDAssigner returns the assignID function of an instance.
func newIDAssigner(instance, incarnation string) func(*Entry, uint64) {
	return func(e *Entry, number uint64) {
		e.ID = fmt.Sprintf("%s/%s/%d", instance, incarnation, number)
		e.Instance = instance
	}
}
