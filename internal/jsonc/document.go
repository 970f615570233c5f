// Package jsonc decodes JSON with comments into structs and collects everything
// that is wrong, with line, column and JSON path.
//
// A Document is not safe for concurrent use. The package keeps no state.
package jsonc

import (
	"fmt"
	"sort"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"

	"github.com/boragegate/boragegate/finding"
)

// MaxBytes bounds the size of an input. It is four times the largest value of
// the store, which leaves room for comments and indentation.
const MaxBytes = 4 << 20

// maxDepth bounds the nesting of an input, so that a hostile file cannot use up the stack.
const maxDepth = 64

// MaxFindings bounds the findings that one Document collects.
const MaxFindings = 100

// Document is one parsed input with the findings so far.
type Document struct {
	file       string
	lineStarts []int // byte offset of each line's start
	data       []byte
	root       hujson.Value
	offsets    map[string]int // byte offset of each value that was decoded, by JSON path
	findings   finding.List
	omitted    int
}

// Parse reads the syntax. It returns nil and the findings if the input is not
// JSON with comments in UTF-8 of at most MaxBytes.
func Parse(file string, data []byte) (*Document, error) {
	d := &Document{file: file, data: data, offsets: map[string]int{}}
	if len(data) > MaxBytes {
		return nil, finding.List{{
			File: file, Message: fmt.Sprintf("the file has %d bytes", len(data)),
			Expected: fmt.Sprintf("at most %d bytes", MaxBytes),
		}}
	}
	d.indexLines()
	if at := indexInvalidUTF8(data); at >= 0 {
		d.addFindingAt(at, "", "the file is not UTF-8", "UTF-8 text without byte order marks of other encodings")
		return nil, d.findings
	}
	if at := indexTooDeep(data); at >= 0 {
		d.addFindingAt(at, "", "values are nested too deeply", fmt.Sprintf("at most %d levels", maxDepth))
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

// splitSyntaxError takes "hujson: line 1, column 2: message" apart.
func splitSyntaxError(s string) (line, column int, message string) {
	s = strings.TrimPrefix(s, "hujson: ")
	if n, err := fmt.Sscanf(s, "line %d, column %d:", &line, &column); err == nil && n == 2 {
		_, s, _ = strings.Cut(s, ": ")
	}
	return line, column, s
}

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

// indexTooDeep returns the offset of the first bracket beyond maxDepth, or -1. It
// counts brackets in strings and comments too, which real files never have in
// such numbers.
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

func (d *Document) indexLines() {
	d.lineStarts = []int{0}
	for i, b := range d.data {
		if b == '\n' {
			d.lineStarts = append(d.lineStarts, i+1)
		}
	}
}

// position returns line and column of a byte offset; columns count characters.
func (d *Document) position(at int) (line, column int) {
	line = sort.Search(len(d.lineStarts), func(i int) bool { return d.lineStarts[i] > at })
	start := d.lineStarts[line-1]
	return line, utf8.RuneCount(d.data[start:min(at, len(d.data))]) + 1
}

// Has reports whether the input has a value at the path. It is valid after Decode.
func (d *Document) Has(path string) bool {
	_, ok := d.offsets[path]
	return ok
}

// AddFinding adds a finding at a path. If the input has no value there, the place is
// that of the closest enclosing value.
func (d *Document) AddFinding(path, message, expected string) {
	for p := path; ; p = parentPath(p) {
		if at, ok := d.offsets[p]; ok || p == "" {
			d.addFindingAt(at, path, message, expected)
			return
		}
	}
}

// AddFindings adds findings that know their path but not their place. It leaves out
// values for which Decode already has a finding, because they were not set.
func (d *Document) AddFindings(list finding.List) {
	faulty := make(map[string]bool, len(d.findings))
	for _, f := range d.findings {
		faulty[f.Path] = true
	}
	for _, f := range list {
		if f.Path == "" || !faulty[f.Path] {
			d.AddFinding(f.Path, f.Message, f.Expected)
		}
	}
}

func (d *Document) addFindingAt(at int, path, message, expected string) {
	if len(d.findings) >= MaxFindings {
		d.omitted++
		return
	}
	f := finding.Finding{File: d.file, Path: path, Message: message, Expected: expected}
	f.Line, f.Column = d.position(at)
	d.findings = append(d.findings, f)
}

// Findings returns the findings so far in the order of the file.
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

// parentPath cuts the last element from a path.
func parentPath(path string) string {
	if i := strings.LastIndexAny(path, ".["); i >= 0 {
		return path[:i]
	}
	return ""
}
