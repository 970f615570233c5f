package dispatch

import (
	"time"

	"github.com/boragegate/boragegate/ratelimit"
	"github.com/boragegate/boragegate/routing"
)

// Verdict is the outcome of a decision.
type Verdict int

// Outcomes of a decision.
const (
	// Send means that the request is sent to the target.
	Send Verdict = iota
	// Hold means that the request waits because the holder of its key is expected to be able to
	// serve it shortly.
	Hold
	// Reject means that the request is answered at once, without having been run.
	Reject
)

// Request has the properties of a request that a decision depends on.
type Request struct {
	Service string
	Kind    routing.Kind
	// Key is the shard key, or -1 if the request has none.
	Key int
	// Remaining is the time until the deadline of the caller.
	Remaining time.Duration
	// Objective is the latency objective of the route; 0 means none.
	Objective time.Duration
	// Elapsed is the time since the request arrived. PriorElapsed is the time that its caller had spent on
	// earlier attempts, which were rejected, as estimated by RecordArrival.
	Elapsed, PriorElapsed time.Duration
	// Priority is the priority of the route; 0 is the highest.
	Priority int
	// Ticket is the Ticket of the last decision; zero if the request was not held for a permit.
	Ticket ratelimit.Ticket
	// TriedTargets has the IDs of the targets that the request was sent to before.
	TriedTargets []string
	// HeldFor is the Reason of the last decision on the request if that was Hold, or else empty.
	HeldFor string
	// IsRetry is set if the request was sent before, IsHedge if an earlier attempt is still in progress.
	IsRetry, IsHedge bool
}

// Decision is a verdict with the data that it is based on.
type Decision struct {
	Verdict Verdict
	// Target is the target that the request is sent to or, if the request is rejected, the target that it would
	// have been sent to. It is zero for a Hold and for a Reject that was decided without an estimate for a target.
	Target routing.Target
	// Reason is the cause of a Hold or Reject; empty for Send.
	Reason string
	// RetryAfter depends on the verdict. For Reject, it is the delay after which the caller is told to retry.
	// For Hold, it is the time after which Choose has to be called again at the latest, even if nothing has changed.
	RetryAfter time.Duration
	// Load is the estimated number of requests at the target. ExpectedLatency is the estimated time to
	// completion of this request there, and ExpectedQueueTime the part of it that is spent in the queue.
	Load                               float64
	ExpectedLatency, ExpectedQueueTime time.Duration
	// ReportAge is the age of the last load report of the target; -1 if there is none.
	ReportAge time.Duration
	// LimitPerSecond is the rate limit of the target in requests per second; 0 if it did not affect the decision.
	LimitPerSecond float64
	// LeavesZone is the cause for which the target is in another zone than the instance; empty if it is not.
	LeavesZone ZoneReason
	// Ticket is set for a Hold because of the rate limit of the target. It has to be passed to the next Choose, or to
	// StopAwaitingPermit if the request ends.
	Ticket ratelimit.Ticket
}

// ExpectsQueue reports whether the target of the decision is expected to have a queue.
func (d *Decision) ExpectsQueue() bool { return d.Load >= float64(max(d.Target.Slots, 1)) }
