package message

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// LeafStatus is what a relay tells entries about a leaf that it owns. It is
// sent on change, and for all leaves when an entry connects.
type LeafStatus struct {
	Leaf   topology.LeafID `msgpack:"l"`
	State  string          `msgpack:"s"`
	Reason string          `msgpack:"r,omitempty"`
	Usable bool            `msgpack:"u"`
	Warm   bool            `msgpack:"w"`
	// Unresponsive says that the leaf accepts requests but does not reply to them, so
	// that other leaves of its shard are to be preferred.
	Unresponsive        bool     `msgpack:"n,omitempty"`
	IndexVersions       []uint64 `msgpack:"v,omitempty"`
	PartitionGeneration uint64   `msgpack:"p"`
	// Boot is the leaf's boot ID, by its last report or reply.
	Boot uint64 `msgpack:"b"`
	// Baseline is the warm latency; 0 unless warm. The rank-2 relay takes it
	// over, so that a failover does not treat a warm leaf as cold.
	Baseline time.Duration `msgpack:"e"`
	// DemotedBoot is the boot ID that last fell to cold by its behaviour.
	DemotedBoot uint64 `msgpack:"f"`
}
