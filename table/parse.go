package table

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/boragegate/boragegate/internal/jsonc"
)

// Parse decodes a table from JSON with comments, sets defaults and validates it.
// The file name is used in findings only. The error is a finding.List with up to 100
// findings and, if there are more, one that gives the number of the others.
func Parse(file string, data []byte) (*Table, error) {
	return ParseWithOptions(file, data, Options{})
}

// ParseWithOptions is like Parse with additional checks that need information from
// outside the file.
func ParseWithOptions(file string, data []byte, o Options) (*Table, error) {
	doc, err := jsonc.Parse(file, data)
	if err != nil {
		return nil, err
	}
	t := &Table{}
	doc.Decode(t)
	for i := range t.Services {
		t.Services[i].setDefaults()
	}
	for i := range t.Rows {
		path := "rows[" + strconv.Itoa(i) + "]."
		setRowDefaults(&t.Rows[i], func(field string) bool { return doc.Has(path + field) })
	}
	doc.AddFindings(Check(t, o))
	if err := doc.Findings().Err(); err != nil {
		return nil, err
	}
	return t, nil
}

// Expected returns a description of the accepted format of a duration, for findings.
func (d *Duration) Expected() string { return `a duration such as "3s" or "250ms"` }

// Encode encodes the table as JSON with one line per service and row, so that
// versions can be compared with line-based tools. Parse accepts the result.
func Encode(t *Table) ([]byte, error) {
	var b bytes.Buffer
	b.WriteString("{\n")
	if t.Version > 0 {
		fmt.Fprintf(&b, "  \"version\": %d,\n", t.Version)
	}
	if err := encodeList(&b, "services", t.Services); err != nil {
		return nil, err
	}
	b.WriteString(",\n")
	if err := encodeList(&b, "rows", t.Rows); err != nil {
		return nil, err
	}
	b.WriteString("\n}\n")
	return b.Bytes(), nil
}

func encodeList[T any](b *bytes.Buffer, name string, list []T) error {
	fmt.Fprintf(b, "  %q: [", name)
	for i, v := range list {
		line, err := json.Marshal(v)
		if err != nil {
			return fmt.Errorf("table: encode %s[%d]: %w", name, i, err)
		}
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString("\n    ")
		b.Write(line)
	}
	if len(list) > 0 {
		b.WriteString("\n  ")
	}
	b.WriteByte(']')
	return nil
}
