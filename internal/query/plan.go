package query

import "github.com/medlarswitch/medlarswitch/internal/topology"

// Plan is the pinned snapshot and what to ask for it. A Machine only reads it.
// Shards are distinct and the sum of their weights fits in a uint64.
type Plan struct {
	Snapshot topology.Snapshot
	Shards   []ShardPlan
}
