package peer

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxQueuedFrames is the maximum number of frames queued for one peer.
	maxQueuedFrames = 256
	// maxQueuedBytes is their maximum total size. A few frames of the maximum size fit.
	maxQueuedBytes = 4 << 20
	// maxUrgentAge is the age above which an urgent frame is dropped instead of sent:
	// requests and reports queued before a long network partition describe an outdated
	// state. Low-priority frames may be older, as they wait for the byte budget.
	maxUrgentAge = 5 * time.Second
)

// queuedFrame is a frame in a queue.
type queuedFrame struct {
	typeNumber byte
	frame      []byte
	enqueuedAt time.Time
}

// queue holds the frames for one peer by priority, within maxQueuedFrames and
// maxQueuedBytes. It is safe for concurrent use, and its methods do not wait for the network.
type queue struct {
	mu               sync.Mutex
	framesByPriority [2][]queuedFrame // each in order of arrival
	bytes            int
	// lastEnqueuedAt is the time at which a frame was last added, whether it was sent or not.
	lastEnqueuedAt time.Time
	wake           chan struct{} // receives a value when a frame was added
	onDrop         func(priority)
}

// newQueue returns an empty queue. onDrop is called, with the queue's mutex held,
// for each frame that is dropped because of the limits or its age.
func newQueue(onDrop func(priority)) *queue {
	return &queue{wake: make(chan struct{}, 1), onDrop: onDrop}
}

// enqueue adds a frame. If t.latestOnly is set, the frame replaces a queued one of the same
// type. When the queue is full, the oldest low-priority frame is dropped, or the oldest
// urgent one if there is none of low priority.
func (q *queue) enqueue(now time.Time, typeNumber byte, t messageType, frame []byte) {
	q.mu.Lock()
	list := &q.framesByPriority[t.priority]
	if t.latestOnly {
		*list = slices.DeleteFunc(*list, func(m queuedFrame) bool {
			if m.typeNumber == typeNumber {
				q.bytes -= len(m.frame)
			}
			return m.typeNumber == typeNumber
		})
	}
	*list = append(*list, queuedFrame{typeNumber, frame, now})
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

// removeOldest removes and returns the oldest frame of a priority. The caller must hold mu.
func (q *queue) removeOldest(p priority) []byte {
	f := q.framesByPriority[p][0].frame
	q.framesByPriority[p] = slices.Delete(q.framesByPriority[p], 0, 1)
	q.bytes -= len(f)
	return f
}

// dequeue removes and returns the oldest urgent frame, or without one the oldest
// low-priority frame if allowLow accepts its size. Urgent frames older than
// maxUrgentAge are dropped first. It reports false if no frame may be sent now.
func (q *queue) dequeue(now time.Time, allowLow func(bytes int) bool) ([]byte, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.framesByPriority[urgent]) > 0 && now.Sub(q.framesByPriority[urgent][0].enqueuedAt) > maxUrgentAge {
		q.removeOldest(urgent)
		q.onDrop(urgent)
	}
	if len(q.framesByPriority[urgent]) > 0 {
		return q.removeOldest(urgent), true
	}
	if len(q.framesByPriority[low]) > 0 && allowLow(len(q.framesByPriority[low][0].frame)) {
		return q.removeOldest(low), true
	}
	return nil, false
}

// idleFor reports whether no frame was added for at least d.
func (q *queue) idleFor(now time.Time, d time.Duration) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return now.Sub(q.lastEnqueuedAt) >= d
}
