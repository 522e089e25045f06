package servicedoc

import (
	"math"
	"strings"

	"github.com/medlarswitch/medlarswitch/internal/tomldoc"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// maxWeight keeps the total weight of every possible document below 2^64.
const maxWeight = 1 << 40

func (c *checker) index(p *parsed) {
	id, ok := c.indexName(p)
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
		index = c.merge(p, index)
	}
	for _, t := range shards {
		c.shard(p, index, t)
		t.ReportUnknownKeys()
	}
	// Classes may refer to an index whose limits are wrong.
	if ok && c.topo.Indexes[id] == nil {
		c.topo.Indexes[id] = index
	}
}

// indexName reads the index's name, which the section's name must contain:
// ownership goes by section name.
func (c *checker) indexName(p *parsed) (topology.IndexID, bool) {
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

// merge joins the parts of an index, which must agree.
func (c *checker) merge(p *parsed, part *topology.Index) *topology.Index {
	whole, ok := c.topo.Indexes[part.ID]
	if !ok || c.firstPart[part.ID] == (place{}) {
		if whole != nil {
			part.Shards = whole.Shards
		}
		c.topo.Indexes[part.ID] = part
		c.firstPart[part.ID] = place{section: p.name, line: p.root.LineOf("partition_generation")}
		return part
	}
	first := c.firstPart[part.ID]
	if whole.PartitionGeneration != part.PartitionGeneration {
		p.root.Report("partition_generation", "is %d: expected %d as in %s of the same index",
			part.PartitionGeneration, whole.PartitionGeneration, first)
	}
	if limits, ok := p.root.Table("limits"); ok {
		reportDifference(limits, "slots", whole.Slots, part.Slots, first)
		reportDifference(limits, "connections", whole.Connections, part.Connections, first)
		reportDifference(limits, "run_limit", whole.RunLimit, part.RunLimit, first)
	}
	return whole
}

func reportDifference[T comparable](t *tomldoc.Table, key string, whole, part T, first place) {
	if whole != part {
		t.Report(key, "is %v: expected %v as in %s of the same index", part, whole, first)
	}
}
