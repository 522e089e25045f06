package message

import (
	"github.com/medlarswitch/medlarswitch/internal/coldlease"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// LeaseRequest asks another relay for its acknowledgement. Boot is the boot of
// the sender's lease machine, which starts anew when it is evicted.
type LeaseRequest struct {
	Boot    topology.BootID   `msgpack:"b"`
	Request coldlease.Request `msgpack:"r"`
}

// LeaseAck answers a LeaseRequest.
type LeaseAck struct {
	Boot topology.BootID `msgpack:"b"`
	Ack  coldlease.Ack   `msgpack:"a"`
}

// EvictionsCall asks the agent to read a zone's evictions from the store, or
// to replace them first if they still have a version.
type EvictionsCall struct {
	Zone      topology.Zone        `msgpack:"z"`
	Replace   bool                 `msgpack:"r"`
	Evictions []coldlease.Eviction `msgpack:"e,omitempty"`
	IfVersion uint64               `msgpack:"v"`
}

// EvictionsAnswer is what the store holds. OK is false when it did not answer.
type EvictionsAnswer struct {
	OK        bool                 `msgpack:"o"`
	Evictions []coldlease.Eviction `msgpack:"e,omitempty"`
	Version   uint64               `msgpack:"v"`
}
