package query

import "github.com/medlarswitch/medlarswitch/internal/topology"

// Reply is the successful response of a leaf. The shell stores the hits by attempt
// and adds them to the answer only on a Merge action.
type Reply struct {
	Attempt uint64
	// Leaf, Shard and Snapshot are copied from the reply.
	Leaf     topology.LeafID
	Shard    topology.ShardID
	Snapshot topology.Snapshot
	// Hits is the number of hits. A reply without hits also covers its shard.
	Hits int
}

func (Reply) isEvent() {}
