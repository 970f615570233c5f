package ownership

import (
	"time"

	"github.com/boragegate/boragegate/lease"
	"github.com/boragegate/boragegate/placement"
)

// Config holds the settings of a Core. The defaults are those of DefaultConfig; New does not
// apply them. ContactWindow must be shorter than SilenceAfter, and ReportValid shorter than
// SuspendFor, so that no member is in contact while a majority reports it silent; see package
// membership.
type Config struct {
	// Self describes this instance.
	Self Member
	// Cell is the name of the cell.
	Cell string
	// Lease holds the lease timing. Default lease.DefaultConfig.
	Lease lease.Config
	// RenewInterval is the time for which a server delays its reply to a renewal. Default
	// 200 ms.
	RenewInterval time.Duration
	// HeartbeatInterval is the interval between heartbeats to each member. Default 250 ms.
	HeartbeatInterval time.Duration
	// ContactWindow is the maximum age of an acknowledged heartbeat that counts as
	// contact. Default 450 ms.
	ContactWindow time.Duration
	// SilenceAfter is the time without a heartbeat after which a member is reported
	// silent. Default 500 ms.
	SilenceAfter time.Duration
	// SuspendFor is the time for which the heartbeats of a member that was reported silent
	// are not acknowledged. Default 2 s.
	SuspendFor time.Duration
	// ReportValid is the maximum age of a silence report that is taken into account.
	// Default 1 s.
	ReportValid time.Duration
	// TickInterval is the maximum time between two events. Default 20 ms.
	TickInterval time.Duration
	// Incarnation identifies this process. Every process of the instance needs a different one.
	Incarnation string
	// StoreTimeout is the time after which an unanswered store call counts as failed.
	// Default 50 ms.
	StoreTimeout time.Duration
	// StoreRetry is the interval between attempts while the store fails. Default 250 ms.
	StoreRetry time.Duration
	// JoinInterval is the interval between attempts to join or to leave the cell. Default
	// 500 ms.
	JoinInterval time.Duration
	// ReplaceCellAfter is the time for which the cell record must have been unchanged before a
	// joining instance replaces a cell whose members are all dead. It must be longer than
	// ContactWindow, SilenceAfter, SuspendFor and ReportValid together. Default 4 s.
	ReplaceCellAfter time.Duration
	// MemberRemovalInterval is the minimum time between two removals of lost members.
	// Default 10 s.
	MemberRemovalInterval time.Duration
	// InitialReportWait is the maximum time for which a new planner waits for reports on all
	// targets before it assigns partitions that have no owner. Default 700 ms.
	InitialReportWait time.Duration
	// PlanInterval is the maximum time between plans. Default 1 s.
	PlanInterval time.Duration
	// ReportInterval is the interval at which target reports and release requests are
	// repeated. Reports on targets that are held and have no releases are sent less often.
	// Default 250 ms.
	ReportInterval time.Duration
	// NewPolicy returns the placement policy of a service.
	NewPolicy func(service string) placement.Policy

	faults faults // set by tests only
}

// DefaultConfig returns a Config with the default values. Self, Cell, Incarnation and
// NewPolicy are not set.
func DefaultConfig() Config {
	return Config{
		Lease:                 lease.DefaultConfig,
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
