// Package tomlcheck reads TOML strictly into structs and reports every problem
// of a document at once, each with its file, line, column and field. Packages
// config and settings share it, so that both report errors in the same form.
package tomlcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Position is a place in a document. Line and Column count from 1, columns in
// bytes. Line 0 means that the value did not come from a file.
type Position struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
}

// String formats the position as file:line:column.
func (p Position) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Problem is one fault of a document.
type Problem struct {
	Position
	// Field is the path of the field, such as service[0].server[2].slots;
	// indexes count from 0. It is empty for a fault of the whole document.
	Field string `json:"field"`
	// Message says what is wrong and which values are accepted.
	Message string `json:"message"`
	// Suggestion is the nearest known name, or empty.
	Suggestion string `json:"suggestion,omitempty"`
}

// Error implements error.
func (p Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.Position.String())
	if p.Field != "" {
		b.WriteString(": " + p.Field)
	}
	b.WriteString(": " + p.Message)
	if p.Suggestion != "" {
		fmt.Fprintf(&b, " (did you mean %q?)", p.Suggestion)
	}
	return b.String()
}

// Problems is the list of all faults of a document, in order of position.
type Problems []Problem

// Error implements error with one line per problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems sorted by position as an error, or nil when there
// are none.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	slices.SortStableFunc(ps, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), cmp.Compare(a.Field, b.Field))
	})
	return ps
}

// Nearest returns the candidate that is closest to name by edit distance, or
// "" when none is within a third of its length (at least 2).
func Nearest(name string, candidates []string) string {
	if len(name) > maxSuggestBytes {
		return ""
	}
	best, bestDist := "", max(2, len(name)/3)+1
	for _, c := range candidates {
		if len(c) > maxSuggestBytes {
			continue
		}
		if d := distance(name, c); d < bestDist {
			best, bestDist = c, d
		}
	}
	return best
}

// maxSuggestBytes bounds the cost of the edit distance on hostile documents, in
// bytes.
const maxSuggestBytes = 64

// distance is the Levenshtein distance in bytes.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := diagonal
			if a[i-1] != b[j-1] {
				cost = 1 + min(diagonal, row[j], row[j-1])
			}
			diagonal, row[j] = row[j], cost
		}
	}
	return row[len(b)]
}
