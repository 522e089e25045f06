package topology

import "time"

// Index is a set of shards that are queried together, with the limits that apply
// to each of its leaves.
type Index struct {
	ID IndexID
	// PartitionGeneration increases with each repartitioning.
	PartitionGeneration uint64
	// Slots is the number of requests that a warm leaf runs concurrently.
	Slots int
	// Connections is the number of connections that a leaf accepts.
	Connections int
	// RunLimit is the longest time that a request may run in a leaf.
	RunLimit time.Duration
	Shards   []*Shard
}
