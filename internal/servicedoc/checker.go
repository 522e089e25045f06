package servicedoc

import (
	"fmt"
	"net/netip"

	"github.com/medlarswitch/medlarswitch/internal/tomldoc"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// place is where something was defined first.
type place struct {
	section string
	line    int
}

func (p place) String() string { return fmt.Sprintf("section %q line %d", p.section, p.line) }

// checker builds a topology section by section.
type checker struct {
	topo     *topology.Topology
	problems Problems

	// unreadable kinds have a section that couldn't be read. References to
	// what such a section may define are not reported as unknown.
	unreadable map[Kind]bool
	zoneFaults bool
	zonesLine  int

	zonePlace  map[topology.Zone]place
	shardPlace map[topology.ShardID]place
	leafPlace  map[topology.LeafID]place
	classPlace map[topology.ClassID]place
	addresses  map[netip.AddrPort]place
	firstPart  map[topology.IndexID]place
}

func newChecker() *checker {
	return &checker{
		topo: &topology.Topology{
			Zones:   map[topology.Zone]topology.ZoneState{},
			Indexes: map[topology.IndexID]*topology.Index{},
			Classes: map[topology.ClassID]*topology.Class{},
			Shards:  map[topology.ShardID]*topology.Shard{},
			Leaves:  map[topology.LeafID]*topology.Leaf{},
		},
		unreadable: map[Kind]bool{},
		zonePlace:  map[topology.Zone]place{},
		shardPlace: map[topology.ShardID]place{},
		leafPlace:  map[topology.LeafID]place{},
		classPlace: map[topology.ClassID]place{},
		addresses:  map[netip.AddrPort]place{},
		firstPart:  map[topology.IndexID]place{},
	}
}

func (c *checker) problem(section string, line int, key, message string) {
	c.problems = append(c.problems, Problem{Section: section, Line: line, Key: key, Message: message})
}

func (c *checker) markUnreadable(k Kind) { c.unreadable[k] = true }

// name reads a name.
func name(t *tomldoc.Table, key string) (string, bool) {
	s, ok := t.String(key)
	if ok && !validName(s) {
		t.Report(key, "is %q: expected %s", s, nameExpected)
		return "", false
	}
	return s, ok
}

// unique records where a key was defined and reports a second definition.
func unique[K comparable](seen map[K]place, k K, p *parsed, t *tomldoc.Table, key string) bool {
	here := place{section: p.name, line: t.LineOf(key)}
	if first, ok := seen[k]; ok {
		t.Report(key, "%q is already defined in %s: expected a value that is unique in the document", fmt.Sprint(k), first)
		return false
	}
	seen[k] = here
	return true
}
