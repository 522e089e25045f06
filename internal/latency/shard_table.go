package latency

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// ShardTable holds the latency histograms of all shards. It is not safe for
// concurrent use.
type ShardTable struct {
	shards map[topology.ShardID]*histogram
}

// NewShardTable returns an empty table.
func NewShardTable() *ShardTable { return &ShardTable{shards: make(map[topology.ShardID]*histogram)} }

// Observe records how long the first attempt at a shard took. If a hedge
// replied first, the caller passes the time until the first attempt was
// cancelled. Otherwise slow attempts would not count, and the hedge delay would
// shrink with each hedge.
func (t *ShardTable) Observe(shard topology.ShardID, took time.Duration) {
	h, ok := t.shards[shard]
	if !ok {
		h = new(histogram)
		t.shards[shard] = h
	}
	h.observe(took)
}

// HedgeDelay returns the 95th percentile of the latencies of the shard's recent
// replies, or false if there are too few replies.
func (t *ShardTable) HedgeDelay(shard topology.ShardID) (time.Duration, bool) {
	h, ok := t.shards[shard]
	if !ok || h.total < minReplies {
		return 0, false
	}
	return h.percentile95(), true
}

// Retain removes the shards that are not in keep, for a configuration change.
func (t *ShardTable) Retain(keep map[topology.ShardID]*topology.Shard) {
	for id := range t.shards {
		if _, ok := keep[id]; !ok {
			delete(t.shards, id)
		}
	}
}
