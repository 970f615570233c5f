package ownership

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/boragegate/boragegate/placement"
)

// maxMovesTextBytes is the length, in bytes, beyond which the description of the moves of one
// assignment gives the number of partitions instead of a list, so that an entry of the audit
// trail stays small after the loss of a zone.
const maxMovesTextBytes = 1000

// reasonReturned is the reason for a change that returns a partition to the owner that had
// released it without a move.
const reasonReturned = "returned"

// changeReason returns the reason why a change assigns a partition to its target.
func (c *Core) changeReason(sp *servicePlan, a *placement.Assignment, ch placement.Change) string {
	if m, ok := sp.activeMoves[ch.Partition]; ok && m.Target == ch.Target {
		return m.Reason
	}
	switch a.OwnerOf(ch.Partition) {
	case "":
		return placement.ReasonInitial
	case ch.Target:
		return reasonReturned
	default:
		return placement.ReasonLost
	}
}

// formatMoves describes the changes of an assignment for the audit trail, grouped by
// owners and reason, for example "r3>r1 lost 4-6,9; r3>r2 lost 7". A group that does not
// fit within the limit is given as a number of partitions.
func formatMoves(a *placement.Assignment, changes []placement.Change, reason func(placement.Change) string) string {
	groups := map[string][]int{}
	for _, ch := range changes {
		key := a.OwnerOf(ch.Partition) + ">" + ch.Target + " " + reason(ch)
		groups[key] = append(groups[key], ch.Partition)
	}
	keys := make([]string, 0, len(groups))
	for k := range groups {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	var b strings.Builder
	for _, k := range keys {
		part := k + " " + formatRanges(groups[k])
		if b.Len()+len(part) > maxMovesTextBytes {
			part = fmt.Sprintf("%s %d partitions", k, len(groups[k]))
		}
		if b.Len() > 0 {
			b.WriteString("; ")
		}
		b.WriteString(part)
	}
	return b.String()
}

// formatRanges formats ascending numbers as ranges, for example "4-6,9".
func formatRanges(ps []int) string {
	var parts []string
	for i := 0; i < len(ps); {
		j := i
		for j+1 < len(ps) && ps[j+1] == ps[j]+1 {
			j++
		}
		text := strconv.Itoa(ps[i])
		if j > i {
			text += "-" + strconv.Itoa(ps[j])
		}
		parts = append(parts, text)
		i = j + 1
	}
	return strings.Join(parts, ",")
}
