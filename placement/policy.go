package placement

import "time"

// Target describes a target to a policy.
type Target struct {
	Name string
	Zone string
	// Weight is the amount of keys and load that the target should have, relative to the
	// other targets. It is at least 0.
	Weight float64
	// Slots is the maximum number of requests that the target processes concurrently.
	Slots int
	// Lost reports that the lease of the target has certainly expired. Its partitions may
	// be reassigned at once.
	Lost bool
	// Leaving reports that the target drains or has left the table. Its partitions move by
	// planned handover.
	Leaving bool
	// Usable reports whether the target can receive partitions.
	Usable bool
}

// Input is everything that a plan depends on. A policy does not modify it.
type Input struct {
	// Now is a monotonic time, which does not decrease between calls.
	Now        time.Duration
	Assignment *Assignment
	Targets    []Target
	// Load is the load of each partition in slots, that is, the average number of slots that
	// its requests occupy. It is nil if the load is unknown.
	Load []float64
	// KeyCounts is the number of keys of each partition. If it is nil, all partitions count
	// as equal.
	KeyCounts []float64
	// PreferStability selects the thresholds and the move budget for services that prefer
	// few moves to availability.
	PreferStability bool
	// MovesInFlight is the number of planned moves that have not finished.
	MovesInFlight int
}

// Plan is the result of a policy.
type Plan struct {
	// Urgent assigns partitions that are unowned or whose owner is lost. The move budget
	// does not limit these changes.
	Urgent []Change
	// Moves are planned handovers within the move budget, the most useful ones first.
	Moves []Move
	// Deferred are moves that are desired but have to wait. Their Reason tells what they
	// wait for. They are for display; a policy may limit their number.
	Deferred []Move
}

// Move is a planned handover of a partition.
type Move struct {
	Change
	From string
	// Reason is one of the Reason constants.
	Reason string
}

// Reasons for a move, and for deferring one.
const (
	ReasonInitial         = "initial"
	ReasonLost            = "lost"
	ReasonLeaving         = "leaving"
	ReasonWeight          = "weight"
	ReasonLoad            = "load"
	ReasonHotKey          = "hot-key"
	ReasonBudgetExhausted = "waiting for move budget"
	ReasonHoldDown        = "waiting for the target to be stable"
	ReasonUnconfirmed     = "waiting for the load to last"
)

// Policy plans the assignment of one service. It may keep state between calls. Equal
// sequences of inputs give equal plans. A Policy must not be used by several goroutines at a
// time.
type Policy interface {
	Plan(in Input) Plan
}
