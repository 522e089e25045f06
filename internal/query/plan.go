package query

import "github.com/medlarswitch/medlarswitch/internal/topology"

// Plan lists the shards of a snapshot and their candidate leaves. The snapshot is
// pinned until a restart. A Machine does not modify its plan. Shards are distinct
// and the sum of their weights fits in a uint64.
type Plan struct {
	Snapshot topology.Snapshot
	Shards   []ShardPlan
}
