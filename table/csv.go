package table

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/boragegate/boragegate/finding"
	"github.com/boragegate/boragegate/internal/jsonc"
)

// csvColumns are the columns of the rows in CSV, in the order in which they are written.
var csvColumns = []string{"service", "target", "address", "zone", "weight", "slots", "connections", "queue", "rate", "drain"}

// requiredCSVColumns are the columns that an input must have.
var requiredCSVColumns = []string{"service", "target", "address", "zone", "slots"}

// WriteCSV writes the rows with a header line.
func WriteCSV(w io.Writer, rows []Row) error {
	cw := csv.NewWriter(w)
	if err := cw.Write(csvColumns); err != nil {
		return fmt.Errorf("table: write CSV: %w", err)
	}
	for _, r := range rows {
		line := []string{
			r.Service, r.Target, r.Address, r.Zone, formatNumber(r.Weight), strconv.Itoa(r.Slots),
			strconv.Itoa(r.Connections), strconv.Itoa(r.Queue), formatNumber(r.Rate), strconv.FormatBool(r.Drain),
		}
		if err := cw.Write(line); err != nil {
			return fmt.Errorf("table: write CSV: %w", err)
		}
	}
	cw.Flush()
	if err := cw.Error(); err != nil {
		return fmt.Errorf("table: write CSV: %w", err)
	}
	return nil
}

// ParseCSV reads rows with a header line; columns may be in any order, and
// weight, connections, queue, rate and drain may be absent or empty. The error
// is a finding.List. The rows are not checked against services: put them into a
// table and call Check.
func ParseCSV(file string, data []byte) ([]Row, error) {
	p := &csvParser{file: file}
	if len(data) > jsonc.MaxBytes {
		p.addFinding(0, 0, "", fmt.Sprintf("the file has %d bytes", len(data)), fmt.Sprintf("at most %d bytes", jsonc.MaxBytes))
		return nil, p.findings
	}
	if !utf8.Valid(data) {
		p.addFinding(0, 0, "", "the file is not UTF-8", "UTF-8 text")
		return nil, p.findings
	}
	// Spreadsheet programs put a byte order mark at the start.
	p.reader = csv.NewReader(bytes.NewReader(bytes.TrimPrefix(data, []byte("\xef\xbb\xbf"))))
	p.reader.FieldsPerRecord = -1
	if !p.parseHeader() {
		return nil, p.findings
	}
	rows := p.parseRows()
	if err := p.findings.Err(); err != nil {
		return nil, err
	}
	return rows, nil
}

type csvParser struct {
	file     string
	reader   *csv.Reader
	columns  []string
	findings finding.List
}

func (p *csvParser) addFinding(line, column int, path, message, expected string) {
	if len(p.findings) < jsonc.MaxFindings {
		p.findings = append(p.findings, finding.Finding{File: p.file, Line: line, Column: column, Path: path, Message: message, Expected: expected})
	}
}

func (p *csvParser) parseHeader() bool {
	header, err := p.reader.Read()
	if err != nil {
		p.addSyntaxError(err)
		return false
	}
	for i, h := range header {
		h = strings.TrimSpace(h)
		line, column := p.reader.FieldPos(i)
		switch {
		case !slices.Contains(csvColumns, h):
			p.addFinding(line, column, h, "unknown column", suggestNames(h, csvColumns))
		case slices.Contains(p.columns, h):
			p.addFinding(line, column, h, "the column is repeated", "each column once")
		}
		p.columns = append(p.columns, h)
	}
	for _, r := range requiredCSVColumns {
		if !slices.Contains(p.columns, r) {
			p.addFinding(1, 1, r, "the column is missing", "the columns "+strings.Join(requiredCSVColumns, ", "))
		}
	}
	return len(p.findings) == 0
}

func (p *csvParser) addSyntaxError(err error) {
	var pe *csv.ParseError
	switch {
	case errors.Is(err, io.EOF):
		p.addFinding(1, 1, "", "the file is empty", "a header line with the columns "+strings.Join(csvColumns, ","))
	case errors.As(err, &pe):
		p.addFinding(pe.Line, pe.Column, "", pe.Err.Error(), "comma-separated values")
	default:
		p.addFinding(0, 0, "", err.Error(), "comma-separated values")
	}
}

func (p *csvParser) parseRows() []Row {
	var rows []Row
	for len(rows) <= MaxRows {
		record, err := p.reader.Read()
		if errors.Is(err, io.EOF) {
			return rows
		}
		if err != nil {
			p.addSyntaxError(err)
			return rows
		}
		rows = append(rows, p.parseRow(record))
	}
	p.addFinding(0, 0, "", "the file has too many rows", fmt.Sprintf("at most %d", MaxRows))
	return rows
}

func (p *csvParser) parseRow(record []string) Row {
	var r Row
	if len(record) != len(p.columns) {
		line, _ := p.reader.FieldPos(0)
		p.addFinding(line, 1, "", fmt.Sprintf("the line has %d fields", len(record)), fmt.Sprintf("%d fields, as in the header", len(p.columns)))
		return r
	}
	set := map[string]bool{}
	for i, value := range record {
		value = strings.TrimSpace(value)
		name := p.columns[i]
		if value == "" {
			continue
		}
		set[name] = true
		if expected := r.setField(name, value); expected != "" {
			line, column := p.reader.FieldPos(i)
			p.addFinding(line, column, name, "cannot use "+strconv.Quote(value), expected)
		}
	}
	setRowDefaults(&r, func(field string) bool { return set[field] })
	return r
}

// setField sets a field from text and returns what it expects if that fails.
func (r *Row) setField(name, value string) (expected string) {
	var err error
	switch name {
	case "service":
		r.Service = value
	case "target":
		r.Target = value
	case "address":
		r.Address = value
	case "zone":
		r.Zone = value
	case "weight":
		r.Weight, err = strconv.ParseFloat(value, 64)
		expected = "a number"
	case "rate":
		r.Rate, err = strconv.ParseFloat(value, 64)
		expected = "a number"
	case "slots":
		r.Slots, err = strconv.Atoi(value)
		expected = "a whole number"
	case "connections":
		r.Connections, err = strconv.Atoi(value)
		expected = "a whole number"
	case "queue":
		r.Queue, err = strconv.Atoi(value)
		expected = "a whole number"
	case "drain":
		r.Drain, err = strconv.ParseBool(strings.ToLower(value))
		expected = "true or false"
	}
	if err == nil {
		return ""
	}
	return expected
}
