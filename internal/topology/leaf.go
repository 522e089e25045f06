package topology

// Leaf is one upstream server that holds a replica of a shard.
type Leaf struct {
	ID      LeafID
	Shard   ShardID
	Index   IndexID
	Zone    Zone
	Address string
}
