package peer

import (
	"fmt"
	"math"

	"github.com/boragegate/boragegate/ownership"
	"github.com/boragegate/boragegate/placement"
)

// maxPartitions is the maximum number of partitions of a service.
const maxPartitions = 1 << 16

// check returns ErrMalformed for content that would make the receiver index out
// of range or calculate with values that no correct sender produces.
func check(msg ownership.Message) error {
	ok := true
	switch m := msg.(type) {
	case ownership.JoinRequest:
		ok = m.Member.ID != ""
	case ownership.CellUpdate:
		ok = cellOK(m.Cell)
	case ownership.AssignmentUpdate:
		ok = (m.Full == nil || assignmentOK(m.Full)) && deltaOK(m.Delta)
	case ownership.ReleaseRequest:
		ok = partitionsOK(m.Partitions)
	case ownership.TargetReport:
		ok = stateOK(m.State) && partitionsOK(m.ReleasedPartitions)
	case ownership.LoadUpdate:
		ok = loadOK(m.Reports)
	case ownership.AssignmentState:
		ok = m.Highest == nil || assignmentOK(m.Highest)
	case ownership.TableRequest:
		ok = statusOK(m.Targets)
	case ownership.Proposal:
		ok = (m.Cell == nil || cellOK(m.Cell)) && (m.Assignment == nil || assignmentOK(m.Assignment))
	}
	if !ok {
		return fmt.Errorf("%w: %T has a missing, duplicate or out-of-range value", ErrMalformed, msg)
	}
	return nil
}

// checkSender returns ErrUnknownSender for a join request that names an instance
// other than the authenticated sender, from.
func checkSender(from string, msg ownership.Message) error {
	if m, ok := msg.(ownership.JoinRequest); ok && m.Member.ID != from {
		return fmt.Errorf("%w: instance %q sent a join request for instance %q", ErrUnknownSender, from, m.Member.ID)
	}
	return nil
}

func partitionOK(p int) bool { return p >= 0 && p < maxPartitions }

func partitionsOK(ps []int) bool {
	for _, p := range ps {
		if !partitionOK(p) {
			return false
		}
	}
	return true
}

func stateOK(s ownership.TargetState) bool {
	return s == ownership.TargetUnknown || s == ownership.TargetHeld || s == ownership.TargetLapsed
}

func cellOK(c *ownership.Cell) bool {
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

func assignmentOK(a *placement.Assignment) bool {
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

func deltaOK(d placement.Delta) bool {
	for _, c := range d.Changes {
		if !partitionOK(c.Partition) {
			return false
		}
	}
	return true
}

func loadOK(reports []ownership.LoadReport) bool {
	for _, r := range reports {
		for _, p := range r.Partitions {
			if !partitionOK(p.Partition) || !amountOK(p.Load) {
				return false
			}
		}
		for _, k := range r.HotKeys {
			if !partitionOK(k.Partition) || !amountOK(k.Load) {
				return false
			}
		}
	}
	return true
}

func statusOK(list []ownership.TargetStatus) bool {
	for _, s := range list {
		if !stateOK(s.State) || !amountOK(s.Load) {
			return false
		}
	}
	return true
}

func amountOK(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }
