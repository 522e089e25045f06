package tomldoc

import (
	"fmt"
	"strings"
)

// Problem is one fault of a document.
type Problem struct {
	// Line is counted from 1.
	Line int
	// Key is the dotted key without array indexes. It is empty for a fault that
	// belongs to no key.
	Key     string
	Message string
}

// String returns the line, the key and the message.
func (p Problem) String() string {
	if p.Key == "" {
		return fmt.Sprintf("line %d: %s", p.Line, p.Message)
	}
	return fmt.Sprintf("line %d: key %q: %s", p.Line, p.Key, p.Message)
}

// Problems are the faults of one document.
type Problems []Problem

// Error implements the error interface and returns one fault per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}
