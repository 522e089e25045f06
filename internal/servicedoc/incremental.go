package servicedoc

import (
	"bytes"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// IncrementalChecker checks successive versions of one document with the results of
// Check. When only sections of indexes differ from the last version without
// problems, it parses these alone: the check of 110,000 leaves takes about half
// a second, and most edits change one index. The topologies share the shards
// and leaves that did not change.
//
// The zero value is ready for use. It is not safe for concurrent use, and the
// texts must not be changed afterwards.
type IncrementalChecker struct {
	// topo is the result for texts; nil before the first document without
	// problems.
	topo  *topology.Topology
	texts map[string][]byte
}

// Check returns what the function Check returns for the sections.
func (i *IncrementalChecker) Check(sections []Section) (*topology.Topology, Problems) {
	topo := i.update(sections)
	if topo == nil {
		var problems Problems
		if topo, problems = Check(sections); len(problems) > 0 {
			return nil, problems
		}
	}
	i.keep(topo, sections)
	return topo, nil
}

func (i *IncrementalChecker) keep(topo *topology.Topology, sections []Section) {
	i.topo = topo
	i.texts = make(map[string][]byte, len(sections))
	for _, s := range sections {
		i.texts[s.Name] = s.Text
	}
}

// update returns the topology of a document whose changes it can take in, and
// nil otherwise. Only the full check reports problems.
func (i *IncrementalChecker) update(sections []Section) *topology.Topology {
	if i.topo == nil || !i.sameNames(sections) {
		return nil
	}
	changed, ok := i.changedIndexes(sections)
	if !ok {
		return nil
	}
	part := i.parse(sections, changed)
	if part == nil {
		return nil
	}
	return replaceIndexes(i.topo, part)
}

func (i *IncrementalChecker) sameNames(sections []Section) bool {
	seen := make(map[string]bool, len(sections))
	for _, s := range sections {
		if _, ok := i.texts[s.Name]; !ok || seen[s.Name] {
			return false
		}
		seen[s.Name] = true
	}
	return len(seen) == len(i.texts)
}

// changedIndexes returns the base names of the sections that changed, or false
// if one of them does not describe an index.
func (i *IncrementalChecker) changedIndexes(sections []Section) (map[string]bool, bool) {
	changed := map[string]bool{}
	for _, s := range sections {
		if bytes.Equal(s.Text, i.texts[s.Name]) {
			continue
		}
		if kind, _ := KindOf(s.Name); kind != KindIndex {
			return nil, false
		}
		changed[base(s.Name)] = true
	}
	return changed, true
}

// parse checks all parts of the changed indexes against each other and the
// zones. It returns nil when there is a problem.
func (i *IncrementalChecker) parse(sections []Section, changed map[string]bool) *checker {
	c := newChecker()
	for z := range i.topo.Zones {
		c.zonePlace[z] = place{section: string(KindZones)}
	}
	for _, s := range c.ordered(sections) {
		if !changed[base(s.Name)] {
			continue
		}
		p := c.parseOne(s)
		if p == nil {
			return nil
		}
		c.section(p)
	}
	if len(c.problems) > 0 || len(c.topo.Indexes) != len(changed) {
		return nil
	}
	return c
}

// replaceIndexes returns a topology in which the indexes of part replace those
// of the same name, or nil when a shard, a leaf or an address of part belongs
// to another index.
func replaceIndexes(old *topology.Topology, part *checker) *topology.Topology {
	next := &topology.Topology{
		Zones: old.Zones, Classes: old.Classes,
		Indexes: make(map[topology.IndexID]*topology.Index, len(old.Indexes)),
		Shards:  make(map[topology.ShardID]*topology.Shard, len(old.Shards)),
		Leaves:  make(map[topology.LeafID]*topology.Leaf, len(old.Leaves)),
	}
	addresses := make(map[string]bool, len(part.addresses))
	for _, leaf := range part.topo.Leaves {
		addresses[leaf.Address] = true
	}
	for id, index := range old.Indexes {
		if replacement, ok := part.topo.Indexes[id]; ok {
			index = replacement
		} else if conflicts(index, part.topo, addresses) {
			return nil
		}
		next.Indexes[id] = index
		addIndex(next, index)
	}
	return next
}

// conflicts reports whether an index that stays uses a name or an address of
// the changed ones.
func conflicts(index *topology.Index, part *topology.Topology, addresses map[string]bool) bool {
	for _, shard := range index.Shards {
		if _, ok := part.Shards[shard.ID]; ok {
			return true
		}
		for _, leaf := range shard.Leaves {
			if _, ok := part.Leaves[leaf.ID]; ok || addresses[leaf.Address] {
				return true
			}
		}
	}
	return false
}

func addIndex(t *topology.Topology, index *topology.Index) {
	for _, shard := range index.Shards {
		t.Shards[shard.ID] = shard
		for _, leaf := range shard.Leaves {
			t.Leaves[leaf.ID] = leaf
		}
	}
}
