package peer

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxQueued bounds the number of frames queued for one peer.
	maxQueued = 256
	// maxQueuedBytes bounds their total size. It leaves room for a few frames of the maximum size.
	maxQueuedBytes = 4 << 20
	// maxUrgentAge is the age above which an urgent frame is dropped instead of sent:
	// requests and reports queued before a long network partition describe an outdated
	// state. Low-priority frames may be older, as they wait for the byte budget.
	maxUrgentAge = 5 * time.Second
)

// queued is a frame in a queue.
type queued struct {
	kind  byte
	frame []byte
	at    time.Time
}

// queue holds the frames for one peer by priority, within maxQueuedFrames and
// maxQueuedBytes. It is safe for concurrent use, and its methods do not wait for the network.
type queue struct {
	mu    sync.Mutex
	lists [2][]queued // each in order of arrival
	bytes int
	// lastPut is the time at which a frame was last added, whether it was sent or not.
	lastPut time.Time
	wake    chan struct{} // receives a value when a frame was added
	onDrop  func(priority)
}

// newQueue returns an empty queue. onDrop is called, with the queue's mutex held,
// for each frame that is dropped because of the limits or its age.
func newQueue(onDrop func(priority)) *queue {
	return &queue{wake: make(chan struct{}, 1), onDrop: onDrop}
}

// put adds a frame. If only the latest message of its type matters, it replaces a
// queued one. When the queue is full, the oldest low-priority frame is dropped, or
// the oldest urgent one if there is none of low priority.
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

// remove removes and returns the oldest frame of a priority. The caller must hold mu.
func (q *queue) remove(p priority) []byte {
	f := q.lists[p][0].frame
	q.lists[p] = slices.Delete(q.lists[p], 0, 1)
	q.bytes -= len(f)
	return f
}

// next removes and returns the oldest urgent frame, or without one the oldest
// low-priority frame if allowLow accepts its size. Urgent frames older than
// maxUrgentAge are dropped first. It reports false if no frame may be sent now.
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

// unused reports whether no frame was added for at least d.
func (q *queue) unused(now time.Time, d time.Duration) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return now.Sub(q.lastPut) >= d
}
