package measure

import (
	"slices"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/latency"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// delayWindow is the number of replies that another percentile is taken from,
// the same as in the latency package.
const delayWindow = 255

// minReplies is the fewest replies that a percentile is taken from.
const minReplies = 20

// delays gives hedge delays from the latency package or, to compare, from
// another percentile of the latest replies.
type delays struct {
	percentile float64
	table      *latency.ShardTable
	leaves     map[topology.LeafID]time.Duration
	recent     map[topology.ShardID][]time.Duration
	// sorted is scratch space of hedgeAfter.
	sorted []time.Duration
}

func newDelays(percentile float64) *delays {
	return &delays{
		percentile: percentile, table: latency.NewShardTable(),
		leaves: make(map[topology.LeafID]time.Duration),
		recent: make(map[topology.ShardID][]time.Duration),
	}
}

func (d *delays) observe(shard topology.ShardID, took time.Duration) {
	if d.percentile == 0 {
		d.table.Observe(shard, took)
		return
	}
	list := append(d.recent[shard], took)
	if len(list) > delayWindow {
		list = list[1:]
	}
	d.recent[shard] = list
}

func (d *delays) hedgeAfter(shard topology.ShardID) time.Duration {
	if d.percentile == 0 {
		after, _ := d.table.HedgeDelay(shard)
		return after
	}
	list := append(d.sorted[:0], d.recent[shard]...)
	d.sorted = list
	if len(list) < minReplies {
		return 0
	}
	slices.Sort(list)
	return list[int(d.percentile*float64(len(list)))]
}

const (
	// leafWeight makes a leaf's average follow about its last 16 requests.
	leafWeight = 1.0 / 16
	// slowRatio is above the ratio that the delay between availability zones
	// alone makes, about 1.8.
	slowRatio = 2.5
)

// observeLeaf takes in how long a request to a leaf took or was waited for.
func (d *delays) observeLeaf(id topology.LeafID, took time.Duration) {
	old, ok := d.leaves[id]
	if !ok {
		d.leaves[id] = took
		return
	}
	d.leaves[id] = old + time.Duration(leafWeight*float64(took-old))
}

// slow reports whether a leaf is much slower than another of its shard.
func (d *delays) slow(l *leaf, siblings []*leaf) bool {
	own := d.leaves[l.id]
	for _, o := range siblings {
		other, ok := d.leaves[o.id]
		if ok && float64(own) > slowRatio*float64(other) {
			return true
		}
	}
	return false
}
