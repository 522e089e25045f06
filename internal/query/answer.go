package query

import (
	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Answer states the snapshot, the coverage and the missing shards of a finished
// query.
type Answer struct {
	Snapshot topology.Snapshot
	// CoveredWeight is the weight of the shards with a merged reply, TotalWeight
	// that of all shards of the pinned partition map.
	CoveredWeight, TotalWeight uint64
	// Missing lists the shards without a merged reply, in plan order.
	Missing []Missing
	// Err is set when no reply was merged or the caller disconnected or cancelled.
	Err errs.Reason
}
