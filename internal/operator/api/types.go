// Package api defines the messages of the operator API. Messages are encoded as
// JSON; times use RFC 3339, ages are in milliseconds.
package api

import (
	"encoding/json"
	"time"
)

// Paths of the API. PathVersions is followed by the number of a version.
const (
	PathTable     = "/v1/table"
	PathInForce   = "/v1/table/in-force"
	PathHistory   = "/v1/table/history"
	PathVersions  = "/v1/table/versions/"
	PathRollback  = "/v1/table/rollback"
	PathStatus    = "/v1/status"
	PathInstances = "/v1/instances"
	PathForget    = "/v1/instances/forget"
	PathServices  = "/v1/services"
	PathOwners    = "/v1/owners"
	PathExplain   = "/v1/explain"
	PathEvents    = "/v1/events"
	PathAudit     = "/v1/audit"
	PathMetrics   = "/metrics"
	PathHealth    = "/healthz"
	PathReady     = "/readyz"
)

// Version describes one version of the table.
type Version struct {
	Version uint64 `json:"version"`
	// Action is the operation that made the version: apply, merge or rollback.
	Action   string    `json:"action"`
	Operator string    `json:"operator"`
	Comment  string    `json:"comment,omitempty"`
	Time     time.Time `json:"time"`
	// From is the version that a rollback restored.
	From uint64 `json:"from,omitempty"`
}

// Table is a version of the table with its content.
type Table struct {
	Version
	// Table is the table as JSON.
	Table json.RawMessage `json:"table"`
}

// ApplyRequest requests a new version of the table.
type ApplyRequest struct {
	// Base is the version that the change is based on; 0 if there was none.
	Base    uint64          `json:"base"`
	Table   json.RawMessage `json:"table"`
	Comment string          `json:"comment,omitempty"`
	// Merge allows the change to be merged with changes made since Base. Without it, a
	// version newer than Base makes the request fail with CodeConflict.
	Merge bool `json:"merge,omitempty"`
}

// RollbackRequest requests a new version with the content of an older one.
type RollbackRequest struct {
	// To is the version whose content is restored.
	To uint64 `json:"to"`
	// Base is the version that the operator saw as current. If there is a newer one, the
	// request fails with CodeConflict.
	Base    uint64 `json:"base"`
	Comment string `json:"comment,omitempty"`
}

// ChangeResult is the response to an accepted apply or rollback request.
type ChangeResult struct {
	Version
	// Unchanged reports whether the table already had this content, so that no
	// version was made.
	Unchanged bool `json:"unchanged,omitempty"`
	// Changes are the differences from the previous version, as an encoded
	// table.Changes.
	Changes json.RawMessage `json:"changes"`
}

// ActiveVersions reports which version of the table each instance uses.
type ActiveVersions struct {
	// Version is the requested version, or the current one if none was requested.
	Version uint64 `json:"version"`
	// Everywhere reports whether every instance uses Version or a later one.
	Everywhere bool              `json:"everywhere"`
	Instances  []InstanceVersion `json:"instances"`
}

// InstanceVersion is the version of the table that one instance uses.
type InstanceVersion struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Version  uint64 `json:"version"`
	// InForce reports whether the instance uses the requested version or a later one.
	InForce bool `json:"in_force"`
	// Reason says why the requested version is not active.
	Reason string `json:"reason,omitempty"`
}

// Status is the state of the instance that handles the request.
type Status struct {
	Instance string    `json:"instance"`
	Zone     string    `json:"zone"`
	Cell     string    `json:"cell"`
	Release  string    `json:"release"`
	Started  time.Time `json:"started"`
	// Ready reports whether the instance accepts requests; if not, Reason says why.
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
	// InContact reports whether the instance reaches a majority of its cell.
	InContact bool `json:"in_contact"`
	// Planner is the instance that plans the assignments of the cell.
	Planner string `json:"planner"`
	// Members is the number of members of the cell.
	Members      int    `json:"members"`
	TableVersion uint64 `json:"table_version"`
	// TableConfirmedMS is the time since TableVersion was last confirmed as the
	// newest version, in milliseconds; -1 if it never was.
	TableConfirmedMS int64 `json:"table_confirmed_ms"`
	// StoreAvailable reports whether the last read of the table from the store
	// succeeded; if not, StoreError is its error.
	StoreAvailable bool   `json:"store_available"`
	StoreError     string `json:"store_error,omitempty"`
	// Provisional lists services whose assignment the store does not have yet.
	Provisional []string `json:"provisional,omitempty"`
	// Controls are the targets that this instance controls.
	Controls []string `json:"controls,omitempty"`
}

// Instance is an instance as seen by the instance that handles the request.
type Instance struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// State is member, or silent if nothing was heard from the instance for 10 s.
	State       string `json:"state"`
	Planner     bool   `json:"planner,omitempty"`
	PeerAddress string `json:"peer_address"`
	// Controls is the number of targets that the instance controls.
	Controls int `json:"controls"`
	// TableVersion is the version of the table active on the instance; 0 if unknown.
	TableVersion uint64 `json:"table_version"`
	// LastHeardMS is the time since the instance was last heard from, in
	// milliseconds; -1 if it never was, 0 for the instance that handles the request.
	LastHeardMS int64 `json:"heard_ms"`
	// Reason describes a problem of the instance; empty if there is none.
	Reason string `json:"reason,omitempty"`
}

// ForgetRequest requests the removal of instances from the cell record after a
// majority failed permanently.
type ForgetRequest struct {
	Instances []string `json:"instances"`
}

// Service is the state of a service.
type Service struct {
	Name       string `json:"name"`
	Divided    bool   `json:"divided"`
	Partitions int    `json:"partitions"`
	// Unowned is the number of partitions that have no owner in the assignment.
	Unowned int `json:"unowned"`
	// Version is the version of the assignment.
	Version uint64 `json:"version"`
	// Provisional reports whether the assignment is not in the store yet.
	Provisional bool `json:"provisional,omitempty"`
	// Imbalance is the largest ratio of LoadShare to WeightShare among the
	// targets; 0 if there is no assignment yet.
	Imbalance float64 `json:"imbalance"`
	// Moves is the number of planned moves that are still pending.
	Moves   int      `json:"moves"`
	Targets []Target `json:"targets"`
}

// Target is the state of a target.
type Target struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// State is draining for a target that is drained, and otherwise the state of its
	// lease as reported by its controller: held, lapsed or unknown. Without a report it is
	// unknown.
	State string `json:"state"`
	// WeightShare and LoadShare are the target's fractions of the weight and the
	// load of the service, from 0 to 1. While no load is known, LoadShare is the
	// fraction of the partitions.
	WeightShare float64 `json:"weight_share"`
	LoadShare   float64 `json:"load_share"`
	// Slots is the number of requests that may run at the target at a time. InUse is the
	// number of requests that run there, and Queued of those that wait for a slot.
	Slots  int `json:"slots"`
	InUse  int `json:"in_use"`
	Queued int `json:"queued"`
	// Partitions is the number of partitions that the target owns.
	Partitions int    `json:"partitions"`
	Controller string `json:"controller"`
	Term       uint64 `json:"term"`
}

// Owners lists the owner of every partition of a service.
type Owners struct {
	Service     string        `json:"service"`
	Version     uint64        `json:"version"`
	Provisional bool          `json:"provisional,omitempty"`
	Ranges      []OwnerRange  `json:"ranges"`
	Pending     []PendingMove `json:"pending,omitempty"`
}

// OwnerRange is an inclusive range of partitions with the same owner and epoch. Target is
// empty if they have no owner.
type OwnerRange struct {
	From   int    `json:"from"`
	To     int    `json:"to"`
	Target string `json:"target"`
	Epoch  uint64 `json:"epoch"`
}

// PendingMove is a planned move of a partition and the reason why it is pending.
type PendingMove struct {
	Partition int    `json:"partition"`
	From      string `json:"from"`
	To        string `json:"to"`
	Reason    string `json:"reason"`
}

// Explanation describes how requests for a key are routed and why.
type Explanation struct {
	Service   string `json:"service"`
	Key       string `json:"key"`
	Partition int    `json:"partition"`
	Target    string `json:"target"`
	Address   string `json:"address"`
	Zone      string `json:"zone"`
	// Epoch is the version of the assignment that gave the partition to the target.
	Epoch          uint64 `json:"epoch"`
	Controller     string `json:"controller"`
	ControllerZone string `json:"controller_zone"`
	Term           uint64 `json:"term"`
	// State is the state of the target, as in Target, but not draining.
	State       string `json:"state"`
	Provisional bool   `json:"provisional,omitempty"`
	// Serving reports whether a request for the key can be served now, as far as the
	// instance knows; if not, Reason says why.
	Serving bool         `json:"serving"`
	Reason  string       `json:"reason,omitempty"`
	Pending *PendingMove `json:"pending,omitempty"`
}

// Event is a recent event of the instance that handles the request.
type Event struct {
	Time   time.Time         `json:"time"`
	Event  string            `json:"event"`
	Fields map[string]string `json:"fields,omitempty"`
}

// AuditEntry is an entry of the audit trail.
type AuditEntry struct {
	// Sequence increases with each entry. To read the next older entries, pass the
	// lowest sequence received as "before".
	Sequence uint64            `json:"sequence"`
	Time     time.Time         `json:"time"`
	Instance string            `json:"instance"`
	Operator string            `json:"operator,omitempty"`
	Event    string            `json:"event"`
	Fields   map[string]string `json:"fields,omitempty"`
}
