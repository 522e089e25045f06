package relay

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// leafResult is the outcome of one request to a leaf.
type leafResult struct {
	boot     uint64
	shard    topology.ShardID
	snapshot topology.Snapshot
	hits     []message.Hit
	result   []byte
	runTime  time.Duration
	err      *errs.Error
	// reset is true if the connection was lost or could not be opened, and the
	// request was neither cancelled nor past its deadline.
	reset bool
	// unsent is true if the request failed before its headers were written.
	unsent bool
}

// snapshotRetired reports whether the leaf no longer serves the snapshot of a search.
func (r *leafResult) snapshotRetired(pinned topology.Snapshot) bool {
	if r.err != nil {
		return r.err.Reason == errs.ReasonVersionRetired
	}
	return r.result == nil && r.snapshot != pinned
}
