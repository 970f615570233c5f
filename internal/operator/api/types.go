// Package api has the messages of the operator API. They are JSON; times are RFC
// 3339, ages are milliseconds.
package api

import (
	"encoding/json"
	"time"
)

// Paths of the API.
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
	Version  uint64    `json:"version"`
	Action   string    `json:"action"`
	Operator string    `json:"operator"`
	Comment  string    `json:"comment,omitempty"`
	Time     time.Time `json:"time"`
	// From is the version that a rollback restored.
	From uint64 `json:"from,omitempty"`
}

// Table is a version with its content.
type Table struct {
	Version
	// Table is the encoded table.
	Table json.RawMessage `json:"table"`
}

// ApplyRequest asks for a new version.
type ApplyRequest struct {
	// Base is the version that the change was made from; 0 if there was none.
	Base    uint64          `json:"base"`
	Table   json.RawMessage `json:"table"`
	Comment string          `json:"comment,omitempty"`
	// Merge combines the change with others made since Base.
	Merge bool `json:"merge,omitempty"`
}

// RollbackRequest asks for a new version with the content of an older one.
type RollbackRequest struct {
	To uint64 `json:"to"`
	// Base is the version that the operator saw as current.
	Base    uint64 `json:"base"`
	Comment string `json:"comment,omitempty"`
}

// ChangeResult reports an accepted change.
type ChangeResult struct {
	Version
	// Unchanged says that the table was the same already and no version was made.
	Unchanged bool `json:"unchanged,omitempty"`
	// Changes are the changes to the version before, see table.Changes.
	Changes json.RawMessage `json:"changes"`
}

// ActiveVersions says which version each instance uses.
type ActiveVersions struct {
	// Version is the version that was asked for, or the accepted one.
	Version uint64 `json:"version"`
	// Everywhere says that every instance uses Version or a later one.
	Everywhere bool              `json:"everywhere"`
	Instances  []InstanceVersion `json:"instances"`
}

// InstanceVersion is the version at one instance.
type InstanceVersion struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Version  uint64 `json:"version"`
	InForce  bool   `json:"in_force"`
	// Reason says why the version is not in force.
	Reason string `json:"reason,omitempty"`
}

// Status is the state of the instance that answers.
type Status struct {
	Instance string    `json:"instance"`
	Zone     string    `json:"zone"`
	Cell     string    `json:"cell"`
	Release  string    `json:"release"`
	Started  time.Time `json:"started"`
	// Ready says that the instance takes requests; else Reason says why not.
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
	// InContact says that the instance reaches a majority of its cell.
	InContact bool `json:"in_contact"`
	// Planner is the instance that plans for the cell.
	Planner string `json:"planner"`
	// Members is the number of members of the cell.
	Members      int    `json:"members"`
	TableVersion uint64 `json:"table_version"`
	// TableConfirmedMS is the age of the knowledge that TableVersion is the newest; -1 if it never was known.
	TableConfirmedMS int64 `json:"table_confirmed_ms"`
	// StoreAvailable says that the last call of the store succeeded; else StoreError tells the error.
	StoreAvailable bool   `json:"store_available"`
	StoreError     string `json:"store_error,omitempty"`
	// Provisional lists services whose assignment the store does not have yet.
	Provisional []string `json:"provisional,omitempty"`
	// Controls are the targets that this instance controls.
	Controls []string `json:"controls,omitempty"`
}

// Instance is an instance as the answering one knows it.
type Instance struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// State is member, joining, leaving, silent or listed (known to the platform only).
	State       string `json:"state"`
	Planner     bool   `json:"planner,omitempty"`
	PeerAddress string `json:"peer_address"`
	// Controls is the number of targets that the instance controls.
	Controls int `json:"controls"`
	// TableVersion is the version in force there; 0 if unknown.
	TableVersion uint64 `json:"table_version"`
	// LastHeardMS is the time since it was last heard of; -1 if never.
	LastHeardMS int64 `json:"heard_ms"`
	// Reason says what is wrong, if something is.
	Reason string `json:"reason,omitempty"`
}

// ForgetRequest removes instances from the cell record after a majority was lost for good.
type ForgetRequest struct {
	Instances []string `json:"instances"`
}

// Service is the state of a service.
type Service struct {
	Name       string `json:"name"`
	Divided    bool   `json:"divided"`
	Partitions int    `json:"partitions"`
	// Unowned is the number of partitions without an owner that can serve.
	Unowned int `json:"unowned"`
	// Version is the version of the assignment.
	Version uint64 `json:"version"`
	// Provisional says that the store does not have the assignment yet.
	Provisional bool `json:"provisional,omitempty"`
	// Imbalance is the largest ratio of a target's load share to its weight share; 0 if unknown.
	Imbalance float64 `json:"imbalance"`
	// Moves is the number of planned moves that have not happened yet.
	Moves   int      `json:"moves"`
	Targets []Target `json:"targets"`
}

// Target is the state of a target.
type Target struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// State is held, lapsed, unknown or draining.
	State string `json:"state"`
	// WeightShare and LoadShare are shares of the service, from 0 to 1.
	WeightShare float64 `json:"weight_share"`
	LoadShare   float64 `json:"load_share"`
	Slots       int     `json:"slots"`
	InUse       int     `json:"in_use"`
	Queued      int     `json:"queued"`
	// Partitions is the number of partitions that the target owns.
	Partitions int    `json:"partitions"`
	Controller string `json:"controller"`
	Term       uint64 `json:"term"`
}

// Owners has the owner of every partition of a service.
type Owners struct {
	Service     string        `json:"service"`
	Version     uint64        `json:"version"`
	Provisional bool          `json:"provisional,omitempty"`
	Ranges      []OwnerRange  `json:"ranges"`
	Pending     []PendingMove `json:"pending,omitempty"`
}

// OwnerRange is an inclusive range of partitions with one owner and epoch.
type OwnerRange struct {
	From   int    `json:"from"`
	To     int    `json:"to"`
	Target string `json:"target"`
	Epoch  uint64 `json:"epoch"`
}

// PendingMove is a planned move and why it waits.
type PendingMove struct {
	Partition int    `json:"partition"`
	From      string `json:"from"`
	To        string `json:"to"`
	Reason    string `json:"reason"`
}

// Explanation says where a key goes and why.
type Explanation struct {
	Service   string `json:"service"`
	Key       string `json:"key"`
	Partition int    `json:"partition"`
	Target    string `json:"target"`
	Address   string `json:"address"`
	Zone      string `json:"zone"`
	// Epoch is the assignment version that gave the partition to the target.
	Epoch          uint64 `json:"epoch"`
	Controller     string `json:"controller"`
	ControllerZone string `json:"controller_zone"`
	Term           uint64 `json:"term"`
	// State is the state of the target.
	State       string `json:"state"`
	Provisional bool   `json:"provisional,omitempty"`
	// Serving says that a request for the key can run now; else Reason says why not.
	Serving bool         `json:"serving"`
	Reason  string       `json:"reason,omitempty"`
	Pending *PendingMove `json:"pending,omitempty"`
}

// Event is a recent event of the instance that answers.
type Event struct {
	Time   time.Time         `json:"time"`
	Event  string            `json:"event"`
	Fields map[string]string `json:"fields,omitempty"`
}

// AuditEntry is an entry of the audit trail.
type AuditEntry struct {
	// Sequence rises; pass the lowest one as "before" to read on.
	Sequence uint64            `json:"sequence"`
	Time     time.Time         `json:"time"`
	Instance string            `json:"instance"`
	Operator string            `json:"operator,omitempty"`
	Event    string            `json:"event"`
	Fields   map[string]string `json:"fields,omitempty"`
}
