package message

import "github.com/medlarswitch/medlarswitch/internal/topology"

// LeafFactsUpdate is what a relay sends on each change, and without content
// once a second as a sign of life. A receiver that misses one asks for all.
type LeafFactsUpdate struct {
	// Version rises by one with each update that has content.
	Version uint64 `msgpack:"v"`
	// Full is true when Facts names all leaves of the relay.
	Full  bool              `msgpack:"a,omitempty"`
	Facts []LeafFacts       `msgpack:"f,omitempty"`
	Gone  []topology.LeafID `msgpack:"g,omitempty"`
	// Draining is true from the start of a planned stop. The rank-2 relays
	// take over at once.
	Draining bool `msgpack:"d,omitempty"`
}

// Empty reports whether the update is a sign of life only.
func (u *LeafFactsUpdate) Empty() bool { return !u.Full && len(u.Facts) == 0 && len(u.Gone) == 0 }
