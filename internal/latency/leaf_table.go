package latency

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

const (
	// leafAverageWeight makes a leaf's average follow about its last 16
	// requests.
	leafAverageWeight = 1.0 / 16
	// slowLeafRatio is above the ratio of about 1.8 that the network delay
	// between availability zones causes by itself.
	slowLeafRatio = 2.5
)

// LeafTable holds the average latency of each leaf, to detect a leaf that is
// much slower than the others of its shard. It is not safe for concurrent use.
type LeafTable struct {
	averages map[topology.LeafID]time.Duration
}

// NewLeafTable returns an empty table.
func NewLeafTable() *LeafTable {
	return &LeafTable{averages: make(map[topology.LeafID]time.Duration)}
}

// Observe records how long a request to a leaf took, or, if it got no reply, how
// long the caller waited for one.
func (l *LeafTable) Observe(leaf topology.LeafID, took time.Duration) {
	old, ok := l.averages[leaf]
	if !ok {
		l.averages[leaf] = took
		return
	}
	l.averages[leaf] = old + time.Duration(leafAverageWeight*float64(took-old))
}

// Slow reports whether the average latency of a leaf is more than slowLeafRatio
// times that of another leaf of its shard.
func (l *LeafTable) Slow(leaf *topology.Leaf, siblings []*topology.Leaf) bool {
	own := float64(l.averages[leaf.ID])
	for _, other := range siblings {
		average, ok := l.averages[other.ID]
		if ok && own > slowLeafRatio*float64(average) {
			return true
		}
	}
	return false
}

// Retain removes the leaves that are not in keep.
func (l *LeafTable) Retain(keep map[topology.LeafID]*topology.Leaf) {
	for id := range l.averages {
		if _, ok := keep[id]; !ok {
			delete(l.averages, id)
		}
	}
}
