package metrics

// Names of metrics that are taken from the state of the instance at each scrape.
const (
	Ready             = "boragegate_ready"
	InContact         = "boragegate_in_contact"
	StoreAvailable    = "boragegate_store_available"
	TableVersion      = "boragegate_table_version"
	TableConfirmedAge = "boragegate_table_confirmed_age_seconds"
	InstancesBehind   = "boragegate_instances_behind"
	UnownedPartitions = "boragegate_partitions_unowned"
	PendingMoves      = "boragegate_moves_pending"
	Imbalance         = "boragegate_imbalance"
	TargetPartitions  = "boragegate_target_partitions"
	TargetSlots       = "boragegate_target_slots"
	TargetSlotsInUse  = "boragegate_target_slots_in_use"
	TargetQueued      = "boragegate_target_queued"
	TargetWeightShare = "boragegate_target_weight_share"
	TargetLoadShare   = "boragegate_target_load_share"
)

// mappings turn the dotted names that the parts of the daemon register into names
// with labels. The first rule that fits applies. The last placeholder of a
// pattern takes the rest of the name, because targets may have dots.
var mappings = []mapping{
	{pattern: "gateway.requests.answered.{service}", family: "boragegate_requests_answered_total"},
	{pattern: "gateway.requests.{outcome}.{problem}", family: "boragegate_requests_failed_total"},
	{pattern: "gateway.retries.{service}", family: "boragegate_retries_total"},
	{pattern: "gateway.latency_us.{service}", family: "boragegate_request_seconds", scale: 1e-6},
	{pattern: "gateway.slots_used.{target}", family: "boragegate_gateway_slots_used"},
	{pattern: "gateway.in_flight", family: "boragegate_gateway_in_flight"},
	{pattern: "gateway.waiting_for_owner", family: "boragegate_gateway_waiting_for_owner"},
	{pattern: "gateway.queued.{target}", family: "boragegate_gateway_queued"},
	{pattern: "gateway.idempotency_records.{target}", family: "boragegate_gateway_idempotency_records"},
	{pattern: "store.calls.{call}", family: "boragegate_store_calls_total"},
	{pattern: "store.failed.{call}", family: "boragegate_store_calls_failed_total"},
	{pattern: "ownership.partitions_moved.{service}", family: "boragegate_partitions_moved_total"},
	{pattern: "ownership.unavailable_ms.{service}", family: "boragegate_partition_unavailable_milliseconds_total"},
	{pattern: "ownership.lease_left_ms.{target}", family: "boragegate_lease_left_milliseconds"},
	{pattern: "peer.rejected.{reason}", family: "boragegate_peer_rejected_total"},
}

// Help has the help line of each metric. docs/reference/metrics.md lists the same
// names; metrics that it lacks are rendered without a help line.
var Help = map[string]string{
	"boragegate_requests_answered_total":                  "Requests that got a server's answer, by service.",
	"boragegate_requests_failed_total":                    "Requests that the instance answered itself, by outcome (not-run, run, unknown) and problem.",
	"boragegate_retries_total":                            "Attempts after the first one, by service.",
	"boragegate_request_seconds":                          "Time from the arrival of a request to the header of a server's answer, by service.",
	"boragegate_gateway_slots_used":                       "Requests that run at a target that this instance controls.",
	"boragegate_gateway_in_flight":                        "Requests that the handlers of this instance work on.",
	"boragegate_gateway_waiting_for_owner":                "Requests that wait for an owner that can serve their partition.",
	"boragegate_gateway_queued":                           "Requests that wait for a slot of a target that this instance controls.",
	"boragegate_gateway_idempotency_records":              "Idempotency keys that are kept for a target that this instance controls.",
	"boragegate_store_calls_total":                        "Calls of the platform's store, by call.",
	"boragegate_store_calls_failed_total":                 "Calls of the platform's store that returned an error, conflicts included, by call.",
	"boragegate_partitions_moved_total":                   "Partitions that got a new owner, by service.",
	"boragegate_partition_unavailable_milliseconds_total": "Partitions times milliseconds without a server that holds its lease, by service.",
	"boragegate_lease_left_milliseconds":                  "Time until the lease of a target ends, as its controller counts it.",
	"boragegate_peer_rejected_total":                      "Connections and messages of peers that were refused, by reason.",
	"boragegate_peer_bytes_received_total":                "Bytes of control messages received.",
	"boragegate_peer_bytes_sent_total":                    "Bytes of control messages sent.",

	Ready:             "1 if the instance takes requests.",
	InContact:         "1 if the instance reaches a majority of its cell.",
	StoreAvailable:    "1 if the last call of the platform's store succeeded.",
	TableVersion:      "Version of the table in force.",
	TableConfirmedAge: "Age of the knowledge that the version in force is the newest.",
	InstancesBehind:   "Instances that use an older version of the table than this one, as far as it knows.",
	UnownedPartitions: "Partitions without an owner that can serve them, by service.",
	PendingMoves:      "Planned moves that have not happened yet, by service.",
	Imbalance:         "Largest ratio of a target's load share to its weight share, by service.",
	TargetPartitions:  "Partitions that a target owns.",
	TargetSlots:       "Slots of a target.",
	TargetSlotsInUse:  "Requests that run at a target, as last reported.",
	TargetQueued:      "Requests that wait for a slot of a target, as last reported.",
	TargetWeightShare: "Weight of a target as a share of its service.",
	TargetLoadShare:   "Load of a target as a share of its service.",
}
