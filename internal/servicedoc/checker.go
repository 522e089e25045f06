package servicedoc

import (
	"fmt"
	"net/netip"

	"github.com/medlarswitch/medlarswitch/internal/tomldoc"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// position is the place of a definition in the document.
type position struct {
	section string
	line    int
}

func (p position) String() string { return fmt.Sprintf("section %q line %d", p.section, p.line) }

// checker builds a topology section by section and collects the problems.
type checker struct {
	topo     *topology.Topology
	problems Problems

	// unreadable contains the kinds of sections that couldn't be read.
	// References to what such a section may define are not reported as unknown.
	unreadable map[Kind]bool
	// zonesInvalid is true if the zones section has problems.
	zonesInvalid bool
	// zonesLine is the line of the first zone.
	zonesLine int

	// The maps below hold the position of the first definition of each name or
	// address.
	zonePositions    map[topology.Zone]position
	shardPositions   map[topology.ShardID]position
	leafPositions    map[topology.LeafID]position
	classPositions   map[topology.ClassID]position
	addressPositions map[netip.AddrPort]position
	// firstPartPositions are those of the first valid part of each index, which
	// the other parts must agree with.
	firstPartPositions map[topology.IndexID]position
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
		unreadable:         map[Kind]bool{},
		zonePositions:      map[topology.Zone]position{},
		shardPositions:     map[topology.ShardID]position{},
		leafPositions:      map[topology.LeafID]position{},
		classPositions:     map[topology.ClassID]position{},
		addressPositions:   map[netip.AddrPort]position{},
		firstPartPositions: map[topology.IndexID]position{},
	}
}

func (c *checker) addProblem(section string, line int, key, message string) {
	c.problems = append(c.problems, Problem{Section: section, Line: line, Key: key, Message: message})
}

func (c *checker) markUnreadable(k Kind) { c.unreadable[k] = true }

// readName reads a key whose value must be a valid name.
func readName(t *tomldoc.Table, key string) (string, bool) {
	s, ok := t.String(key)
	if ok && !validName(s) {
		t.Report(key, "is %q: expected %s", s, nameExpected)
		return "", false
	}
	return s, ok
}

// recordUnique records the position of k's first definition. If there already is
// one, it reports the key and returns false.
func recordUnique[K comparable](seen map[K]position, k K, p *parsedSection, t *tomldoc.Table, key string) bool {
	here := position{section: p.name, line: t.LineOf(key)}
	if first, ok := seen[k]; ok {
		t.Report(key, "%q is already defined in %s: expected a value that is unique in the document", fmt.Sprint(k), first)
		return false
	}
	seen[k] = here
	return true
}
