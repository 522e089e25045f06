package message

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// LeafReply is the reply to a LeafRequest.
type LeafReply struct {
	Leaf topology.LeafID `msgpack:"l"`
	// Shard and Snapshot are those that the leaf reports in its reply.
	Shard    topology.ShardID  `msgpack:"h"`
	Snapshot topology.Snapshot `msgpack:"n"`
	Hits     []Hit             `msgpack:"i,omitempty"`
	Result   []byte            `msgpack:"r,omitempty"`
	Failure  *Failure          `msgpack:"f,omitempty"`
	// Crash is true when the connection to the leaf was lost while the request
	// ran.
	Crash bool `msgpack:"x,omitempty"`
	// RunTime is how long the leaf took, excluding the wait in the relay's queue.
	RunTime time.Duration `msgpack:"t"`
}
