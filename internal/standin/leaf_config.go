package standin

import "time"

// LeafConfig describes one upstream leaf.
type LeafConfig struct {
	ID      string
	Shard   string
	Zone    string
	Address string
	// Slots is the number of requests that the leaf runs at a time.
	Slots int
	// Connections is the maximum number of open connections.
	Connections int
	// Latency is the mean run time of a request in a warm leaf, without the tail
	// of slow requests. In a cold leaf it is coldSlowdown times as long.
	Latency time.Duration
	// WarmAfter is the number of completed requests after which the leaf is warm.
	// With 0 it starts warm.
	WarmAfter int
	// IndexVersions lists the versions that the leaf serves, in ascending order.
	IndexVersions       []uint64
	PartitionGeneration uint64
	// Hits is the number of hits in each reply.
	Hits int
}
