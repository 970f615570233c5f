package table

import (
	"time"

	"github.com/boragegate/boragegate/store"
)

// Limits of a table.
const (
	// MaxServices bounds the services of a table.
	MaxServices = 256
	// MaxRows bounds the rows of a table. The target size has 676 targets.
	MaxRows = 10_000
	// MaxEncodedBytes bounds the encoded table: the store's largest value less
	// room for the operator, the comment and the time that are kept with it.
	MaxEncodedBytes = store.MaxValueBytes - 4096
	// MaxPartitions bounds the partitions of a service.
	MaxPartitions = 65536
	// MaxWeight bounds the weight of a row.
	MaxWeight = 1e6
	// MaxSlots bounds the slots of a row.
	MaxSlots = 10_000
	// MaxConnections bounds the connections of a row.
	MaxConnections = 100_000
	// MaxQueue bounds the queue of a row.
	MaxQueue = 100_000
	// MaxRate bounds the rate of a row in requests per second.
	MaxRate = 1e6
	// MaxNameBytes bounds names of services, targets and zones.
	MaxNameBytes = 63
	// MaxListEntries bounds the methods and the path prefixes of a service.
	MaxListEntries = 32
	// MaxPathBytes bounds path patterns and prefixes.
	MaxPathBytes = 256
	// MinRequestTime and MaxRequestTime bound Service.MaxRequestTime.
	MinRequestTime = 10 * time.Millisecond
	MaxRequestTime = time.Hour
	// MaxDrainAfter bounds Service.DrainAfter.
	MaxDrainAfter = 10 * time.Minute
)

// Defaults for fields that a file leaves out.
const (
	DefaultPartitions     = 1024
	DefaultMaxRequestTime = Duration(30 * time.Second)
	DefaultDrainAfter     = Duration(3 * time.Second)
	DefaultPrefer         = Availability
	DefaultWeight         = 1.0
	DefaultConnections    = 100
	DefaultQueue          = 64
)

// setDefaults fills the fields of a service whose zero value means "default".
func (s *Service) setDefaults() {
	if s.Partitions == 0 {
		s.Partitions = DefaultPartitions
	}
	if s.Prefer == "" {
		s.Prefer = DefaultPrefer
	}
	if s.MaxRequestTime == 0 {
		s.MaxRequestTime = DefaultMaxRequestTime
	}
	if s.DrainAfter == 0 {
		s.DrainAfter = DefaultDrainAfter
	}
}

// setRowDefaults fills fields of a row that the input does not have. 0 is a
// valid weight and a valid queue, so the zero value does not mean "default".
func setRowDefaults(r *Row, has func(field string) bool) {
	if !has("weight") {
		r.Weight = DefaultWeight
	}
	if !has("connections") {
		r.Connections = max(DefaultConnections, r.Slots)
	}
	if !has("queue") {
		r.Queue = DefaultQueue
	}
}
