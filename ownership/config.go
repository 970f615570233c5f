package ownership

import (
	"time"

	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/placement"
)

// Config holds the constants of a core.
type Config struct {
	// Self is this instance.
	Self Member
	// Cell is the name of the cell.
	Cell string
	// Lease holds the lease constants. Default lease.DefaultTerms.
	Lease lease.Terms
	// RenewInterval is the time that a server holds the reply to a renewal. Default 200 ms.
	RenewInterval time.Duration
	// HeartbeatInterval is the time between heartbeats to each member. Default 250 ms.
	HeartbeatInterval time.Duration
	// ContactWindow is the age up to which an acknowledged heartbeat counts as contact. Default 450 ms.
	ContactWindow time.Duration
	// SilenceAfter is the time without a heartbeat after which a member is reported silent. Default 500 ms.
	SilenceAfter time.Duration
	// SuspendFor is the time for which heartbeats of a member that was reported silent are not acknowledged. Default 2 s.
	SuspendFor time.Duration
	// ReportValid is the age up to which a silence report is used. Default 1 s.
	ReportValid time.Duration
	// TickInterval is the longest time between two events. Default 20 ms.
	TickInterval time.Duration
	// Incarnation makes IDs of this process unique across restarts.
	Incarnation string
	// StoreTimeout is the time after which a store call counts as failed. Default 50 ms.
	StoreTimeout time.Duration
	// StoreRetry is the time between attempts while the store fails. Default 250 ms.
	StoreRetry time.Duration
	// JoinInterval is the time between join attempts. Default 500 ms.
	JoinInterval time.Duration
	// ReplaceCellAfter is the time for which a recorded cell must have been dead before
	// a joiner replaces it; longer than all other windows together. Default 4 s.
	ReplaceCellAfter time.Duration
	// MemberRemovalInterval is the least time between two removals of lost members. Default 10 s.
	MemberRemovalInterval time.Duration
	// InitialReportWait is the time that a new planner waits for reports of all targets before
	// it gives away partitions without an owner. Default 700 ms.
	InitialReportWait time.Duration
	// PlanInterval is the time between plans when nothing happens. Default 1 s.
	PlanInterval time.Duration
	// ReportInterval is the time between repeated reports. Default 250 ms.
	ReportInterval time.Duration
	// NewPolicy returns the placement policy of a service.
	NewPolicy func(service string) placement.Policy

	faults faults
}

// DefaultConfig returns the defaults, without Self, Cell and NewPolicy.
func DefaultConfig() Config {
	return Config{
		Lease:                 lease.DefaultTerms,
		RenewInterval:         200 * time.Millisecond,
		HeartbeatInterval:     250 * time.Millisecond,
		ContactWindow:         450 * time.Millisecond,
		SilenceAfter:          500 * time.Millisecond,
		SuspendFor:            2 * time.Second,
		ReportValid:           time.Second,
		TickInterval:          20 * time.Millisecond,
		StoreTimeout:          50 * time.Millisecond,
		StoreRetry:            250 * time.Millisecond,
		JoinInterval:          500 * time.Millisecond,
		ReplaceCellAfter:      4 * time.Second,
		MemberRemovalInterval: 10 * time.Second,
		InitialReportWait:     700 * time.Millisecond,
		PlanInterval:          time.Second,
		ReportInterval:        250 * time.Millisecond,
	}
}
