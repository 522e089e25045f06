package relay

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// openLeases grants every lease.
type openLeases struct{}

func (openLeases) Want(topology.LeafID, time.Duration, bool) {}
func (openLeases) Held(now time.Duration, _ topology.LeafID) (time.Duration, bool) {
	return now + time.Second, true
}
func (openLeases) Dispatched(topology.LeafID) {}
func (openLeases) Ended(topology.LeafID)      {}
