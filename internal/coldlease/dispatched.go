package coldlease

import "github.com/medlarswitch/medlarswitch/internal/topology"

// Dispatched says that this relay sends a request to a leaf.
type Dispatched struct {
	Leaf topology.LeafID
}

// Ended says that such a request can no longer run in the leaf.
type Ended struct {
	Leaf topology.LeafID
}

func (Dispatched) event() {}
func (Ended) event()      {}
