package peer

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxQueued bounds the messages that wait for one peer.
	maxQueued = 256
	// maxQueuedBytes bounds their size; it holds a few of the largest frames.
	maxQueuedBytes = 4 << 20
	// maxUrgentAge is the age at which an urgent frame is dropped instead of sent:
	// orders and reports from before a long partition describe a past state. Low
	// frames may wait longer, for their byte budget.
	maxUrgentAge = 5 * time.Second
)

type queued struct {
	kind  byte
	frame []byte
	at    time.Time
}

// queue holds the frames for one peer in two priorities. It is safe for
// concurrent use and never blocks.
type queue struct {
	mu    sync.Mutex
	lists [2][]queued // by priority, oldest first
	bytes int
	// lastPut is the time of the newest frame, sent or not.
	lastPut time.Time
	wake    chan struct{} // receives when a frame was added
	onDrop  func(priority)
}

func newQueue(onDrop func(priority)) *queue {
	return &queue{wake: make(chan struct{}, 1), onDrop: onDrop}
}

// put adds a frame. A message type of which only the latest counts replaces a
// queued one. When the queue is full, the oldest low message is dropped, or the
// oldest urgent one if there is no low one.
func (q *queue) put(now time.Time, kind byte, t messageType, frame []byte) {
	q.mu.Lock()
	list := &q.lists[t.priority]
	if t.latest {
		*list = slices.DeleteFunc(*list, func(m queued) bool {
			if m.kind == kind {
				q.bytes -= len(m.frame)
			}
			return m.kind == kind
		})
	}
	*list = append(*list, queued{kind, frame, now})
	q.lastPut = now
	q.bytes += len(frame)
	for q.size() > maxQueued || q.bytes > maxQueuedBytes {
		q.dropOldest()
	}
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *queue) size() int { return len(q.lists[urgent]) + len(q.lists[low]) }

func (q *queue) dropOldest() {
	p := low
	if len(q.lists[low]) == 0 {
		p = urgent
	}
	q.remove(p)
	q.onDrop(p)
}

// remove takes the oldest frame of a priority. Callers hold mu.
func (q *queue) remove(p priority) []byte {
	f := q.lists[p][0].frame
	q.lists[p] = slices.Delete(q.lists[p], 0, 1)
	q.bytes -= len(f)
	return f
}

// next takes the oldest urgent frame that is not too old, or the oldest low
// frame if mayLow allows its size.
func (q *queue) next(now time.Time, mayLow func(bytes int) bool) ([]byte, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.lists[urgent]) > 0 && now.Sub(q.lists[urgent][0].at) > maxUrgentAge {
		q.remove(urgent)
		q.onDrop(urgent)
	}
	if len(q.lists[urgent]) > 0 {
		return q.remove(urgent), true
	}
	if len(q.lists[low]) > 0 && mayLow(len(q.lists[low][0].frame)) {
		return q.remove(low), true
	}
	return nil, false
}

// unused reports whether nothing was added for the time.
func (q *queue) unused(now time.Time, d time.Duration) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return now.Sub(q.lastPut) >= d
}
