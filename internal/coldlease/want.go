package coldlease

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Want says that this relay would serve a cold leaf. RunLimit is the longest
// time a request may run in it.
type Want struct {
	Leaf     topology.LeafID
	RunLimit time.Duration
}

// Unwant ends Want. Held is false from then on.
type Unwant struct {
	Leaf topology.LeafID
}

func (Want) event()   {}
func (Unwant) event() {}
