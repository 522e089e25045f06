package tomldoc

import (
	"bytes"
	"fmt"

	"github.com/pelletier/go-toml/v2/unstable"
	"github.com/pkg/errors"
)

// maxDepth limits the nesting of keys and values. The settings and the service
// document nest three levels. Without a limit, the total length of the paths of a
// malicious document would be quadratic in its size.
const maxDepth = 8

// Document is a parsed text with the problems found so far.
type Document struct {
	root     *Table
	problems Problems
	text     []byte
	// offset and line are the last position that lineAt resolved. Most positions
	// are resolved in ascending order, so each line is counted only once.
	offset, line int
}

// Parse parses a text. Syntax errors are in Problems.
func Parse(text []byte) *Document {
	// The parser computes positions from slice capacities, so the slice must have
	// no capacity beyond its length.
	d := &Document{text: text[:len(text):len(text)], line: 1}
	d.root = &Table{line: 1, doc: d, defined: true}
	p := &unstable.Parser{}
	p.Reset(d.text)
	b := builder{doc: d, current: d.root}
	for p.NextExpression() {
		b.addExpression(p.Expression())
	}
	if err := p.Error(); err != nil {
		d.reportSyntaxError(err)
	}
	return d
}

// Root returns the top-level table. After a syntax error it contains the keys
// before the error.
func (d *Document) Root() *Table { return d.root }

// Problems returns the problems found so far.
func (d *Document) Problems() Problems { return d.problems }

func (d *Document) report(line int, key, format string, args ...any) {
	d.problems = append(d.problems, Problem{Line: line, Key: key, Message: fmt.Sprintf(format, args...)})
}

func (d *Document) reportSyntaxError(err error) {
	var pe *unstable.ParserError
	if !errors.As(err, &pe) {
		d.report(d.lineAt(len(d.text)), "", "invalid TOML: %v", err)
		return
	}
	offset := cap(d.text) - cap(pe.Highlight)
	d.report(d.lineAt(offset), "", "invalid TOML: %s", pe.Message)
}

// lineAt returns the line of an offset in the text.
func (d *Document) lineAt(offset int) int {
	offset = max(0, min(offset, len(d.text)))
	if offset < d.offset {
		d.offset, d.line = 0, 1
	}
	d.line += bytes.Count(d.text[d.offset:offset], []byte{'\n'})
	d.offset = offset
	return d.line
}
