// Package finding collects problems in files with their place, so that all of
// them are reported together.
package finding

import (
	"fmt"
	"strings"
)

// Finding is one problem at one place.
type Finding struct {
	// File is the name of the file, empty if the input has none.
	File string `json:"file,omitempty"`
	// Line and Column count from 1; 0 means unknown.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Path is the JSON path of the value, for example "rows[3].weight".
	Path string `json:"path,omitempty"`
	// Message says what is wrong.
	Message string `json:"message"`
	// Expected says what would be right.
	Expected string `json:"expected,omitempty"`
}

// String formats the finding as "file:line:column: path: message (expected …)".
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

// List is a set of findings. A non-empty list is an error.
type List []Finding

// Error reports all findings, one a line.
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
