package query

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Send asks a leaf for its part of the answer.
type Send struct {
	// Attempt numbers the sends of one query from 1.
	Attempt  uint64
	Shard    topology.ShardID
	Leaf     topology.LeafID
	Snapshot topology.Snapshot
	// StartBy is the time after which the leaf must not start the request.
	StartBy time.Duration
	Kind    Kind
	// RepeatOf is the open attempt that the send repeats in the same leaf, or 0.
	// It is of use only while that attempt runs, so the leaf's queue holds it
	// until then.
	RepeatOf uint64
}

func (Send) isAction() {}
