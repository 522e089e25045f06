package servicedoc

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one fault of the document.
type Problem struct {
	Section string
	// Line is counted from 1; 0 means the section as a whole.
	Line int
	// Key is the dotted key, empty for a fault that belongs to no key.
	Key string
	// Message describes what is wrong and what is expected.
	Message string
}

// String returns the section, the line, the key and the message.
func (p Problem) String() string {
	out := fmt.Sprintf("section %q", p.Section)
	if p.Line > 0 {
		out += fmt.Sprintf(" line %d", p.Line)
	}
	if p.Key != "" {
		out += fmt.Sprintf(" key %q", p.Key)
	}
	return out + ": " + p.Message
}

// Problems are the faults of a document, sorted by section and line.
type Problems []Problem

// Error implements the error interface and returns one problem per line. An empty
// list does not stand for an error; see Err.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, or nil when there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

func (p Problems) sort() {
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Section, b.Section), cmp.Compare(a.Line, b.Line))
	})
}
