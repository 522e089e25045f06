package message

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// LeafReply answers a LeafRequest.
type LeafReply struct {
	Leaf topology.LeafID `msgpack:"l"`
	// Shard and Snapshot are what the leaf says it served.
	Shard    topology.ShardID  `msgpack:"h"`
	Snapshot topology.Snapshot `msgpack:"n"`
	Hits     []Hit             `msgpack:"i,omitempty"`
	Result   []byte            `msgpack:"r,omitempty"`
	Failure  *Failure          `msgpack:"f,omitempty"`
	// Crash is true when the connection was lost while the request ran.
	Crash bool `msgpack:"x,omitempty"`
	// RunTime is how long the leaf took, without the relay's queue.
	RunTime time.Duration `msgpack:"t"`
}
