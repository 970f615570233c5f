package table

import (
	"time"

	"github.com/boragegate/boragegate/store"
)

// Limits of the values in a table.
const (
	// MaxServices is the maximum number of services of a table.
	MaxServices = 256
	// MaxRows is the maximum number of rows of a table. The target size
	// (docs/design.md, section 2.6) has 676 targets.
	MaxRows = 10_000
	// MaxEncodedBytes is the maximum size of an encoded table in bytes: the largest
	// value of the store minus 4096 bytes for the operator, comment and time that
	// are stored with it.
	MaxEncodedBytes = store.MaxValueBytes - 4096
	// MaxPartitions is the maximum number of partitions of a service.
	MaxPartitions = 65536
	// MaxWeight is the maximum weight of a row.
	MaxWeight = 1e6
	// MaxSlots is the maximum number of slots of a row, that is, of concurrent requests.
	MaxSlots = 10_000
	// MaxConnections is the maximum number of connections of a row.
	MaxConnections = 100_000
	// MaxQueue is the maximum queue length of a row, in requests.
	MaxQueue = 100_000
	// MaxRate is the maximum rate of a row in requests per second.
	MaxRate = 1e6
	// MaxNameBytes is the maximum length of names of services, targets and zones,
	// and of HTTP methods, in bytes.
	MaxNameBytes = 63
	// MaxListEntries is the maximum number of entries in each of the lists of
	// methods and path prefixes of a service.
	MaxListEntries = 32
	// MaxPathBytes is the maximum length of path patterns and prefixes in bytes.
	MaxPathBytes = 256
	// MinRequestTime and MaxRequestTime are the limits of Service.MaxRequestTime.
	MinRequestTime = 10 * time.Millisecond
	MaxRequestTime = time.Hour
	// MaxDrainAfter is the maximum of Service.DrainAfter. The minimum is 1 ms.
	MaxDrainAfter = 10 * time.Minute
)

// Defaults of fields that are absent in a file. The default of Row.Connections is
// Row.Slots if that is larger than DefaultConnections.
const (
	DefaultPartitions     = 1024
	DefaultMaxRequestTime = Duration(30 * time.Second)
	DefaultDrainAfter     = Duration(3 * time.Second)
	DefaultPrefer         = Availability
	DefaultWeight         = 1.0
	DefaultConnections    = 100
	DefaultQueue          = 64
)

// setDefaults sets the default of each field whose zero value means "not set".
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

// setRowDefaults sets the defaults of row fields that are absent in the input, as
// reported by has. The zero value does not mean "not set" here, because 0 is a
// valid weight and a valid queue length.
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
