package measure

import (
	"slices"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/latency"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// percentileWindow is the number of recent replies from which a percentile
// other than that of the latency package is computed. The latency package uses
// as many.
const percentileWindow = 255

// minReplies is the least number of replies from which a percentile is computed.
const minReplies = 20

// latencyEstimates holds the hedge delays of an entry and detects slow leaves.
// The hedge delays are those of the latency package or, if percentile is set,
// that percentile of the latest replies.
type latencyEstimates struct {
	percentile      float64
	shardTable      *latency.ShardTable
	leafAverages    map[topology.LeafID]time.Duration
	recentLatencies map[topology.ShardID][]time.Duration
	// sorted is a buffer that hedgeDelay reuses.
	sorted []time.Duration
}

func newLatencyEstimates(percentile float64) *latencyEstimates {
	return &latencyEstimates{
		percentile: percentile, shardTable: latency.NewShardTable(),
		leafAverages:    make(map[topology.LeafID]time.Duration),
		recentLatencies: make(map[topology.ShardID][]time.Duration),
	}
}

func (e *latencyEstimates) observeShard(shard topology.ShardID, took time.Duration) {
	if e.percentile == 0 {
		e.shardTable.Observe(shard, took)
		return
	}
	recent := append(e.recentLatencies[shard], took)
	if len(recent) > percentileWindow {
		recent = recent[1:]
	}
	e.recentLatencies[shard] = recent
}

func (e *latencyEstimates) hedgeDelay(shard topology.ShardID) time.Duration {
	if e.percentile == 0 {
		delay, _ := e.shardTable.HedgeDelay(shard)
		return delay
	}
	list := append(e.sorted[:0], e.recentLatencies[shard]...)
	e.sorted = list
	if len(list) < minReplies {
		return 0
	}
	slices.Sort(list)
	return list[int(e.percentile*float64(len(list)))]
}

const (
	// leafAverageWeight makes a leaf's average follow about its last 16
	// requests.
	leafAverageWeight = 1.0 / 16
	// slowLeafRatio is above the ratio of about 1.8 that the network delay
	// between availability zones causes by itself.
	slowLeafRatio = 2.5
)

// observeLeaf records how long a request to a leaf took, or how long its reply
// was waited for.
func (e *latencyEstimates) observeLeaf(id topology.LeafID, took time.Duration) {
	old, ok := e.leafAverages[id]
	if !ok {
		e.leafAverages[id] = took
		return
	}
	e.leafAverages[id] = old + time.Duration(leafAverageWeight*float64(took-old))
}

// slow reports whether the average latency of a leaf is more than slowLeafRatio
// times that of another leaf of its shard.
func (e *latencyEstimates) slow(l *leaf, siblings []*leaf) bool {
	own := e.leafAverages[l.id]
	for _, sibling := range siblings {
		other, ok := e.leafAverages[sibling.id]
		if ok && float64(own) > slowLeafRatio*float64(other) {
			return true
		}
	}
	return false
}
