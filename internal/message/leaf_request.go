package message

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// LeafRequest asks a relay to run a request in a leaf that it owns. The shard
// and the pinned snapshot are in the envelope.
type LeafRequest struct {
	Leaf      topology.LeafID  `msgpack:"l"`
	Op        Op               `msgpack:"o"`
	RequestID string           `msgpack:"q"`
	Class     topology.ClassID `msgpack:"c"`
	// Priority orders the leaf's queue; 0 goes first.
	Priority int `msgpack:"p"`
	// Repeat says that the request repeats an open one of the same RequestID
	// in the same leaf.
	Repeat  bool   `msgpack:"r,omitempty"`
	Text    string `msgpack:"t,omitempty"`
	Payload []byte `msgpack:"y,omitempty"`
	// StartBy is the time left in which the leaf may start the request.
	StartBy time.Duration `msgpack:"s"`
	// Deadline is the time left until nobody waits for the reply.
	Deadline time.Duration `msgpack:"d"`
}
