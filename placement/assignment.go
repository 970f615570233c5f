// Package placement decides which target owns each partition of a service.
package placement

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// NoOwner is the owner index of a partition without an owner.
const NoOwner = ^uint16(0)

// PartitionOf returns the partition of a key in a service with n partitions.
// The result is stable across processes and releases.
func PartitionOf(service, key string, n int) int {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(service)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key)
	return int(d.Sum64() % uint64(n)) //nolint:gosec // n is positive and at most 65536
}

// Assignment names the owner and the epoch of every partition of a service.
// An Assignment that has been published is not changed; Apply returns a new one.
// Its forms in the store and in messages are in encoding_assignment.go.
type Assignment struct {
	Service string
	// Version rises with every change. Its upper 32 bits are the planner's term.
	Version uint64
	// Targets are the targets that Owner refers to by index. Names are appended
	// and never reordered while any partition refers to them.
	Targets []string
	// Owner is the index in Targets of each partition's owner, or NoOwner.
	Owner []uint16
	// Epoch is the Version that last changed each partition's owner.
	Epoch []uint64
}

// NewAssignment returns an assignment of n partitions without owners.
func NewAssignment(service string, n int) *Assignment {
	a := &Assignment{Service: service, Owner: make([]uint16, n), Epoch: make([]uint64, n)}
	for i := range a.Owner {
		a.Owner[i] = NoOwner
	}
	return a
}

// OwnerOf returns the name of the partition's owner, or "".
func (a *Assignment) OwnerOf(partition int) string {
	i := a.Owner[partition]
	if i == NoOwner {
		return ""
	}
	return a.Targets[i]
}

// PartitionsOf returns the partitions that the target owns, in rising order.
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

// Change gives a partition a new owner; an empty Target takes the owner away.
type Change struct {
	Partition int    `json:"partition"`
	Target    string `json:"target"`
}

// Delta is a step from one version of an assignment to the next, with at most
// one change of a partition. Its form in messages is in encoding_delta.go.
type Delta struct {
	Service string   `json:"service"`
	From    uint64   `json:"from"`
	To      uint64   `json:"to"`
	Changes []Change `json:"changes"`
}

// Apply returns the assignment after the delta. It returns false if the delta
// does not start at the assignment's version.
func (a *Assignment) Apply(d Delta) (*Assignment, bool) {
	if d.From != a.Version || d.Service != a.Service {
		return nil, false
	}
	return a.WithChanges(d.To, d.Changes), true
}

// WithChanges returns a copy with the changes, at the version.
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

func (a *Assignment) indexOrAppend(target string) uint16 {
	if target == "" {
		return NoOwner
	}
	if i := slices.Index(a.Targets, target); i >= 0 {
		return uint16(i) //nolint:gosec // a table has fewer than 65535 targets
	}
	a.Targets = append(a.Targets, target)
	return uint16(len(a.Targets) - 1) //nolint:gosec // as above
}
