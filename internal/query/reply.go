package query

import "github.com/medlarswitch/medlarswitch/internal/topology"

// Reply is a leaf's answer. The shell keeps the hits under the attempt's number
// and takes them into the answer only on a Merge action.
type Reply struct {
	Attempt uint64
	// Leaf, Shard and Snapshot are as the reply states them.
	Leaf     topology.LeafID
	Shard    topology.ShardID
	Snapshot topology.Snapshot
	// Hits is the number of hits; a reply without hits covers its shard.
	Hits int
}

func (Reply) isEvent() {}
