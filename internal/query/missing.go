package query

import (
	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Missing is a shard that the answer does not cover.
type Missing struct {
	Shard  topology.ShardID
	Reason errs.Reason
}
