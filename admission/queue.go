package admission

import "container/list"

// waiter is a queued request. The mutex of the gate guards all fields but decided.
type waiter struct {
	req     Request
	decided chan struct{} // closed when the gate has decided
	err     error         // set before decided is closed
	key     *keyQueue
	element *list.Element // position in the queue of the key; nil if the request is not queued
}

// keyQueue has the waiting requests of one key in order of arrival.
type keyQueue struct {
	name    string
	waiters list.List
	element *list.Element // position in fairQueue.rotation
}

// fairQueue serves its keys round-robin. Only keys with waiting requests are in it.
type fairQueue struct {
	keys     map[string]*keyQueue
	rotation list.List // of *keyQueue; the first one is served next
	len      int       // number of waiters of all keys
}

func (q *fairQueue) push(w *waiter) {
	if q.keys == nil {
		q.keys = make(map[string]*keyQueue)
	}
	k := q.keys[w.req.Key]
	if k == nil {
		k = &keyQueue{name: w.req.Key}
		k.element = q.rotation.PushBack(k)
		q.keys[w.req.Key] = k
	}
	w.key, w.element = k, k.waiters.PushBack(w)
	q.len++
}

// pop removes and returns the next waiter. It returns nil if the queue is empty.
func (q *fairQueue) pop() *waiter {
	first := q.rotation.Front()
	if first == nil {
		return nil
	}
	k := first.Value.(*keyQueue)
	w := k.waiters.Front().Value.(*waiter)
	q.rotation.MoveToBack(first)
	q.remove(w)
	return w
}

// remove removes a waiter. It has no effect if the waiter is not queued.
func (q *fairQueue) remove(w *waiter) {
	if w.element == nil {
		return
	}
	w.key.waiters.Remove(w.element)
	w.element = nil
	q.len--
	if w.key.waiters.Len() == 0 {
		q.rotation.Remove(w.key.element)
		delete(q.keys, w.key.name)
	}
}

func (q *fairQueue) keyLen(key string) int {
	if k := q.keys[key]; k != nil {
		return k.waiters.Len()
	}
	return 0
}

// countAhead returns an upper bound of the number of queued requests that are served before a new
// one of the key.
func (q *fairQueue) countAhead(key string) int {
	return min(q.len, len(q.keys)*(q.keyLen(key)+1))
}
