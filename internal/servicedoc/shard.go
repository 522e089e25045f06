package servicedoc

import (
	"github.com/medlarswitch/medlarswitch/internal/tomldoc"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

func (c *checker) shard(p *parsed, index *topology.Index, t *tomldoc.Table) {
	id, idOK := name(t, "name")
	weight, _ := t.Int("weight", 1, maxWeight)
	shard := &topology.Shard{ID: topology.ShardID(id), Index: index.ID, Weight: uint64(weight)}
	for _, lt := range t.Tables("leaf") {
		if leaf := c.leaf(p, shard, lt); leaf != nil {
			shard.Leaves = append(shard.Leaves, leaf)
		}
		lt.ReportUnknownKeys()
	}
	if !idOK || !unique(c.shardPlace, shard.ID, p, t, "name") {
		return
	}
	c.topo.Shards[shard.ID] = shard
	index.Shards = append(index.Shards, shard)
}

func (c *checker) leaf(p *parsed, shard *topology.Shard, t *tomldoc.Table) *topology.Leaf {
	id, idOK := name(t, "name")
	zone, zoneOK := name(t, "zone")
	addr, addrOK := t.Address("address")
	if zoneOK {
		c.knownZone(topology.Zone(zone), t)
	}
	if addrOK {
		unique(c.addresses, addr, p, t, "address")
	}
	if !idOK || !unique(c.leafPlace, topology.LeafID(id), p, t, "name") {
		return nil
	}
	leaf := &topology.Leaf{
		ID: topology.LeafID(id), Shard: shard.ID, Index: shard.Index,
		Zone: topology.Zone(zone), Address: addr.String(),
	}
	c.topo.Leaves[leaf.ID] = leaf
	return leaf
}

// knownZone reports a zone that the document doesn't define.
func (c *checker) knownZone(z topology.Zone, t *tomldoc.Table) {
	if _, ok := c.zonePlace[z]; !ok && !c.unreadable[KindZones] {
		t.Report("zone", "%q is unknown: expected a zone of section %q", z, KindZones)
	}
}
