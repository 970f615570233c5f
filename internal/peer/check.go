package peer

import (
	"fmt"
	"math"

	"github.com/boragegate/boragegate/ownership"
	"github.com/boragegate/boragegate/placement"
)

// maxPartitions is the largest number of partitions of a service.
const maxPartitions = 1 << 16

// validate refuses content that would make the receiver index out of range or
// calculate with values that no sender produces.
func validate(msg ownership.Message) error {
	ok := true
	switch m := msg.(type) {
	case ownership.JoinRequest:
		ok = m.Member.ID != ""
	case ownership.CellUpdate:
		ok = validCell(m.Cell)
	case ownership.AssignmentUpdate:
		ok = (m.Full == nil || validAssignment(m.Full)) && validDelta(m.Delta)
	case ownership.ReleaseRequest:
		ok = validPartitions(m.Partitions)
	case ownership.TargetReport:
		ok = validTargetState(m.State) && validPartitions(m.ReleasedPartitions)
	case ownership.LoadUpdate:
		ok = validLoadReports(m.Reports)
	case ownership.AssignmentState:
		ok = m.Highest == nil || validAssignment(m.Highest)
	case ownership.TableRequest:
		ok = validTargetStatuses(m.Targets)
	case ownership.Proposal:
		ok = (m.Cell == nil || validCell(m.Cell)) && (m.Assignment == nil || validAssignment(m.Assignment))
	}
	if !ok {
		return fmt.Errorf("%w: content of %T out of range", ErrMalformed, msg)
	}
	return nil
}

// validateSender refuses a message that speaks for another instance.
func validateSender(from string, msg ownership.Message) error {
	if m, ok := msg.(ownership.JoinRequest); ok && m.Member.ID != from {
		return fmt.Errorf("%w: %q joins as %q", ErrUnknownSender, from, m.Member.ID)
	}
	return nil
}

func validPartition(p int) bool { return p >= 0 && p < maxPartitions }

func validPartitions(ps []int) bool {
	for _, p := range ps {
		if !validPartition(p) {
			return false
		}
	}
	return true
}

func validTargetState(s ownership.TargetState) bool {
	return s == ownership.TargetUnknown || s == ownership.TargetHeld || s == ownership.TargetExpired
}

func validCell(c *ownership.Cell) bool {
	if c == nil {
		return false
	}
	seen := map[string]bool{"": true}
	for _, m := range c.Members {
		if seen[m.ID] {
			return false
		}
		seen[m.ID] = true
	}
	return true
}

func validAssignment(a *placement.Assignment) bool {
	if len(a.Owner) > maxPartitions || len(a.Owner) != len(a.Epoch) || len(a.Targets) > int(placement.NoOwner) {
		return false
	}
	for _, o := range a.Owner {
		if o != placement.NoOwner && int(o) >= len(a.Targets) {
			return false
		}
	}
	return true
}

func validDelta(d placement.Delta) bool {
	for _, c := range d.Changes {
		if !validPartition(c.Partition) {
			return false
		}
	}
	return true
}

func validLoadReports(reports []ownership.LoadReport) bool {
	for _, r := range reports {
		for _, p := range r.Partitions {
			if !validPartition(p.Partition) || !validLoad(p.Load) {
				return false
			}
		}
		for _, k := range r.HotKeys {
			if !validPartition(k.Partition) || !validLoad(k.Load) {
				return false
			}
		}
	}
	return true
}

func validTargetStatuses(list []ownership.TargetStatus) bool {
	for _, s := range list {
		if !validTargetState(s.State) || !validLoad(s.Load) {
			return false
		}
	}
	return true
}

func validLoad(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }
