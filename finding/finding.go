// Package finding describes problems in input files with their location. All
// problems of a file are collected in a List and reported together.
package finding

import (
	"fmt"
	"strings"
)

// Finding is one problem at one location of an input.
type Finding struct {
	// File is the name of the file, empty if the input has none.
	File string `json:"file,omitempty"`
	// Line and Column are 1-based; 0 means unknown.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Path is the JSON path of the value, for example "rows[3].weight".
	Path string `json:"path,omitempty"`
	// Message says what is wrong.
	Message string `json:"message"`
	// Expected describes the values that are accepted; empty if there is no hint.
	Expected string `json:"expected,omitempty"`
}

// String formats the finding as "file:line:column: path: message (expected …)". Parts
// that are unknown are omitted, except for the column after a known line.
func (f Finding) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File + ":")
	}
	if f.Line > 0 {
		fmt.Fprintf(&b, "%d:%d:", f.Line, f.Column)
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if f.Path != "" {
		b.WriteString(f.Path + ": ")
	}
	b.WriteString(f.Message)
	if f.Expected != "" {
		b.WriteString(" (expected " + f.Expected + ")")
	}
	return b.String()
}

// List is a list of findings. A non-empty list is an error; use Err to get an
// error that is nil for an empty list.
type List []Finding

// Error formats all findings, one per line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil if it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}
