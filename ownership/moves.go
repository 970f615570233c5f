package ownership

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/boragegate/boragegate/placement"
)

// maxMovesTextBytes bounds the text about the moves of one assignment, in bytes, so
// that an entry of the audit trail stays small after the loss of a zone.
const maxMovesTextBytes = 1000

// causeReturned is the cause of a change that gives partitions back to an owner
// that had released them without a move.
const causeReturned = "returned"

// changeCause tells why a partition gets a new owner.
func (c *Core) changeCause(sp *servicePlan, a *placement.Assignment, ch placement.Change) string {
	if m, ok := sp.activeMoves[ch.Partition]; ok && m.Target == ch.Target {
		return m.Reason
	}
	switch a.OwnerOf(ch.Partition) {
	case "":
		return placement.ReasonInitial
	case ch.Target:
		return causeReturned
	default:
		return placement.ReasonLost
	}
}

// formatMoves lists the changes of an assignment for the audit trail, grouped by
// owners and cause, for example "r3>r1 lost 4-6,9; r3>r2 lost 7".
func formatMoves(a *placement.Assignment, list []placement.Change, cause func(placement.Change) string) string {
	groups := map[string][]int{}
	for _, ch := range list {
		key := a.OwnerOf(ch.Partition) + ">" + ch.Target + " " + cause(ch)
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

// formatRanges writes rising numbers as ranges, for example "4-6,9".
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
