package snapshot

import "github.com/medlarswitch/medlarswitch/internal/topology"

// Choose returns the newest snapshot that every shard of the index serves. If there
// is none, it returns the one that covers the most weight, and the newer one of
// equals. It returns false if no leaf serves any snapshot.
//
// Versions of leaves with another partition map generation than the index's are
// ignored: the shards and weights of such a map are unknown, so the coverage of an
// answer could not be computed.
func Choose(index *topology.Index, versions map[topology.LeafID]LeafVersions) (topology.Snapshot, bool) {
	tallies := tallySnapshots(index, versions)
	var best *tally
	for _, t := range tallies {
		if best == nil || t.preferredOver(best, len(index.Shards)) {
			best = t
		}
	}
	if best == nil {
		return topology.Snapshot{}, false
	}
	return best.snapshot, true
}

func tallySnapshots(index *topology.Index, versions map[topology.LeafID]LeafVersions) map[uint64]*tally {
	tallies := map[uint64]*tally{}
	for position, shard := range index.Shards {
		for _, leaf := range shard.Leaves {
			reported, ok := versions[leaf.ID]
			if !ok || reported.PartitionGeneration != index.PartitionGeneration {
				continue
			}
			for _, version := range reported.IndexVersions {
				tallyOf(tallies, index, version).add(position, shard.Weight)
			}
		}
	}
	return tallies
}

func tallyOf(tallies map[uint64]*tally, index *topology.Index, version uint64) *tally {
	t, ok := tallies[version]
	if !ok {
		t = &tally{snapshot: topology.Snapshot{
			IndexVersion:        version,
			PartitionGeneration: index.PartitionGeneration,
		}}
		tallies[version] = t
	}
	return t
}
