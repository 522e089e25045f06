package query

import (
	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// maxCandidates is the number of candidates per shard that a query considers: the
// bits of shardState.tried. Further candidates are ignored.
const maxCandidates = 64

// ShardPlan is one shard of a plan with the leaves that serve it.
type ShardPlan struct {
	Shard  topology.ShardID
	Weight uint64
	// Candidates are in order of preference.
	Candidates []Candidate
	// UnavailableReason is reported for the shard if there are no candidates.
	UnavailableReason errs.Reason
}
