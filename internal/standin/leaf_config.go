package standin

import "time"

// LeafConfig describes one upstream leaf.
type LeafConfig struct {
	ID      string
	Shard   string
	Zone    string
	Address string
	// Slots is the number of requests that run at a time when warm.
	Slots int
	// Connections is the number of open connections that are accepted.
	Connections int
	// Latency is the run time of a request when warm; a cold leaf takes
	// coldSlowdown times as long.
	Latency time.Duration
	// WarmAfter is the number of served requests after which a leaf is warm.
	// 0: it starts warm.
	WarmAfter int
	// IndexVersions that are served, ascending.
	IndexVersions       []uint64
	PartitionGeneration uint64
	// Hits is the number of hits in each reply.
	Hits int
}
