// Package placement plans which target owns each partition of a service. It defines the
// Assignment of partitions to targets with its encodings, the interface Policy, and the
// policy Weighted. Package ownership carries out the plans.
package placement

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// NoOwner is the owner index of a partition that has no owner.
const NoOwner = ^uint16(0)

// PartitionOf returns the partition of a key in a service with n partitions, 1 to
// MaxPartitions. The result is the same in all processes and releases.
func PartitionOf(service, key string, n int) int {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(service)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key)
	return int(d.Sum64() % uint64(n)) //nolint:gosec // n is positive and at most 65536
}

// Assignment holds the owner and the epoch of every partition of a service. A published
// Assignment is not modified; Apply and WithChanges return a new one.
// Its encodings in the store and in messages are defined in encoding_assignment.go.
type Assignment struct {
	Service string
	// Version increases with every change. Its upper 32 bits are the term of the planner.
	Version uint64
	// Targets are the names that Owner refers to by index. WithChanges appends names and
	// removes none, so each keeps its index.
	Targets []string
	// Owner is the index in Targets of the owner of each partition, or NoOwner.
	Owner []uint16
	// Epoch is the Version in which each partition was last assigned, possibly to the owner
	// that it had before.
	Epoch []uint64
}

// NewAssignment returns an assignment of n partitions that have no owners.
func NewAssignment(service string, n int) *Assignment {
	a := &Assignment{Service: service, Owner: make([]uint16, n), Epoch: make([]uint64, n)}
	for i := range a.Owner {
		a.Owner[i] = NoOwner
	}
	return a
}

// OwnerOf returns the name of the owner of a partition, or "" if it has none.
func (a *Assignment) OwnerOf(partition int) string {
	i := a.Owner[partition]
	if i == NoOwner {
		return ""
	}
	return a.Targets[i]
}

// PartitionsOf returns the partitions that a target owns, in ascending order.
func (a *Assignment) PartitionsOf(target string) []int {
	i := slices.Index(a.Targets, target)
	if i < 0 {
		return nil
	}
	var ps []int
	for p, o := range a.Owner {
		if int(o) == i {
			ps = append(ps, p)
		}
	}
	return ps
}

// Change assigns a partition to a target. An empty Target leaves the partition without an
// owner.
type Change struct {
	Partition int    `json:"partition"`
	Target    string `json:"target"`
}

// Delta is the difference between the versions From and To of an assignment, with at most one
// change of each partition. Its encoding in messages is defined in encoding_delta.go.
type Delta struct {
	Service string   `json:"service"`
	From    uint64   `json:"from"`
	To      uint64   `json:"to"`
	Changes []Change `json:"changes"`
}

// Apply returns the assignment with the changes of a delta. It returns false if the delta
// is for another service or does not start at the version of the assignment.
func (a *Assignment) Apply(d Delta) (*Assignment, bool) {
	if d.From != a.Version || d.Service != a.Service {
		return nil, false
	}
	return a.WithChanges(d.To, d.Changes), true
}

// WithChanges returns a copy of the assignment with the given version and changes. The
// changes must be of partitions of the assignment.
func (a *Assignment) WithChanges(version uint64, changes []Change) *Assignment {
	b := &Assignment{
		Service: a.Service,
		Version: version,
		Targets: slices.Clone(a.Targets),
		Owner:   slices.Clone(a.Owner),
		Epoch:   slices.Clone(a.Epoch),
	}
	for _, c := range changes {
		b.Owner[c.Partition] = b.indexOrAppend(c.Target)
		b.Epoch[c.Partition] = version
	}
	return b
}

// indexOrAppend returns the index of a target in Targets and appends the name if it is
// missing. An empty name gives NoOwner.
func (a *Assignment) indexOrAppend(target string) uint16 {
	if target == "" {
		return NoOwner
	}
	if i := slices.Index(a.Targets, target); i >= 0 {
		return uint16(i) //nolint:gosec // a service has fewer than 65535 targets
	}
	a.Targets = append(a.Targets, target)
	return uint16(len(a.Targets) - 1) //nolint:gosec // as above
}
