package latency

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

const (
	// leafWeight makes a leaf's average follow about its last 16 requests.
	leafWeight = 1.0 / 16
	// slowRatio is above the ratio that the delay between availability zones
	// alone makes, about 1.8.
	slowRatio = 2.5
)

// LeafTable holds the average latency of each leaf, to tell a leaf that is much
// slower than the others of its shard. It is not safe for concurrent use.
type LeafTable struct {
	averages map[topology.LeafID]time.Duration
}

// NewLeafTable returns an empty table.
func NewLeafTable() *LeafTable {
	return &LeafTable{averages: make(map[topology.LeafID]time.Duration)}
}

// Observe takes in how long a request to a leaf took, or was waited for.
func (l *LeafTable) Observe(leaf topology.LeafID, took time.Duration) {
	old, ok := l.averages[leaf]
	if !ok {
		l.averages[leaf] = took
		return
	}
	l.averages[leaf] = old + time.Duration(leafWeight*float64(took-old))
}

// Slow reports whether a leaf is much slower than another of its shard.
func (l *LeafTable) Slow(leaf *topology.Leaf, siblings []*topology.Leaf) bool {
	own := float64(l.averages[leaf.ID])
	for _, other := range siblings {
		average, ok := l.averages[other.ID]
		if ok && own > slowRatio*float64(average) {
			return true
		}
	}
	return false
}

// Retain drops the leaves that are not in keep.
func (l *LeafTable) Retain(keep map[topology.LeafID]*topology.Leaf) {
	for id := range l.averages {
		if _, ok := keep[id]; !ok {
			delete(l.averages, id)
		}
	}
}
