package message

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// LeafRequest asks a relay to run a request on a leaf that it owns. The
// envelope carries the shard and the pinned snapshot.
type LeafRequest struct {
	Leaf      topology.LeafID  `msgpack:"l"`
	Op        Op               `msgpack:"o"`
	RequestID string           `msgpack:"q"`
	Class     topology.ClassID `msgpack:"c"`
	// Priority orders the leaf's queue; 0 is the highest priority.
	Priority int `msgpack:"p"`
	// Repeat is true if the request repeats an outstanding one with the same
	// RequestID on the same leaf.
	Repeat  bool   `msgpack:"r,omitempty"`
	Text    string `msgpack:"t,omitempty"`
	Payload []byte `msgpack:"y,omitempty"`
	// StartBy is the remaining time within which the leaf may start the request.
	StartBy time.Duration `msgpack:"s"`
	// Deadline is the remaining time until the entry stops waiting for the reply.
	Deadline time.Duration `msgpack:"d"`
}
