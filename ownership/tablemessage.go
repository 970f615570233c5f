package ownership

import "github.com/boragegate/boragegate/lease"

// TableRequest asks a peer for its table and tells it the sender's version. The
// messages in this file are handled by the table follower, not by the core.
type TableRequest struct {
	// Stamp is the sender's own time, echoed in the reply.
	Stamp lease.Stamp `msgpack:"s"`
	// Version is the version that the sender has in force.
	Version uint64 `msgpack:"v"`
	// Targets has the state of the targets that the sender controls, for display.
	Targets []TargetStatus `msgpack:"t,omitempty"`
}

// TargetStatus is the state of a target as its controller shows it to operators.
type TargetStatus struct {
	Target string      `msgpack:"t"`
	State  TargetState `msgpack:"s"`
	InUse  int         `msgpack:"u"`
	Queued int         `msgpack:"q"`
	// Load is in slot-seconds per second over the last load interval.
	Load float64 `msgpack:"l"`
}

// TableUpdate answers a TableRequest, or carries a newly accepted version.
type TableUpdate struct {
	// Stamp is the stamp of the request, or 0.
	Stamp   lease.Stamp `msgpack:"s"`
	Version uint64      `msgpack:"v"`
	// ConfirmedAgeMS is the time since the sender knew the version to be the
	// newest, or -1 if it never did.
	ConfirmedAgeMS int64 `msgpack:"a"`
	// Data is the encoded table, empty if the request named the same version.
	Data []byte `msgpack:"d,omitempty"`
}

func (TableRequest) message() {}
func (TableUpdate) message()  {}
