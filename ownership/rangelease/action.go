package rangelease

import (
	"time"

	"github.com/boragegate/boragegate/routing"
)

// Action is a request to the user of a Grantor: *Grant, *Release or *WriteRecord.
type Action interface{ action() }

// Grant asks the user of the Grantor to grant or renew a lease. The result is passed to
// Grantor.ReportCallResult.
type Grant struct {
	// Call is the number of the call, by which its result is reported.
	Call         uint64
	Target       routing.Target
	Span         routing.Span
	FencingToken uint64
	// LeaseDuration is counted by the target from the arrival of the call.
	LeaseDuration time.Duration
	// HandoverToken is the token that the previous holder returned when it released the span, for
	// the next holder. It may be empty.
	HandoverToken string
}

// Release asks the user of the Grantor to take a span back from its holder. The target
// answers when its work on the span has ended. The result is passed to
// Grantor.ReportCallResult.
type Release struct {
	// Call is the number of the call, by which its result is reported.
	Call         uint64
	Target       routing.Target
	Span         routing.Span
	FencingToken uint64
	// Probe is set if the release only finds out whether the target responds.
	Probe bool
}

// WriteRecord asks the user of the Grantor to store the record on condition that the stored
// one is unchanged since the last write. The result is passed to
// Grantor.ReportWriteResult.
type WriteRecord struct{ Record *Record }

func (*Grant) action()       {}
func (*Release) action()     {}
func (*WriteRecord) action() {}

// Outcome is the result of a call to a target.
type Outcome int

// Outcomes of calls to a target.
const (
	// Done means that the target has carried out the call.
	Done Outcome = iota
	// Fenced means that the target has seen a higher fencing token.
	Fenced
	// Ended means that another target or lifetime answers at the address, so this lifetime
	// has ended.
	Ended
	// Refused means that the target answered but did not carry out the call.
	Refused
	// Unanswered means that the call may have been carried out, or may still be.
	Unanswered
)

// String returns the name of the outcome for logs.
func (o Outcome) String() string {
	return [...]string{"done", "fenced", "ended", "refused", "unanswered"}[o]
}
