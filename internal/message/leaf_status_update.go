package message

import "github.com/medlarswitch/medlarswitch/internal/topology"

// LeafStatusUpdate is what a relay sends on each change, and without content
// once a second as a sign of life. A receiver that misses one asks for all.
type LeafStatusUpdate struct {
	// Version rises by one with each update that has content.
	Version uint64 `msgpack:"v"`
	// Full is true when Facts names all leaves of the relay.
	Full     bool              `msgpack:"a,omitempty"`
	Statuses []LeafStatus      `msgpack:"f,omitempty"`
	Removed  []topology.LeafID `msgpack:"g,omitempty"`
	// Draining is true from the start of a planned stop. The rank-2 relays
	// take over at once.
	Draining bool `msgpack:"d,omitempty"`
}

// Empty reports whether the update is a sign of life only.
func (u *LeafStatusUpdate) Empty() bool {
	return !u.Full && len(u.Statuses) == 0 && len(u.Removed) == 0
}
