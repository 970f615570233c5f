package metrics

// Names of metrics. docs/reference/metrics.md is made from this list. Metrics
// with other names are rendered too, without a help line.
const (
	// Registered by the parts of the daemon.
	RequestsTotal        = "boragegate_requests_total"
	RequestSeconds       = "boragegate_request_seconds"
	RefusedTotal         = "boragegate_requests_refused_total"
	ForwardedTotal       = "boragegate_requests_forwarded_total"
	RetriesTotal         = "boragegate_retries_total"
	RetryBudgetEmpty     = "boragegate_retry_budget_empty_total"
	PartitionsMovedTotal = "boragegate_partitions_moved_total"
	UnavailableSeconds   = "boragegate_partition_unavailable_seconds"
	StoreCallsTotal      = "boragegate_store_calls_total"
	StoreCallSeconds     = "boragegate_store_call_seconds"
	PeerBytesTotal       = "boragegate_peer_bytes_total"
	LogSuppressedTotal   = "boragegate_log_lines_suppressed_total"

	// Taken from the state of the instance at each scrape.
	Ready           = "boragegate_ready"
	InContact       = "boragegate_in_contact"
	StoreAvailable  = "boragegate_store_available"
	TableVersion    = "boragegate_table_version"
	TableAge        = "boragegate_table_confirmed_age_seconds"
	InstancesBehind = "boragegate_instances_behind"
	Unowned         = "boragegate_partitions_unowned"
	MovesPending    = "boragegate_moves_pending"
	Imbalance       = "boragegate_imbalance"
	Partitions      = "boragegate_target_partitions"
	Slots           = "boragegate_target_slots"
	InUse           = "boragegate_target_slots_in_use"
	Queued          = "boragegate_target_queued"
	WeightShare     = "boragegate_target_weight_share"
	LoadShare       = "boragegate_target_load_share"
)

// Help has the help line of each metric.
var Help = map[string]string{
	RequestsTotal:        "Requests by service and outcome (run, not-run, unknown).",
	RequestSeconds:       "Time from the arrival of a request to the end of its answer, by service.",
	RefusedTotal:         "Requests that were refused with outcome not-run, by service and reason.",
	ForwardedTotal:       "Requests that another instance controls, by service.",
	RetriesTotal:         "Attempts after the first one, by service.",
	RetryBudgetEmpty:     "Retries that were left out because the retry budget was used up, by service.",
	PartitionsMovedTotal: "Partitions that changed owner, by service and reason.",
	UnavailableSeconds:   "Time for which a partition had no owner that could serve it, by service.",
	StoreCallsTotal:      "Calls of the platform's store, by call and result.",
	StoreCallSeconds:     "Time of calls of the platform's store, by call.",
	PeerBytesTotal:       "Bytes of control messages between instances, by direction.",
	LogSuppressedTotal:   "Log lines left out by the rate limit.",

	Ready:           "1 if the instance takes requests.",
	InContact:       "1 if the instance reaches a majority of its cell.",
	StoreAvailable:  "1 if the last call of the platform's store succeeded.",
	TableVersion:    "Version of the table in force.",
	TableAge:        "Age of the knowledge that the version in force is the newest.",
	InstancesBehind: "Instances that use an older version of the table than this one, as far as it knows.",
	Unowned:         "Partitions without an owner that can serve them, by service.",
	MovesPending:    "Planned moves that have not happened yet, by service.",
	Imbalance:       "Largest ratio of a target's load share to its weight share, by service.",
	Partitions:      "Partitions that a target owns.",
	Slots:           "Slots of a target.",
	InUse:           "Requests that run at a target; exact at its controller.",
	Queued:          "Requests that wait for a slot of a target; exact at its controller.",
	WeightShare:     "Weight of a target as a share of its service.",
	LoadShare:       "Load of a target as a share of its service.",
}
