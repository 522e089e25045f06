package relay

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// leafResult is what a leaf made of one request.
type leafResult struct {
	boot     uint64
	shard    topology.ShardID
	snapshot topology.Snapshot
	hits     []message.Hit
	result   []byte
	runTime  time.Duration
	err      *errs.Error
	// reset is true when the connection was lost while the request ran.
	reset bool
	// unsent is true when nothing of the request was written.
	unsent bool
}

// snapshotRetired reports whether the leaf no longer serves the snapshot of a search.
func (r *leafResult) snapshotRetired(pinned topology.Snapshot) bool {
	if r.err != nil {
		return r.err.Reason == errs.ReasonVersionRetired
	}
	return r.result == nil && r.snapshot != pinned
}
