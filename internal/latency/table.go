package latency

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// ShardTable holds the estimates of all shards. It is not safe for concurrent use.
type ShardTable struct {
	shards map[topology.ShardID]*estimate
}

// NewShardTable returns an empty table.
func NewShardTable() *ShardTable { return &ShardTable{shards: make(map[topology.ShardID]*estimate)} }

// Observe counts how long a first attempt at a shard took. When its hedge
// answered first, it takes the time up to the cancellation of the first
// attempt: without that, slow attempts would not count and the delay would
// shrink with each hedge.
func (t *ShardTable) Observe(shard topology.ShardID, took time.Duration) {
	e, ok := t.shards[shard]
	if !ok {
		e = new(estimate)
		t.shards[shard] = e
	}
	e.observe(took)
}

// HedgeDelay returns the 95th percentile of the shard's recent replies, or
// false when there are too few.
func (t *ShardTable) HedgeDelay(shard topology.ShardID) (time.Duration, bool) {
	e, ok := t.shards[shard]
	if !ok || e.total < minReplies {
		return 0, false
	}
	return e.percentile95(), true
}

// Retain drops the shards that are not in keep, after a configuration change.
func (t *ShardTable) Retain(keep map[topology.ShardID]*topology.Shard) {
	for id := range t.shards {
		if _, ok := keep[id]; !ok {
			delete(t.shards, id)
		}
	}
}
