// Package admission limits what one target receives: the number of requests that run at a time
// (slots), the number of requests per second, and the number of requests that wait. All
// requests to a target go through one instance, which has a single Gate for it, so the limits
// hold across all instances.
//
// A request that is not expected to finish by its deadline is rejected at once. Waiting requests
// are served round-robin by key, and a key may occupy only a fraction of the queue, so a hot key
// delays every other key by at most one request per round. Bulk requests have a queue of their
// own. They may occupy only a fraction of the slots, but at least one.
package admission

import (
	"fmt"
	"time"
)

// Class is the priority class of a request.
type Class int

// Priority classes.
const (
	// Interactive requests are short calls.
	Interactive Class = iota
	// Bulk requests are large downloads.
	Bulk
	numClasses
)

// String returns the name of the class in logs and metrics.
func (c Class) String() string {
	if c == Bulk {
		return "bulk"
	}
	return "interactive"
}

// Defaults of Limits.
const (
	DefaultMaxQueueTime = 2 * time.Second
	DefaultBulkShare    = 0.5
	DefaultKeyShare     = 0.25
)

// Limits are the limits of one target.
type Limits struct {
	// Slots is the number of requests that run at a time; at least 1.
	Slots int
	// QueueLength is the maximum number of waiting requests, over both classes.
	QueueLength int
	// MaxQueueTime is the longest time that a request waits. Default DefaultMaxQueueTime.
	MaxQueueTime time.Duration
	// Rate is the maximum number of requests per second; 0 means no limit.
	Rate float64
	// BulkShare is the fraction of slots and queue that bulk requests may occupy. Default
	// DefaultBulkShare.
	BulkShare float64
	// KeyShare is the fraction of the queue that one key may occupy. Default DefaultKeyShare.
	KeyShare float64
}

func (l Limits) withDefaults() Limits {
	l.Slots = max(l.Slots, 1)
	if l.MaxQueueTime == 0 {
		l.MaxQueueTime = DefaultMaxQueueTime
	}
	if l.BulkShare == 0 {
		l.BulkShare = DefaultBulkShare
	}
	if l.KeyShare == 0 {
		l.KeyShare = DefaultKeyShare
	}
	return l
}

// bulkSlots returns the number of slots that bulk requests may occupy. At a target with one
// slot, both classes share it.
func (l Limits) bulkSlots() int { return max(1, int(float64(l.Slots)*l.BulkShare)) }

func (l Limits) bulkQueueLength() int { return max(1, int(float64(l.QueueLength)*l.BulkShare)) }

func (l Limits) keyQueueLength() int { return max(1, int(float64(l.QueueLength)*l.KeyShare)) }

// Request has the properties of a request that admission depends on.
type Request struct {
	Class Class
	// Key is the routing key. Requests without one share the key "", to which KeyShare does not
	// apply.
	Key string
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
}

// Reason is the cause of a rejection.
type Reason string

// Causes of rejections.
const (
	// ReasonQueueFull means that the queue of the target or of the class is full.
	ReasonQueueFull Reason = "queue-full"
	// ReasonKeyShare means that the key already occupies its fraction of the queue.
	ReasonKeyShare Reason = "key-share"
	// ReasonDeadline means that the request is not expected to finish by its deadline, or is
	// expected to wait longer than MaxQueueTime.
	ReasonDeadline Reason = "deadline"
	// ReasonQueueTime means that the request has waited for MaxQueueTime, or for so long that it
	// can no longer finish by its deadline.
	ReasonQueueTime Reason = "queue-time"
	// ReasonRate means that the limit of requests per second would delay the request beyond its
	// deadline or by more than MaxQueueTime.
	ReasonRate Reason = "rate"
	// ReasonShedding means that the server has asked for a pause.
	ReasonShedding Reason = "server-shedding"
)

// RejectionError is the error for a request that was not admitted and has not run.
type RejectionError struct {
	Reason Reason
	// RetryAfter is the estimated time until a similar request can be admitted.
	RetryAfter time.Duration
}

// Error returns the reason and the retry delay.
func (e *RejectionError) Error() string {
	return fmt.Sprintf("not admitted: %s, retry after %s", e.Reason, e.RetryAfter)
}

// Load is a snapshot of the load of a gate. Running and Queued count the requests of both
// classes.
type Load struct {
	Slots, Running, Queued int
	// ServiceTime is the average time for which an interactive request occupies a slot; 0 if
	// none has released its slot yet.
	ServiceTime time.Duration
	// ExpectedWait is the expected time until all interactive requests that are waiting have been
	// given slots.
	ExpectedWait time.Duration
}
