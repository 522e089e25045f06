package servicedoc

import (
	"cmp"
	"slices"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Check parses the sections and returns the topology that they describe, with
// the generation left unset. If there are any problems, the topology is nil.
func Check(sections []Section) (*topology.Topology, Problems) {
	c := newChecker()
	// Only one parsed text is kept in memory at a time: together they take
	// several times the memory of the topology.
	for _, s := range c.ordered(sections) {
		if p := c.parseSection(s); p != nil {
			c.checkSection(p)
		}
	}
	c.checkZoneInService()
	if len(c.problems) > 0 {
		c.problems.sort()
		return nil, c.problems
	}
	return c.topo, nil
}

// kindOrder is the order in which sections are checked. Sections that others
// refer to come first. Sections of unknown kind, which have order 0, come before
// all others, since they may define anything.
var kindOrder = map[Kind]int{KindZones: 1, KindIndex: 2, KindClasses: 3, KindOwners: 4}

// ordered returns the sections sorted by kind and name. It reports and leaves
// out repeated sections.
func (c *checker) ordered(sections []Section) []Section {
	out := make([]Section, 0, len(sections))
	seen := map[string]bool{}
	for _, s := range sections {
		if seen[s.Name] {
			c.addProblem(s.Name, 0, "", "is in the document twice: expected each section once")
			continue
		}
		seen[s.Name] = true
		out = append(out, s)
	}
	slices.SortStableFunc(out, func(a, b Section) int {
		return cmp.Or(cmp.Compare(sectionOrder(a), sectionOrder(b)), cmp.Compare(a.Name, b.Name))
	})
	return out
}

func sectionOrder(s Section) int {
	kind, _ := KindOf(s.Name)
	return kindOrder[kind]
}

func (c *checker) checkSection(p *parsedSection) {
	switch p.kind {
	case KindZones:
		c.checkZones(p)
	case KindIndex:
		c.checkIndex(p)
	case KindClasses:
		c.checkClasses(p)
	case KindOwners:
		c.checkOwners(p)
	}
	p.root.ReportUnknownKeys()
	c.collectProblems(p)
}

// checkZoneInService reports a document without a zone in service.
func (c *checker) checkZoneInService() {
	if c.unreadable[KindZones] || c.zonesInvalid {
		return // The problems of the zones are reported already.
	}
	for _, z := range c.topo.Zones {
		if !z.OutOfService {
			return
		}
	}
	c.addProblem(string(KindZones), c.zonesLine, "zone.state", `no zone is in service: expected at least one zone with state = "in"`)
}
