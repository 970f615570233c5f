// Package admission limits what one target receives: requests that run at a
// time (slots), requests per second, and requests that wait. The instance in
// front of a target has one Gate for it, so the limits hold over all instances.
//
// A request that cannot finish by its deadline is refused at once. Requests
// that wait are served round-robin over their keys, and a key may hold only a
// share of the queue, so one hot key delays the others by at most one request
// each time. Bulk requests have their own queue and never fill all slots.
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
	classes
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
	// QueueLength is the number of requests that wait at a time, over both classes.
	QueueLength int
	// MaxQueueTime is the longest wait. Default DefaultMaxQueueTime.
	MaxQueueTime time.Duration
	// Rate is the number of requests per second; 0 means no limit.
	Rate float64
	// BulkShare is the share of slots and queue that bulk requests can take. Default DefaultBulkShare.
	BulkShare float64
	// KeyShare is the share of the queue that one key can take. Default DefaultKeyShare.
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

// bulkSlots is the number of slots that bulk requests can take. A target with
// one slot has to share it.
func (l Limits) bulkSlots() int { return max(1, int(float64(l.Slots)*l.BulkShare)) }

func (l Limits) bulkQueueLength() int { return max(1, int(float64(l.QueueLength)*l.BulkShare)) }

func (l Limits) keyQueueLength() int { return max(1, int(float64(l.QueueLength)*l.KeyShare)) }

// Request is what the gate needs to know about a request.
type Request struct {
	Class Class
	// Key is the routing key. Requests without a key share the key "".
	Key string
	// Deadline is the time at which the caller gives up.
	Deadline time.Time
}

// Reason says why a request was refused.
type Reason string

// Reasons of refusals.
const (
	ReasonQueueFull Reason = "queue-full"
	ReasonKeyShare  Reason = "key-share"
	ReasonDeadline  Reason = "deadline"
	ReasonQueueTime Reason = "queue-time"
	ReasonRate      Reason = "rate"
	ReasonShedding  Reason = "server-shedding"
)

// RejectionError is the error of a request that was not admitted and has not run.
type RejectionError struct {
	Reason Reason
	// RetryAfter estimates when a request like this could be admitted.
	RetryAfter time.Duration
}

// Error describes the refusal.
func (r *RejectionError) Error() string {
	return fmt.Sprintf("not admitted: %s, retry after %s", r.Reason, r.RetryAfter)
}

// Load is a snapshot of a gate.
type Load struct {
	Slots, Running, Queued int
	// ServiceTime is the average time that an interactive request holds a slot.
	ServiceTime time.Duration
	// ExpectedWait is the expected time until the requests that wait now have slots.
	ExpectedWait time.Duration
}
