package message

import (
	"github.com/medlarswitch/medlarswitch/internal/coldlease"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// LeaseRequest requests another relay's acknowledgement of leases. Boot
// identifies the current run of the sender's lease state machine, which restarts
// when the relay is evicted.
type LeaseRequest struct {
	Boot    topology.BootID   `msgpack:"b"`
	Request coldlease.Request `msgpack:"r"`
}

// LeaseAck is the reply to a LeaseRequest.
type LeaseAck struct {
	Boot topology.BootID `msgpack:"b"`
	Ack  coldlease.Ack   `msgpack:"a"`
}

// EvictionsCall asks the agent to read a zone's evictions from the store. With
// Replace, the agent first writes Evictions, provided that the stored version is
// still IfVersion.
type EvictionsCall struct {
	Zone      topology.Zone        `msgpack:"z"`
	Replace   bool                 `msgpack:"r"`
	Evictions []coldlease.Eviction `msgpack:"e,omitempty"`
	IfVersion uint64               `msgpack:"v"`
}

// EvictionsAnswer carries the evictions in the store and their version. OK is
// false when the store could not be read.
type EvictionsAnswer struct {
	OK        bool                 `msgpack:"o"`
	Evictions []coldlease.Eviction `msgpack:"e,omitempty"`
	Version   uint64               `msgpack:"v"`
}
