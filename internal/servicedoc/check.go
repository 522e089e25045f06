package servicedoc

import (
	"cmp"
	"slices"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Check parses the sections and returns the topology that they describe,
// without a generation. With any problem the topology is nil.
func Check(sections []Section) (*topology.Topology, Problems) {
	c := newChecker()
	// One parsed text is held at a time: all of them take several times the
	// memory of the topology.
	for _, s := range c.ordered(sections) {
		if p := c.parseOne(s); p != nil {
			c.section(p)
		}
	}
	c.finish()
	if len(c.problems) > 0 {
		c.problems.sort()
		return nil, c.problems
	}
	return c.topo, nil
}

// kindOrder puts what is referred to before what refers to it, and sections of
// unknown kind first, since they may define anything.
var kindOrder = map[Kind]int{KindZones: 1, KindIndex: 2, KindClasses: 3, KindOwners: 4}

// ordered returns the sections by kind and name, each once.
func (c *checker) ordered(sections []Section) []Section {
	out := make([]Section, 0, len(sections))
	seen := map[string]bool{}
	for _, s := range sections {
		if seen[s.Name] {
			c.problem(s.Name, 0, "", "is in the document twice: expected each section once")
			continue
		}
		seen[s.Name] = true
		out = append(out, s)
	}
	slices.SortStableFunc(out, func(a, b Section) int {
		return cmp.Or(cmp.Compare(order(a), order(b)), cmp.Compare(a.Name, b.Name))
	})
	return out
}

func order(s Section) int {
	kind, _ := KindOf(s.Name)
	return kindOrder[kind]
}

func (c *checker) section(p *parsed) {
	switch p.kind {
	case KindZones:
		c.zones(p)
	case KindIndex:
		c.index(p)
	case KindClasses:
		c.classes(p)
	case KindOwners:
		c.owners(p)
	}
	p.root.ReportUnknownKeys()
	c.collect(p)
}

// finish checks what no single section can show.
func (c *checker) finish() {
	if c.unreadable[KindZones] || c.zoneFaults {
		return // The problems of the zones say why none may be in service.
	}
	for _, z := range c.topo.Zones {
		if !z.OutOfService {
			return
		}
	}
	c.problem(string(KindZones), c.zonesLine, "zone.state", `no zone is in service: expected at least one zone with state = "in"`)
}
