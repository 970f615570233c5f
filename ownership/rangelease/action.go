package rangelease

import (
	"time"

	"github.com/boragegate/boragegate/routing"
)

// Action is something that the caller has to do: *Grant, *Release or *Write.
type Action interface{ action() }

// Grant gives or renews a lease. The result goes to Granter.ReportCallResult.
type Grant struct {
	Call         uint64
	Target       routing.Target
	Span         routing.Span
	FencingToken uint64
	// LeaseDuration is the hold time, counted by the target from the arrival of the call.
	LeaseDuration time.Duration
	// Handover is what the holder before returned at its release; it may be empty.
	Handover string
}

// Release takes a span back. The target answers when its work on the span has
// ended. The result goes to Granter.ReportCallResult.
type Release struct {
	Call         uint64
	Target       routing.Target
	Span         routing.Span
	FencingToken uint64
}

// WriteRecord stores the record, on condition that it is unchanged since the last
// write. The result goes to Granter.ReportWriteResult.
type WriteRecord struct{ Record *Record }

func (*Grant) action()       {}
func (*Release) action()     {}
func (*WriteRecord) action() {}

// Outcome is the result of a call to a target.
type Outcome int

// Outcomes of calls.
const (
	// Done means that the target has carried out the call.
	Done Outcome = iota
	// Fenced means that the target has seen a higher fencing token.
	Fenced
	// Ended means that another target answers at the address, so this one has ended.
	Ended
	// Refused means that the target answered and did not carry out the call.
	Refused
	// Unanswered means that the call may have been carried out or may still be.
	Unanswered
)

// String returns the name of the outcome in logs.
func (o Outcome) String() string {
	return [...]string{"done", "fenced", "ended", "refused", "unanswered"}[o]
}
