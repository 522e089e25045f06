package coldlease

import "github.com/medlarswitch/medlarswitch/internal/topology"

// Ack is the answer to each request. It names the leaves that are promised,
// possibly none, and shows that the sender runs and which VM list it uses.
type Ack struct {
	Nonce uint64 `msgpack:"n"`
	// Requester is the boot that asked. An acknowledgement for an earlier boot is
	// void, since nonces repeat between boots.
	Requester   topology.BootID   `msgpack:"b"`
	ListVersion uint64            `msgpack:"v"`
	Leaves      []topology.LeafID `msgpack:"l,omitempty"`
}
