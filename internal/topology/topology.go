package topology

import "time"

// ZoneState is the state of an availability zone as operators have set it.
type ZoneState struct {
	Name   Zone
	Region string
	// OutOfService is true from the edit that takes the zone out of service until
	// the edit that returns it to service.
	OutOfService bool
}

// Topology describes the whole service as of one generation.
type Topology struct {
	// Generation is the number of the accepted configuration. It only increases.
	Generation uint64
	Zones      map[Zone]ZoneState
	Indexes    map[IndexID]*Index
	Classes    map[ClassID]*Class
	Shards     map[ShardID]*Shard
	Leaves     map[LeafID]*Leaf
}

// InService reports whether requests may be sent to a zone. An unknown zone is not
// in service.
func (t *Topology) InService(z Zone) bool {
	state, ok := t.Zones[z]
	return ok && !state.OutOfService
}

// RunLimit returns the longest time that a request may run in a leaf.
func (t *Topology) RunLimit(l *Leaf) time.Duration {
	return t.Indexes[l.Index].RunLimit
}
