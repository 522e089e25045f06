package coldlease

import "github.com/medlarswitch/medlarswitch/internal/topology"

// Ack is the reply to a Request. It names the leaves that the sender promises to
// the requester, possibly none, and shows that the sender is running and which
// version of the VM list it uses.
type Ack struct {
	Nonce uint64 `msgpack:"n"`
	// Requester is the boot that sent the request. An acknowledgement for an
	// earlier boot is ignored, since nonces repeat between boots.
	Requester   topology.BootID   `msgpack:"b"`
	ListVersion uint64            `msgpack:"v"`
	Leaves      []topology.LeafID `msgpack:"l,omitempty"`
}
