package measure

import (
	"slices"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/latency"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// delayWindow is the number of replies that another percentile is taken from,
// the same as in the latency package.
const percentileWindow = 255

// minReplies is the fewest replies that a percentile is taken from.
const minReplies = 20

// delays gives hedge delays from the latency package or, to compare, from
// another percentile of the latest replies.
type latencyEstimates struct {
	percentile      float64
	shardTable      *latency.ShardTable
	leafAverages    map[topology.LeafID]time.Duration
	recentLatencies map[topology.ShardID][]time.Duration
	// sorted is scratch space of hedgeAfter.
	sorted []time.Duration
}

func newLatencyEstimates(percentile float64) *latencyEstimates {
	return &latencyEstimates{
		percentile: percentile, shardTable: latency.NewShardTable(),
		leafAverages:    make(map[topology.LeafID]time.Duration),
		recentLatencies: make(map[topology.ShardID][]time.Duration),
	}
}

func (d *latencyEstimates) observeShard(shard topology.ShardID, took time.Duration) {
	if d.percentile == 0 {
		d.shardTable.Observe(shard, took)
		return
	}
	list := append(d.recentLatencies[shard], took)
	if len(list) > percentileWindow {
		list = list[1:]
	}
	d.recentLatencies[shard] = list
}

func (d *latencyEstimates) hedgeDelay(shard topology.ShardID) time.Duration {
	if d.percentile == 0 {
		after, _ := d.shardTable.HedgeDelay(shard)
		return after
	}
	list := append(d.sorted[:0], d.recentLatencies[shard]...)
	d.sorted = list
	if len(list) < minReplies {
		return 0
	}
	slices.Sort(list)
	return list[int(d.percentile*float64(len(list)))]
}

const (
	// leafWeight makes a leaf's average follow about its last 16 requests.
	leafAverageWeight = 1.0 / 16
	// slowRatio is above the ratio that the delay between availability zones
	// alone makes, about 1.8.
	slowLeafRatio = 2.5
)

// observeLeaf takes in how long a request to a leaf took or was waited for.
func (d *latencyEstimates) observeLeaf(id topology.LeafID, took time.Duration) {
	old, ok := d.leafAverages[id]
	if !ok {
		d.leafAverages[id] = took
		return
	}
	d.leafAverages[id] = old + time.Duration(leafAverageWeight*float64(took-old))
}

// slow reports whether a leaf is much slower than another of its shard.
func (d *latencyEstimates) slow(l *leaf, siblings []*leaf) bool {
	own := d.leafAverages[l.id]
	for _, o := range siblings {
		other, ok := d.leafAverages[o.id]
		if ok && float64(own) > slowLeafRatio*float64(other) {
			return true
		}
	}
	return false
}
