package coldlease

import "github.com/medlarswitch/medlarswitch/internal/topology"

// LeafRequestDispatched says that this relay sends a request to a leaf.
type LeafRequestDispatched struct {
	Leaf topology.LeafID
}

// LeafRequestFinished says that such a request can no longer run in the leaf.
type LeafRequestFinished struct {
	Leaf topology.LeafID
}

func (LeafRequestDispatched) event() {}
func (LeafRequestFinished) event()   {}
