package query

import (
	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Answer is what the merged replies cover.
type Answer struct {
	Snapshot topology.Snapshot
	// Covered and Total are weights of the pinned partition map.
	Covered, Total uint64
	// Missing names the shards without a merged reply, in plan order.
	Missing []Missing
	// Err is set when no reply was merged or the caller is gone.
	Err errs.Reason
}
