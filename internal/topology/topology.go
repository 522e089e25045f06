package topology

import "time"

// ZoneState is what operators say of an availability zone.
type ZoneState struct {
	Name   Zone
	Region string
	// OutOfService is true from the edit that takes the zone out to the one that
	// brings it back.
	OutOfService bool
}

// Topology is the whole service as one generation describes it.
type Topology struct {
	// Generation numbers accepted configurations; it only rises.
	Generation uint64
	Zones      map[Zone]ZoneState
	Indexes    map[IndexID]*Index
	Classes    map[ClassID]*Class
	Shards     map[ShardID]*Shard
	Leaves     map[LeafID]*Leaf
}

// InService reports whether work may go to a zone. Unknown zones get none.
func (t *Topology) InService(z Zone) bool {
	state, ok := t.Zones[z]
	return ok && !state.OutOfService
}

// RunLimit returns the longest time a request may run in a leaf.
func (t *Topology) RunLimit(l *Leaf) time.Duration {
	return t.Indexes[l.Index].RunLimit
}
