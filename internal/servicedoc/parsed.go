package servicedoc

import (
	"fmt"

	"github.com/medlarswitch/medlarswitch/internal/tomldoc"
)

// parsedSection is a section whose text is valid TOML and has the kind that the
// section's name requires.
type parsedSection struct {
	name string
	kind Kind
	doc  *tomldoc.Document
	root *tomldoc.Table
}

// parseSection parses a section. If it can't be read, parseSection reports the
// problems and returns nil.
func (c *checker) parseSection(s Section) *parsedSection {
	kind, ok := KindOf(s.Name)
	if !ok {
		c.addProblem(s.Name, 0, "", `has an unknown name: expected "zones", "owners", "classes", "classes.<name>" or "index.<name>", `+
			`the last two with an optional part number ".<n>"`)
		c.markUnreadable(Kind(firstComponent(s.Name)))
		return nil
	}
	if len(s.Text) > MaxSectionBytes {
		c.addProblem(s.Name, 0, "", fmt.Sprintf("has %d bytes: expected at most %d, or parts %q", len(s.Text), MaxSectionBytes, baseName(s.Name)+".<n>"))
		c.markUnreadable(kind)
		return nil
	}
	p := &parsedSection{name: s.Name, kind: kind, doc: tomldoc.Parse(s.Text)}
	p.root = p.doc.Root()
	if len(p.doc.Problems()) > 0 {
		c.collectProblems(p)
		c.markUnreadable(kind)
		return nil
	}
	if _, ok := p.root.Choice("kind", string(kind)); !ok {
		c.collectProblems(p)
		c.markUnreadable(kind)
		return nil
	}
	return p
}

// firstComponent returns the part of a section's name before the first dot.
func firstComponent(name string) string {
	for i := range len(name) {
		if name[i] == '.' {
			return name[:i]
		}
	}
	return name
}

// collectProblems adds the problems of a section's text to those of the document.
func (c *checker) collectProblems(p *parsedSection) {
	for _, problem := range p.doc.Problems() {
		c.addProblem(p.name, problem.Line, problem.Key, problem.Message)
	}
}
