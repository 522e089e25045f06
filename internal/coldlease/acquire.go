package coldlease

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Acquire starts acquiring the lease of a leaf and renews it until Release.
// RunLimit is the longest time that a request may run in the leaf.
type Acquire struct {
	Leaf     topology.LeafID
	RunLimit time.Duration
}

// Release gives the lease of a leaf up. Held is false from then on.
type Release struct {
	Leaf topology.LeafID
}

func (Acquire) event() {}
func (Release) event() {}
