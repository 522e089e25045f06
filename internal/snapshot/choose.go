package snapshot

import "github.com/medlarswitch/medlarswitch/internal/topology"

// Choose returns the newest snapshot that every shard of the index serves, else
// the one that covers the most weight, and the newer of two that cover the
// same. It returns false when no leaf serves any.
//
// Evidence of another partition map generation than the index's is ignored:
// the shards and weights of such a map are unknown, so an answer from it could
// not state its coverage truthfully.
func Choose(index *topology.Index, evidence map[topology.LeafID]LeafVersions) (topology.Snapshot, bool) {
	tallies := count(index, evidence)
	var best *tally
	for _, t := range tallies {
		if best == nil || t.better(best, len(index.Shards)) {
			best = t
		}
	}
	if best == nil {
		return topology.Snapshot{}, false
	}
	return best.snapshot, true
}

func count(index *topology.Index, evidence map[topology.LeafID]LeafVersions) map[uint64]*tally {
	tallies := map[uint64]*tally{}
	for position, shard := range index.Shards {
		for _, leaf := range shard.Leaves {
			e, ok := evidence[leaf.ID]
			if !ok || e.PartitionGeneration != index.PartitionGeneration {
				continue
			}
			for _, version := range e.IndexVersions {
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
