package coldlease

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Acquire says that this relay would serve a cold leaf. RunLimit is the longest
// time a request may run in it.
type Acquire struct {
	Leaf     topology.LeafID
	RunLimit time.Duration
}

// Release ends Acquire. Held is false from then on.
type Release struct {
	Leaf topology.LeafID
}

func (Acquire) event() {}
func (Release) event() {}
