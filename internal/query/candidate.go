package query

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Candidate is a leaf that serves a shard.
type Candidate struct {
	Leaf topology.LeafID
	// Warm leaves may receive hedges; cold ones receive first sends, retries and
	// moves only. A hedge goes to another warm leaf or, if there is none, to the
	// leaf of the open attempt.
	Warm bool
	// HedgeAfter is the hedge delay: the observed 95th percentile of this leaf's
	// latency. Zero disables hedges.
	HedgeAfter time.Duration
}
