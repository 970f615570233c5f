package placement

import "time"

// Target is a target as a policy sees it.
type Target struct {
	Name string
	Zone string
	// Weight is the share of keys and load relative to the other targets; at least 0.
	Weight float64
	// Slots is the number of requests that the target runs at a time.
	Slots int
	// Lost says that the target holds no lease for certain; its partitions may be given away at once.
	Lost bool
	// Leaving says that the target drains: its partitions move by planned hand-over.
	Leaving bool
	// Usable says that the target may receive partitions.
	Usable bool
}

// Input is everything that a plan depends on. A policy does not change it.
type Input struct {
	// Now is monotonic time; it never goes back between calls.
	Now        time.Duration
	Assignment *Assignment
	Targets    []Target
	// Load is the load of each partition in slot-seconds per second; nil if unknown.
	Load []float64
	// KeyCounts is the number of keys of each partition, if known; nil counts each partition as one.
	KeyCounts []float64
	// PreferStability selects the thresholds and move budget for services that weigh churn most.
	PreferStability bool
	// MovesInFlight is the number of planned moves that have not finished.
	MovesInFlight int
}

// Plan is the result of a policy.
type Plan struct {
	// Urgent gives partitions without a living owner a new one. They are not limited by the move budget.
	Urgent []Change
	// Moves are planned hand-overs, most useful first, within the move budget.
	Moves []Move
	// Deferred are moves that are wanted but wait, with the reason.
	Deferred []Move
}

// Move is a planned hand-over of a partition.
type Move struct {
	Change
	From string
	// Reason is one of the Reason constants.
	Reason string
}

// Reasons of moves.
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

// Policy plans the assignment of one service. It may keep state between calls;
// equal sequences of inputs give equal plans. It is used by one goroutine.
type Policy interface {
	Plan(in Input) Plan
}
