package query

import "github.com/medlarswitch/medlarswitch/internal/topology"

// Budget limits hedges, retries and moves over all queries.
type Budget interface {
	// TrySpend charges one send of the given kind to the budget and reports whether
	// the budget allowed it. The machine performs every send that is allowed.
	TrySpend(shard topology.ShardID, kind Kind) bool
}
