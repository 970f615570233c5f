package ownership

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/boragegate/boragegate/placement"
)

// TestFormatMoves guards against audit entries that omit which partitions moved and why, and
// against entries whose length grows with the number of partitions.
func TestFormatMoves(t *testing.T) {
	g := NewWithT(t)
	a := placement.NewAssignment("route", 4096).WithChanges(1, []placement.Change{{Partition: 4, Target: "r1"}, {Partition: 5, Target: "r1"}})
	reasonOf := func(ch placement.Change) string {
		if ch.Partition < 10 {
			return placement.ReasonLost
		}
		return placement.ReasonInitial
	}
	changes := []placement.Change{{Partition: 4, Target: "r2"}, {Partition: 5, Target: "r2"}, {Partition: 9, Target: "r2"}, {Partition: 11, Target: "r3"}}
	g.Expect(formatMoves(a, changes, reasonOf)).To(Equal(">r2 lost 9; >r3 initial 11; r1>r2 lost 4-5"))

	var manyChanges []placement.Change
	for p := 10; p < 4096; p += 2 {
		manyChanges = append(manyChanges, placement.Change{Partition: p, Target: "r2"})
	}
	text := formatMoves(a, manyChanges, reasonOf)
	g.Expect(len(text)).To(BeNumerically("<", 2*maxMovesTextBytes))
	g.Expect(strings.HasSuffix(text, "partitions")).To(BeTrue())
}
