package table_test

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"github.com/boragegate/boragegate/table"

	_ "github.com/boragegate/boragegate/internal/seedtest" // the same cases in every run
)

// TestDiffText guards against a text form of changes that omits a change or a loss
// of capacity.
func TestDiffText(t *testing.T) {
	RegisterTestingT(t)
	old, next := smallTable(), smallTable()
	next.Services[0].Prefer = table.Stability
	next.Services[1].NotRepeatable = []string{"POST"}
	next.Rows[0].Drain = true
	next.Rows[1].Weight = 3.5
	next.Rows[2].Target, next.Rows[2].Address = "b2", "10.0.0.9:80"
	d := table.Diff(old, next)
	largest, ok := d.LargestReduction()
	Expect(ok).To(BeTrue())
	Expect(largest).To(Equal(table.CapacityChange{Service: "b", OldSlots: 3, NewSlots: 3, RemovedFraction: 1}))
	goldie.New(t).Assert(t, "diff", []byte(d.String()))
	Expect(table.Diff(old, smallTable()).Empty()).To(BeTrue())
}

// TestConflictText guards against a conflict text that omits the change of one of
// the two operators.
func TestConflictText(t *testing.T) {
	RegisterTestingT(t)
	base, mine, theirs := smallTable(), smallTable(), smallTable()
	mine.Rows[0].Weight, theirs.Rows[0].Weight = 2, 3
	mine.Rows = mine.Rows[:2]
	theirs.Rows[2].Drain = true
	_, err := table.Merge(base, mine, theirs)
	var c table.Conflicts
	Expect(errors.As(err, &c)).To(BeTrue())
	goldie.New(t).Assert(t, "conflict", []byte(fmt.Sprintln(err)))
}

// drawEdits draws changes of up to three of the rows of tenRows, by row index. The
// value 0 removes the row, and a value v above 0 sets its weight to v+1.
func drawEdits(t *rapid.T, label string) map[int]int {
	return rapid.MapOfN(rapid.IntRange(0, 9), rapid.IntRange(0, 4), 0, 3).Draw(t, label)
}

func tenRows() *table.Table {
	t := &table.Table{Services: []table.Service{{Name: "a"}}}
	for i := range 10 {
		t.Rows = append(t.Rows, table.Row{Service: "a", Target: fmt.Sprint("t", i), Weight: 1})
	}
	return t
}

func applyEdits(e map[int]int) *table.Table {
	t := tenRows()
	rows := t.Rows
	t.Rows = nil
	for i, r := range rows {
		switch v, ok := e[i]; {
		case ok && v == 0: // removed
			continue
		case ok:
			r.Weight = float64(v + 1)
		}
		t.Rows = append(t.Rows, r)
	}
	return t
}

// TestMergeProperties guards against a merge that drops a change of one side, adds
// one that neither side made, or misses a conflict.
func TestMergeProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawEdits(t, "mine"), drawEdits(t, "theirs")
		both, conflict := map[int]int{}, false
		for i, v := range a {
			both[i] = v
			if w, ok := b[i]; ok && w != v {
				conflict = true
			}
		}
		for i, v := range b {
			both[i] = v
		}
		merged, err := table.Merge(tenRows(), applyEdits(a), applyEdits(b))
		if conflict != (err != nil) {
			t.Fatalf("conflict %v, error %v", conflict, err)
		}
		if err == nil && !table.Diff(applyEdits(both), merged).Empty() {
			t.Fatalf("merged table differs:\n%s", table.Diff(applyEdits(both), merged))
		}
	})
}

var _ = Describe("CSV", func() {
	It("parses the output of WriteCSV, also with a byte order mark", func() {
		var b bytes.Buffer
		Expect(table.WriteCSV(&b, smallTable().Rows)).To(Succeed())
		Expect(table.ParseCSV("rows.csv", append([]byte("\xef\xbb\xbf"), b.Bytes()...))).To(Equal(smallTable().Rows))
	})

	DescribeTable("reports invalid input with its location",
		func(in, message string) {
			_, err := table.ParseCSV("r.csv", []byte(in))
			Expect(err).To(MatchError(ContainSubstring(message)))
		},
		Entry("empty", "", "r.csv:1:1: the file is empty"),
		Entry("unknown column", "service,target,address,zone,slots,wieght\n", `wieght: unknown column (expected "weight")`),
		Entry("missing column", "service,target\n", "slots: the column is missing"),
		Entry("short line", "service,target,address,zone,slots\na,b\n", "r.csv:2:1: the line has 2 fields"),
		Entry("not a number", "service,target,address,zone,slots\na,b,c,d,many\n", `r.csv:2:9: slots: cannot use "many"`),
		Entry("bad quote", "service,target,address,zone,slots\na,\"b\n", "comma-separated values"),
		Entry("not UTF-8", "service\xff", "not UTF-8"),
	)
})
