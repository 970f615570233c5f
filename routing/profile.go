package routing

import "time"

// ServiceProfile is what instances have measured of the requests for a service. It is kept in the
// ownership record, so that instances which start after a loss of all need not learn it again while
// callers that were refused return together.
type ServiceProfile struct {
	// ServiceTime is the mean time, over the targets, of a request without queueing; 0 if unknown.
	ServiceTime time.Duration `json:"service_time,omitempty"`
	// Timeouts are the initial timeouts of callers by kind of request.
	Timeouts []CallerTimeout `json:"timeouts,omitempty"`
}

// CallerTimeout is the initial timeout of the callers of one kind of request.
type CallerTimeout struct {
	Kind     Kind          `json:"kind"`
	Shortest time.Duration `json:"shortest"`
	Median   time.Duration `json:"median"`
}
