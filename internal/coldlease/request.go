package coldlease

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Request is the message that asks a peer to acknowledge the leases of leaves.
type Request struct {
	// Nonce increases with each request of a boot.
	Nonce uint64 `msgpack:"n"`
	// ListVersion is the version of the VM list that the sender uses.
	ListVersion uint64          `msgpack:"v"`
	Leaves      []RequestedLeaf `msgpack:"l,omitempty"`
	// Released are leaves for which the sender releases all promises that were
	// made for lower nonces.
	Released []topology.LeafID `msgpack:"r,omitempty"`
}

// RequestedLeaf is one leaf whose lease is requested.
type RequestedLeaf struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`

	Leaf topology.LeafID
	// RunLimitMS is the run limit of the sender's requests in milliseconds,
	// rounded up.
	RunLimitMS uint32
}

func (l RequestedLeaf) runLimit() time.Duration {
	return time.Duration(l.RunLimitMS) * time.Millisecond
}

func newRequestedLeaf(leaf topology.LeafID, runLimit time.Duration) RequestedLeaf {
	return RequestedLeaf{Leaf: leaf, RunLimitMS: uint32((runLimit + time.Millisecond - 1) / time.Millisecond)}
}
