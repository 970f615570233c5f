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
	// NewPolicy returns the placement policy of a service.
	NewPolicy func(service string) placement.Policy
}

// DefaultConfig returns the defaults, without Self, Cell and NewPolicy.
func DefaultConfig() Config {
	return Config{
		Lease:             lease.DefaultTerms,
		RenewInterval:     200 * time.Millisecond,
		HeartbeatInterval: 250 * time.Millisecond,
		ContactWindow:     450 * time.Millisecond,
		SilenceAfter:      500 * time.Millisecond,
		SuspendFor:        2 * time.Second,
		ReportValid:       time.Second,
		TickInterval:      20 * time.Millisecond,
	}
}
