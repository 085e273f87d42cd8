package tomlcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Position is a position in a document. Line and Column count from 1, and Column
// counts bytes. Line is 0 if the value does not come from a file.
type Position struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
}

// String formats the position as file:line:column, or as File alone if Line is 0.
func (p Position) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Problem is one error in a document.
type Problem struct {
	Position
	// Field is the path of the field, such as service[0].server[2].slots, with
	// indexes from 0. It is empty if the problem concerns the whole document.
	Field string `json:"field"`
	// Message describes the problem and the accepted values.
	Message string `json:"message"`
	// Suggestion is the known name that is most similar to the one found, or
	// empty.
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

// Problems lists all problems of a document. Err sorts them by position.
type Problems []Problem

// Error implements error. The text has one line per problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Err sorts the problems by position and returns them as an error, or nil if there
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

// Nearest returns the candidate with the smallest edit distance to name, or "" if
// none is within a third of the length of name, or within 2 for a short name.
// Names longer than maxSuggestBytes are not compared.
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

// maxSuggestBytes is the maximum length of the names that Nearest compares. It
// bounds the cost of the edit distance for malicious documents.
const maxSuggestBytes = 64

// distance returns the Levenshtein distance between a and b in bytes.
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
