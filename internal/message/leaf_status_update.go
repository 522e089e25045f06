package message

import "github.com/medlarswitch/medlarswitch/internal/topology"

// LeafStatusUpdate is sent by a relay on each change, and without content once
// a second as a keepalive. A receiver that misses an update requests a full one.
type LeafStatusUpdate struct {
	// Version increases by one with each update that has content.
	Version uint64 `msgpack:"v"`
	// Full is true when Statuses lists all leaves of the relay.
	Full     bool              `msgpack:"a,omitempty"`
	Statuses []LeafStatus      `msgpack:"f,omitempty"`
	Removed  []topology.LeafID `msgpack:"g,omitempty"`
	// Draining is true from the start of a planned stop. The rank-2 relays take
	// over immediately.
	Draining bool `msgpack:"d,omitempty"`
}

// Empty reports whether the update is only a keepalive.
func (u *LeafStatusUpdate) Empty() bool {
	return !u.Full && len(u.Statuses) == 0 && len(u.Removed) == 0
}
