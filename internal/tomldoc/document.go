package tomldoc

import (
	"bytes"
	"fmt"

	"github.com/pelletier/go-toml/v2/unstable"
	"github.com/pkg/errors"
)

// maxDepth bounds nested keys and values. The formats that are read here nest
// three levels; without a bound a hostile document would build paths of
// quadratic total length.
const maxDepth = 8

// Document is a parsed text with the problems found so far.
type Document struct {
	root     *Table
	problems Problems
	text     []byte
	// offset and line are the last position resolved; positions are mostly
	// asked for in rising order, so that lines are counted once.
	offset, line int
}

// Parse reads a text. Faults of syntax are in Problems.
func Parse(text []byte) *Document {
	// The parser tells positions by capacity, so the slice must end at its
	// backing array's end.
	d := &Document{text: text[:len(text):len(text)], line: 1}
	d.root = &Table{line: 1, doc: d, defined: true}
	p := &unstable.Parser{}
	p.Reset(d.text)
	b := builder{doc: d, current: d.root}
	for p.NextExpression() {
		b.expression(p.Expression())
	}
	if err := p.Error(); err != nil {
		d.syntax(err)
	}
	return d
}

// Root returns the top-level table, with what was read before a fault of
// syntax.
func (d *Document) Root() *Table { return d.root }

// Problems returns the problems found so far.
func (d *Document) Problems() Problems { return d.problems }

func (d *Document) report(line int, key, format string, args ...any) {
	d.problems = append(d.problems, Problem{Line: line, Key: key, Message: fmt.Sprintf(format, args...)})
}

func (d *Document) syntax(err error) {
	var pe *unstable.ParserError
	if !errors.As(err, &pe) {
		d.report(d.lineAt(len(d.text)), "", "invalid TOML: %v", err)
		return
	}
	offset := cap(d.text) - cap(pe.Highlight)
	d.report(d.lineAt(offset), "", "invalid TOML: %s", pe.Message)
}

func (d *Document) lineAt(offset int) int {
	offset = max(0, min(offset, len(d.text)))
	if offset < d.offset {
		d.offset, d.line = 0, 1
	}
	d.line += bytes.Count(d.text[d.offset:offset], []byte{'\n'})
	d.offset = offset
	return d.line
}
