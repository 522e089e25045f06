package snapshot

import "github.com/medlarswitch/medlarswitch/internal/topology"

// tally is how much of an index serves one snapshot.
type tally struct {
	snapshot topology.Snapshot
	weight   uint64
	shards   int
	// lastShard is the position of the shard that was counted last, so that
	// several replicas of a shard count once.
	lastShard int
}

func (t *tally) add(position int, weight uint64) {
	if t.shards > 0 && t.lastShard == position {
		return
	}
	t.lastShard = position
	t.shards++
	t.weight += weight
}

// better reports whether queries should pin t rather than other. A snapshot
// that all shards serve goes before one that misses a shard of weight zero.
func (t *tally) better(other *tally, all int) bool {
	if full, otherFull := t.shards == all, other.shards == all; full != otherFull {
		return full
	}
	if t.weight != other.weight {
		return t.weight > other.weight
	}
	return Newer(t.snapshot, other.snapshot)
}
