// Package check decodes YAML texts, such as settings and service documents, and
// collects the faults in a text, called findings. Each finding has its position,
// and all are reported together.
package check

import (
	"fmt"
	"sort"
	"strings"
)

// Position is a position in a named text. Line and Column start at 1; 0 means
// that the position is unknown.
type Position struct {
	File   string
	Line   int
	Column int
}

// Finding is one fault in a text.
type Finding struct {
	Position
	Text string
}

// String formats the finding as "file:line:column: text".
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Text)
}

// Error holds all findings about a text.
type Error struct {
	Findings []Finding
}

// Error lists the findings, one on each line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// List collects findings about one text.
type List struct {
	File     string
	findings []Finding
}

// Addf adds a finding at a position in the text.
func (l *List) Addf(line, column int, format string, args ...any) {
	position := Position{File: l.File, Line: line, Column: column}
	l.findings = append(l.findings, Finding{Position: position, Text: fmt.Sprintf(format, args...)})
}

// Err returns the findings as an *Error, sorted by position, or nil if there are
// none.
func (l *List) Err() error {
	if len(l.findings) == 0 {
		return nil
	}
	sort.SliceStable(l.findings, func(i, j int) bool {
		a, b := l.findings[i], l.findings[j]
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
	return &Error{Findings: l.findings}
}
