package query

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Candidate is a leaf that may answer for a shard.
type Candidate struct {
	Leaf topology.LeafID
	// Warm leaves may get hedges; others get first sends and retries only. A
	// hedge goes to another warm leaf, or else to the one that is asked already.
	Warm bool
	// HedgeAfter is how long to wait for this leaf before a hedge: the
	// observed 95th percentile of its latency. Zero means never.
	HedgeAfter time.Duration
}
