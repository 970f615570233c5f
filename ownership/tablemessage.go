package ownership

import "github.com/boragegate/boragegate/lease"

// TableRequest asks another instance for its table and reports the sender's version. It and
// TableUpdate are handled by package tablesync, not by the Core.
type TableRequest struct {
	// Stamp is the time on the sender's clock, echoed in the reply.
	Stamp lease.Stamp `msgpack:"s"`
	// Version is the active table version of the sender.
	Version uint64 `msgpack:"v"`
	// Targets holds the states of the targets that the sender controls, for display.
	Targets []TargetStatus `msgpack:"t,omitempty"`
}

// TargetStatus is the state of a target as its controller reports it to operators.
type TargetStatus struct {
	Target string      `msgpack:"t"`
	State  TargetState `msgpack:"s"`
	// InUse is the number of running requests, Queued that of waiting ones.
	InUse  int `msgpack:"u"`
	Queued int `msgpack:"q"`
	// Load is the average number of slots that requests occupied over the last load interval.
	Load float64 `msgpack:"l"`
}

// TableUpdate is the reply to a TableRequest, or announces a newly accepted version.
type TableUpdate struct {
	// Stamp is the stamp of the request, or 0 in an announcement.
	Stamp   lease.Stamp `msgpack:"s"`
	Version uint64      `msgpack:"v"`
	// ConfirmedAgeMS is the time in milliseconds since the sender last confirmed that the
	// version is the newest, or -1 if it never did.
	ConfirmedAgeMS int64 `msgpack:"a"`
	// Data is the encoded table. It is empty if the request named this version or a
	// newer one.
	Data []byte `msgpack:"d,omitempty"`
}

func (TableRequest) message() {}
func (TableUpdate) message()  {}
