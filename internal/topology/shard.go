package topology

// Shard is one part of an index.
type Shard struct {
	ID    ShardID
	Index IndexID
	// Weight is the shard's share of the data, in any unit that is the same
	// for all shards of the index.
	Weight uint64
	Leaves []*Leaf
}
