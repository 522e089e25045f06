package coldlease

import "github.com/medlarswitch/medlarswitch/internal/topology"

// LeafRequestDispatched reports that this relay is about to send a request to a
// leaf.
type LeafRequestDispatched struct {
	Leaf topology.LeafID
}

// LeafRequestFinished reports that such a request can no longer run in the leaf.
type LeafRequestFinished struct {
	Leaf topology.LeafID
}

func (LeafRequestDispatched) event() {}
func (LeafRequestFinished) event()   {}
