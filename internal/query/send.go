package query

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Send requests a shard's hits from a leaf.
type Send struct {
	// Attempt numbers the sends of one query from 1.
	Attempt  uint64
	Shard    topology.ShardID
	Leaf     topology.LeafID
	Snapshot topology.Snapshot
	// StartBy is the time after which the leaf must not start the request.
	StartBy time.Duration
	Kind    Kind
	// RepeatOf is the open attempt at the same leaf that this send duplicates, or 0.
	// The duplicate is useful only while that attempt runs, so the leaf's queue
	// holds it until that attempt has been running for some time.
	RepeatOf uint64
}

func (Send) isAction() {}
