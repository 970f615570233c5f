package peer

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxQueuedFrames bounds the messages that wait for one peer.
	maxQueuedFrames = 256
	// maxQueuedBytes bounds their size; it holds a few of the largest frames.
	maxQueuedBytes = 4 << 20
	// maxUrgentAge is the age at which an urgent frame is dropped instead of sent:
	// orders and reports from before a long partition describe a past state. Low
	// frames may wait longer, for their byte budget.
	maxUrgentAge = 5 * time.Second
)

type queuedFrame struct {
	typeNumber byte
	frame      []byte
	enqueuedAt time.Time
}

// queue holds the frames for one peer in two priorities. It is safe for
// concurrent use and never blocks.
type queue struct {
	mu               sync.Mutex
	framesByPriority [2][]queuedFrame // by priority, oldest first
	bytes            int
	// lastEnqueuedAt is the time of the newest frame, sent or not.
	lastEnqueuedAt time.Time
	wake           chan struct{} // receives when a frame was added
	onDrop         func(priority)
}

func newQueue(onDrop func(priority)) *queue {
	return &queue{wake: make(chan struct{}, 1), onDrop: onDrop}
}

// enqueue adds a frame. A message type of which only the latest counts replaces a
// queued one. When the queue is full, the oldest low message is dropped, or the
// oldest urgent one if there is no low one.
func (q *queue) enqueue(now time.Time, kind byte, t messageType, frame []byte) {
	q.mu.Lock()
	list := &q.framesByPriority[t.priority]
	if t.latestOnly {
		*list = slices.DeleteFunc(*list, func(m queuedFrame) bool {
			if m.typeNumber == kind {
				q.bytes -= len(m.frame)
			}
			return m.typeNumber == kind
		})
	}
	*list = append(*list, queuedFrame{kind, frame, now})
	q.lastEnqueuedAt = now
	q.bytes += len(frame)
	for q.size() > maxQueuedFrames || q.bytes > maxQueuedBytes {
		q.dropOldest()
	}
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *queue) size() int { return len(q.framesByPriority[urgent]) + len(q.framesByPriority[low]) }

func (q *queue) dropOldest() {
	p := low
	if len(q.framesByPriority[low]) == 0 {
		p = urgent
	}
	q.removeOldest(p)
	q.onDrop(p)
}

// removeOldest takes the oldest frame of a priority. Callers hold mu.
func (q *queue) removeOldest(p priority) []byte {
	f := q.framesByPriority[p][0].frame
	q.framesByPriority[p] = slices.Delete(q.framesByPriority[p], 0, 1)
	q.bytes -= len(f)
	return f
}

// dequeue takes the oldest urgent frame that is not too old, or the oldest low
// frame if mayLow allows its size.
func (q *queue) dequeue(now time.Time, mayLow func(bytes int) bool) ([]byte, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.framesByPriority[urgent]) > 0 && now.Sub(q.framesByPriority[urgent][0].enqueuedAt) > maxUrgentAge {
		q.removeOldest(urgent)
		q.onDrop(urgent)
	}
	if len(q.framesByPriority[urgent]) > 0 {
		return q.removeOldest(urgent), true
	}
	if len(q.framesByPriority[low]) > 0 && mayLow(len(q.framesByPriority[low][0].frame)) {
		return q.removeOldest(low), true
	}
	return nil, false
}

// idleFor reports whether nothing was added for the time.
func (q *queue) idleFor(now time.Time, d time.Duration) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return now.Sub(q.lastEnqueuedAt) >= d
}
