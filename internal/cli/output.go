package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

// ANSI escape sequences.
const (
	red        = "\x1b[31m"
	bold       = "\x1b[1m"
	resetStyle = "\x1b[0m"
)

// columnGap is the text between two columns.
const columnGap = "  "

// cell is one cell of a grid.
type cell struct {
	text string
	// right aligns the text to the right, as for numbers.
	right bool
	// highlighted marks a text that needs attention. It is red if the output has colours.
	highlighted bool
}

// text returns a left-aligned cell.
func text(s string) cell { return cell{text: replaceUnprintable(s)} }

// number returns a right-aligned cell.
func number[T any](v T) cell { return cell{text: fmt.Sprint(v), right: true} }

// replaceUnprintable replaces unprintable characters by "?", so that the text of a
// response cannot send control sequences to the terminal.
func replaceUnprintable(s string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return '?'
	}, s)
}

func percent(v float64) cell { return cell{text: fmt.Sprintf("%.1f%%", 100*v), right: true} }

func highlightIf(bad bool, c cell) cell {
	c.highlighted = bad
	return c
}

// grid is a text table with aligned columns.
type grid struct {
	header []string
	rows   [][]cell
}

func (g *grid) add(cells ...cell) { g.rows = append(g.rows, cells) }

// String formats the grid. Colour sequences are not counted in column widths.
func (g *grid) String(color bool) string {
	header := make([]cell, len(g.header))
	for i, h := range g.header {
		header[i] = cell{text: h, right: len(g.rows) > 0 && g.rows[0][i].right}
	}
	rows := append([][]cell{header}, g.rows...)
	widths := make([]int, len(g.header))
	for _, r := range rows {
		for i, c := range r {
			widths[i] = max(widths[i], utf8.RuneCountInString(c.text))
		}
	}
	var b strings.Builder
	for n, r := range rows {
		var line strings.Builder
		for i, c := range r {
			line.WriteString(formatCell(c, widths[i], color, n == 0))
			line.WriteString(columnGap)
		}
		b.WriteString(strings.TrimRight(line.String(), " ") + "\n")
	}
	return b.String()
}

func formatCell(c cell, width int, color, isHeader bool) string {
	space := strings.Repeat(" ", width-utf8.RuneCountInString(c.text))
	s := c.text
	switch {
	case color && isHeader:
		s = bold + s + resetStyle
	case color && c.highlighted && s != "":
		s = red + s + resetStyle
	}
	if c.right {
		return space + s
	}
	return s + space
}

func (a *app) printf(format string, args ...any) error {
	_, err := fmt.Fprintf(a.env.Out, format, args...)
	return err
}

func (a *app) printGrid(g *grid) error { return a.printf("%s", g.String(a.env.Color)) }

func (a *app) printJSON(v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("encode output: %w", err)
	}
	return a.printf("%s\n", b)
}

// notef prints a progress note to the error output, unless the output format is
// JSON.
func (a *app) notef(format string, args ...any) {
	if !a.jsonOutput() {
		_, _ = fmt.Fprintf(a.env.Err, format, args...)
	}
}

// highlight returns the text in red if the output shows colours.
func (a *app) highlight(s string) string {
	if a.env.Color {
		return red + s + resetStyle
	}
	return s
}
