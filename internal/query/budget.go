package query

import "github.com/medlarswitch/medlarswitch/internal/topology"

// Budget limits hedges, retries and moves over all queries.
type Budget interface {
	// TrySpend takes one send of the kind to a shard from the budget and reports
	// whether there was room. A granted send always follows.
	TrySpend(shard topology.ShardID, kind Kind) bool
}
