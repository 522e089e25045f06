package servicedoc

import (
	"github.com/medlarswitch/medlarswitch/internal/tomldoc"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

func (c *checker) checkShard(p *parsedSection, index *topology.Index, t *tomldoc.Table) {
	id, idOK := readName(t, "name")
	weight, _ := t.Int("weight", 1, maxWeight)
	shard := &topology.Shard{ID: topology.ShardID(id), Index: index.ID, Weight: uint64(weight)}
	for _, lt := range t.Tables("leaf") {
		if leaf := c.checkLeaf(p, shard, lt); leaf != nil {
			shard.Leaves = append(shard.Leaves, leaf)
		}
		lt.ReportUnknownKeys()
	}
	if !idOK || !recordUnique(c.shardPositions, shard.ID, p, t, "name") {
		return
	}
	c.topo.Shards[shard.ID] = shard
	index.Shards = append(index.Shards, shard)
}

func (c *checker) checkLeaf(p *parsedSection, shard *topology.Shard, t *tomldoc.Table) *topology.Leaf {
	id, idOK := readName(t, "name")
	zone, zoneOK := readName(t, "zone")
	addr, addrOK := t.Address("address")
	if zoneOK {
		c.requireZone(topology.Zone(zone), t)
	}
	if addrOK {
		recordUnique(c.addressPositions, addr, p, t, "address")
	}
	if !idOK || !recordUnique(c.leafPositions, topology.LeafID(id), p, t, "name") {
		return nil
	}
	leaf := &topology.Leaf{
		ID: topology.LeafID(id), Shard: shard.ID, Index: shard.Index,
		Zone: topology.Zone(zone), Address: addr.String(),
	}
	c.topo.Leaves[leaf.ID] = leaf
	return leaf
}

// requireZone reports a reference to a zone that the document doesn't define.
func (c *checker) requireZone(z topology.Zone, t *tomldoc.Table) {
	if _, ok := c.zonePositions[z]; !ok && !c.unreadable[KindZones] {
		t.Report("zone", "%q is unknown: expected a zone of section %q", z, KindZones)
	}
}
