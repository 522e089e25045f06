package message

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// LeafStatus is a relay's report of the state of a leaf that it owns. It is
// sent to entries and other relays on each change, and for all leaves when a
// peer connects.
type LeafStatus struct {
	Leaf   topology.LeafID `msgpack:"l"`
	State  string          `msgpack:"s"`
	Reason string          `msgpack:"r,omitempty"`
	Usable bool            `msgpack:"u"`
	Warm   bool            `msgpack:"w"`
	// Unresponsive is true when the leaf accepts requests but does not reply to
	// them. Entries then prefer other leaves of its shard.
	Unresponsive        bool     `msgpack:"n,omitempty"`
	IndexVersions       []uint64 `msgpack:"v,omitempty"`
	PartitionGeneration uint64   `msgpack:"p"`
	// Boot is the boot ID from the leaf's last report or reply.
	Boot uint64 `msgpack:"b"`
	// Baseline is the warm latency, or 0 if the leaf is not warm. The rank-2
	// relay adopts it so that it does not treat a warm leaf as cold after a
	// failover.
	Baseline time.Duration `msgpack:"e"`
	// DemotedBoot is the boot ID that last returned to cold without a restart,
	// because of slow replies or failures, or 0.
	DemotedBoot uint64 `msgpack:"f"`
}
