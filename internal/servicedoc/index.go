package servicedoc

import (
	"math"
	"strings"

	"github.com/medlarswitch/medlarswitch/internal/tomldoc"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// maxWeight keeps the total weight of any document below 2^64.
const maxWeight = 1 << 40

func (c *checker) checkIndex(p *parsedSection) {
	id, ok := c.readIndexName(p)
	generation, genOK := p.root.Int("partition_generation", 1, math.MaxInt64)
	lim, limOK := readLimits(p)
	shards := p.root.Tables("shard")
	if !ok {
		c.markUnreadable(KindIndex)
		id = ""
	}
	index := &topology.Index{ID: id, PartitionGeneration: uint64(generation)}
	lim.apply(index)
	if genOK && limOK && ok {
		index = c.mergePart(p, index)
	}
	for _, t := range shards {
		c.checkShard(p, index, t)
		t.ReportUnknownKeys()
	}
	// An index with invalid limits is kept, so that classes can refer to it.
	if ok && c.topo.Indexes[id] == nil {
		c.topo.Indexes[id] = index
	}
}

// readIndexName reads the name of the index. It must match the section's name,
// because ownership is assigned by section name.
func (c *checker) readIndexName(p *parsedSection) (topology.IndexID, bool) {
	s, ok := p.root.String("index")
	if !ok {
		return "", false
	}
	if !validIndexName(s) {
		p.root.Report("index", "is %q: expected %s, without dots", s, nameExpected)
		return "", false
	}
	if want := strings.Split(p.name, ".")[1]; s != want {
		p.root.Report("index", "is %q: expected %q as in the section's name", s, want)
		return "", false
	}
	return topology.IndexID(s), true
}

// mergePart adds a part to its index and returns the index. It reports settings
// that differ from those of the first valid part.
func (c *checker) mergePart(p *parsedSection, part *topology.Index) *topology.Index {
	merged, ok := c.topo.Indexes[part.ID]
	if !ok || c.firstPartPositions[part.ID] == (position{}) { // No valid part precedes this one.
		if merged != nil {
			part.Shards = merged.Shards
		}
		c.topo.Indexes[part.ID] = part
		c.firstPartPositions[part.ID] = position{section: p.name, line: p.root.LineOf("partition_generation")}
		return part
	}
	first := c.firstPartPositions[part.ID]
	if merged.PartitionGeneration != part.PartitionGeneration {
		p.root.Report("partition_generation", "is %d: expected %d as in %s of the same index",
			part.PartitionGeneration, merged.PartitionGeneration, first)
	}
	if limits, ok := p.root.Table("limits"); ok {
		reportDifference(limits, "slots", merged.Slots, part.Slots, first)
		reportDifference(limits, "connections", merged.Connections, part.Connections, first)
		reportDifference(limits, "run_limit", merged.RunLimit, part.RunLimit, first)
	}
	return merged
}

func reportDifference[T comparable](t *tomldoc.Table, key string, merged, part T, first position) {
	if merged != part {
		t.Report(key, "is %v: expected %v as in %s of the same index", part, merged, first)
	}
}
