// Package jsonc decodes JSON with comments into structs. It collects all findings
// with line, column and JSON path instead of stopping at the first error.
//
// A Document is not safe for concurrent use. The package has no global state.
package jsonc

import (
	"fmt"
	"sort"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"

	"github.com/boragegate/boragegate/finding"
)

// MaxBytes is the maximum size of an input in bytes. It is four times
// store.MaxValueBytes, which leaves space for comments and indentation.
const MaxBytes = 4 << 20

// maxDepth is the maximum nesting depth of an input, so that a malicious file
// cannot exhaust the stack.
const maxDepth = 64

// MaxFindings is the maximum number of findings that one Document collects.
const MaxFindings = 100

// Document is a parsed input with the findings collected so far.
type Document struct {
	file       string
	lineStarts []int // byte offset of the start of each line
	data       []byte
	root       hujson.Value
	offsets    map[string]int // byte offset of each decoded value, by JSON path
	findings   finding.List
	omitted    int
}

// Parse checks the syntax of an input. file is the name that findings give for it. If
// data is not JSON with comments in UTF-8 of at most MaxBytes, Parse returns nil and a
// finding.List.
func Parse(file string, data []byte) (*Document, error) {
	d := &Document{file: file, data: data, offsets: map[string]int{}}
	if len(data) > MaxBytes {
		return nil, finding.List{{
			File: file, Message: fmt.Sprintf("the file has %d bytes", len(data)),
			Expected: fmt.Sprintf("at most %d bytes", MaxBytes),
		}}
	}
	d.indexLines()
	if offset := indexInvalidUTF8(data); offset >= 0 {
		d.addFindingAt(offset, "", "the file is not UTF-8", "UTF-8 text, not UTF-16 or another encoding")
		return nil, d.findings
	}
	if offset := indexTooDeep(data); offset >= 0 {
		d.addFindingAt(offset, "", "values are nested too deeply", fmt.Sprintf("at most %d levels", maxDepth))
		return nil, d.findings
	}
	root, err := hujson.Parse(data)
	if err != nil {
		f := finding.Finding{File: file, Expected: "JSON with comments and trailing commas"}
		f.Line, f.Column, f.Message = splitSyntaxError(err.Error())
		return nil, finding.List{f}
	}
	d.root = root
	return d, nil
}

// splitSyntaxError splits an error of the form "hujson: line 1, column 2: message".
func splitSyntaxError(s string) (line, column int, message string) {
	s = strings.TrimPrefix(s, "hujson: ")
	if n, err := fmt.Sscanf(s, "line %d, column %d:", &line, &column); err == nil && n == 2 {
		_, s, _ = strings.Cut(s, ": ")
	}
	return line, column, s
}

// indexInvalidUTF8 returns the offset of the first byte that is not valid UTF-8, or -1.
func indexInvalidUTF8(data []byte) int {
	for i := 0; i < len(data); {
		r, n := utf8.DecodeRune(data[i:])
		if r == utf8.RuneError && n == 1 {
			return i
		}
		i += n
	}
	return -1
}

// indexTooDeep returns the offset of the first opening bracket beyond maxDepth, or -1.
// It counts brackets in strings and comments too; real files do not contain enough of
// them to be rejected. Unmatched closing brackets there allow values that are nested
// more deeply than maxDepth.
func indexTooDeep(data []byte) int {
	depth := 0
	for i, b := range data {
		switch b {
		case '{', '[':
			if depth++; depth > maxDepth {
				return i
			}
		case '}', ']':
			depth--
		}
	}
	return -1
}

// indexLines records the offset of the start of each line.
func (d *Document) indexLines() {
	d.lineStarts = []int{0}
	for i, b := range d.data {
		if b == '\n' {
			d.lineStarts = append(d.lineStarts, i+1)
		}
	}
}

// position returns the line and column of a byte offset, both starting at 1.
// Columns count characters.
func (d *Document) position(offset int) (line, column int) {
	line = sort.Search(len(d.lineStarts), func(i int) bool { return d.lineStarts[i] > offset })
	start := d.lineStarts[line-1]
	return line, utf8.RuneCount(d.data[start:min(offset, len(d.data))]) + 1
}

// Has reports whether the input has a value at the JSON path. It may be called
// only after Decode.
func (d *Document) Has(path string) bool {
	_, ok := d.offsets[path]
	return ok
}

// AddFinding adds a finding at a JSON path. If the input has no value at that path,
// the finding gets the position of the closest enclosing value.
func (d *Document) AddFinding(path, message, expected string) {
	for p := path; ; p = parentPath(p) {
		if offset, ok := d.offsets[p]; ok || p == "" {
			d.addFindingAt(offset, path, message, expected)
			return
		}
	}
}

// AddFindings adds findings that have a JSON path but no position. It skips paths that
// already have a finding, because Decode did not set the values there.
func (d *Document) AddFindings(list finding.List) {
	reported := make(map[string]bool, len(d.findings))
	for _, f := range d.findings {
		reported[f.Path] = true
	}
	for _, f := range list {
		if f.Path == "" || !reported[f.Path] {
			d.AddFinding(f.Path, f.Message, f.Expected)
		}
	}
}

// addFindingAt adds a finding at a byte offset, or only counts it once there are
// MaxFindings.
func (d *Document) addFindingAt(offset int, path, message, expected string) {
	if len(d.findings) >= MaxFindings {
		d.omitted++
		return
	}
	f := finding.Finding{File: d.file, Path: path, Message: message, Expected: expected}
	f.Line, f.Column = d.position(offset)
	d.findings = append(d.findings, f)
}

// Findings returns the findings collected so far, sorted by position. If some were
// omitted because of MaxFindings, the last one gives their number.
func (d *Document) Findings() finding.List {
	sort.SliceStable(d.findings, func(i, j int) bool {
		a, b := d.findings[i], d.findings[j]
		return a.Line < b.Line || a.Line == b.Line && a.Column < b.Column
	})
	if d.omitted == 0 {
		return d.findings
	}
	return append(d.findings[:len(d.findings):len(d.findings)], finding.Finding{
		File: d.file, Message: fmt.Sprintf("%d more findings", d.omitted),
	})
}

// parentPath returns a JSON path without its last element.
func parentPath(path string) string {
	if i := strings.LastIndexAny(path, ".["); i >= 0 {
		return path[:i]
	}
	return ""
}
