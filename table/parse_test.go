package table_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/boragegate/boragegate/finding"
	"github.com/boragegate/boragegate/table"
)

// smallTable returns a valid table with the services a (divided) and b.
func smallTable() *table.Table {
	t, err := table.Parse("small", []byte(`{
		"services": [{"name": "a", "divided": true}, {"name": "b"}],
		"rows": [
			{"service": "a", "target": "a1", "address": "10.0.0.1:80", "zone": "z1", "slots": 6},
			{"service": "a", "target": "a2", "address": "10.0.0.2:80", "zone": "z2", "slots": 6, "weight": 2, "queue": 0},
			{"service": "b", "target": "b1", "address": "10.0.0.1:80", "zone": "z1", "slots": 3, "connections": 5},
		]}`))
	Expect(err).NotTo(HaveOccurred())
	return t
}

// TestFindings guards against findings without location, path or expected value,
// and against reporting only the first finding of a file.
func TestFindings(t *testing.T) {
	data, err := os.ReadFile("testdata/wrong.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	_, err = table.ParseWithOptions("wrong.jsonc", data, table.Options{Zones: []string{"north", "south"}})
	goldie.New(t).Assert(t, "wrong", []byte(fmt.Sprintln(err)))
}

var _ = Describe("Parse", func() {
	It("sets defaults only for absent fields, so that a queue of 0 stays 0", func() {
		t := smallTable()
		Expect(t.Services[0]).To(Equal(table.Service{
			Name: "a", Divided: true, Partitions: 1024, Prefer: table.Availability,
			MaxRequestTime: table.DefaultMaxRequestTime, DrainAfter: table.DefaultDrainAfter,
		}))
		Expect(t.Rows[0].Weight).To(Equal(1.0))
		Expect(t.Rows[0].Connections).To(Equal(100))
		Expect(t.Rows[1].Queue).To(Equal(0))
	})

	It("restores the same table from the output of Encode, so that storing does not change it", func() {
		t := smallTable()
		t.Version = 7
		b, err := table.Encode(t)
		Expect(err).NotTo(HaveOccurred())
		Expect(table.Parse("", b)).To(Equal(t))
		var plain table.Table
		Expect(json.Unmarshal(b, &plain)).To(Succeed(), "the encoded form is plain JSON")
	})

	DescribeTable("rejects input that is not a table",
		func(in, message string) {
			_, err := table.Parse("f", []byte(in))
			var list finding.List
			Expect(errors.As(err, &list)).To(BeTrue())
			Expect(err).To(MatchError(ContainSubstring(message)))
		},
		Entry("empty file", "", "f:1:1"),
		Entry("not an object", "[]", "cannot use an array (expected an object)"),
		Entry("empty table", "{}", "the table has no services"),
		Entry("truncated file", "{\"services\": [", "f:1:15"),
		Entry("NaN literal", `{"rows": [{"weight": NaN}]}`, "f:1:22"),
		Entry("not UTF-8", "{\n \"rows\": \"\xff\"}", "f:2:11: the file is not UTF-8"),
		Entry("deep nesting", strings.Repeat("[", 100), "nested too deeply"),
		Entry("huge file", strings.Repeat(" ", 5<<20), "at most 4194304 bytes"),
		Entry("null", `{"services": null}`, "services: cannot use null (expected an array)"),
	)

	It("limits the number of findings, so that the report on a file with many invalid rows stays readable", func() {
		_, err := table.Parse("f", []byte(`{"rows": [`+strings.Repeat(`{"x":1},`, 2000)+`]}`))
		var list finding.List
		Expect(errors.As(err, &list)).To(BeTrue())
		Expect(len(list)).To(Equal(101))
		Expect(list[100].Message).To(ContainSubstring("more findings"))
	})
})

var _ = Describe("Check", func() {
	DescribeTable("reports values that a file cannot express or that are invalid only in context",
		func(change func(*table.Table), message string) {
			t := smallTable()
			change(t)
			Expect(table.Check(t, table.Options{Previous: smallTable()}).Error()).To(ContainSubstring(message))
		},
		Entry("NaN weight", func(t *table.Table) { t.Rows[0].Weight = math.NaN() }, "rows[0].weight: cannot use NaN"),
		Entry("infinite rate", func(t *table.Table) { t.Rows[0].Rate = math.Inf(1) }, "rows[0].rate: cannot use +Inf"),
		Entry("all weights 0", func(t *table.Table) { t.Rows[2].Weight = 0 }, `no target of service "b" has a weight`),
		Entry("changed partitions", func(t *table.Table) { t.Services[0].Partitions = 2048 }, "changes from 1024 to 2048"),
		Entry("same address", func(t *table.Table) { t.Rows[1].Address = t.Rows[0].Address }, "address 10.0.0.1:80 is also in rows[0]"),
		Entry("too large for the store", func(t *table.Table) {
			for i := range 9000 {
				r := t.Rows[0]
				r.Target, r.Address = fmt.Sprintf("x%d", i), fmt.Sprintf("10.1.%d.%d:80", i/250, i%250)
				t.Rows = append(t.Rows, r)
			}
		}, "at most 1044480 bytes, the limit of the store"),
	)

	It("accepts the same address in two services and a table of the target size (676 targets)", func() {
		t := smallTable()
		for i := range 676 {
			r := t.Rows[0]
			r.Target, r.Address = fmt.Sprintf("x%d", i), fmt.Sprintf("10.1.%d.%d:80", i/250, i%250)
			t.Rows = append(t.Rows, r)
		}
		Expect(table.Check(t, table.Options{Zones: []string{"z1", "z2"}, Previous: smallTable()})).To(BeEmpty())
	})
})
