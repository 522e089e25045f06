package snapshot

import "github.com/medlarswitch/medlarswitch/internal/topology"

// tally sums up the shards of an index that serve one snapshot.
type tally struct {
	snapshot topology.Snapshot
	weight   uint64
	shards   int
	// lastPosition is the position of the last counted shard, so that several
	// replicas of a shard count once.
	lastPosition int
}

func (t *tally) add(position int, weight uint64) {
	if t.shards > 0 && t.lastPosition == position {
		return
	}
	t.lastPosition = position
	t.shards++
	t.weight += weight
}

// preferredOver reports whether queries should pin t rather than other. A snapshot
// that all shards serve is preferred to one of the same weight that a shard of
// weight zero doesn't serve.
func (t *tally) preferredOver(other *tally, all int) bool {
	if full, otherFull := t.shards == all, other.shards == all; full != otherFull {
		return full
	}
	if t.weight != other.weight {
		return t.weight > other.weight
	}
	return Newer(t.snapshot, other.snapshot)
}
