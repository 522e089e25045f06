package servicedoc

import (
	"fmt"

	"github.com/medlarswitch/medlarswitch/internal/tomldoc"
)

// parsed is a section whose text is valid TOML of the right kind.
type parsed struct {
	name string
	kind Kind
	doc  *tomldoc.Document
	root *tomldoc.Table
}

// parseOne returns nil for a section that can't be read.
func (c *checker) parseOne(s Section) *parsed {
	kind, ok := KindOf(s.Name)
	if !ok {
		c.problem(s.Name, 0, "", `has an unknown name: expected "zones", "owners", "classes", "classes.<name>" or "index.<name>", `+
			`the last two with an optional part number ".<n>"`)
		c.markUnreadable(Kind(firstPart(s.Name)))
		return nil
	}
	if len(s.Text) > MaxSectionBytes {
		c.problem(s.Name, 0, "", fmt.Sprintf("has %d bytes: expected at most %d, or parts %q", len(s.Text), MaxSectionBytes, base(s.Name)+".<n>"))
		c.markUnreadable(kind)
		return nil
	}
	p := &parsed{name: s.Name, kind: kind, doc: tomldoc.Parse(s.Text)}
	p.root = p.doc.Root()
	if len(p.doc.Problems()) > 0 {
		c.collect(p)
		c.markUnreadable(kind)
		return nil
	}
	if _, ok := p.root.Choice("kind", string(kind)); !ok {
		c.collect(p)
		c.markUnreadable(kind)
		return nil
	}
	return p
}

func firstPart(name string) string {
	for i := range len(name) {
		if name[i] == '.' {
			return name[:i]
		}
	}
	return name
}

// collect moves the problems of a section's text to the checker.
func (c *checker) collect(p *parsed) {
	for _, problem := range p.doc.Problems() {
		c.problem(p.name, problem.Line, problem.Key, problem.Message)
	}
}
