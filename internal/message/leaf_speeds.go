package message

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/leafspeed"
	"github.com/medlarswitch/medlarswitch/internal/outage"
)

// LeafSpeeds carries findings about slow leaves, and of the store, between VMs, both as a
// request and as the reply to it.
type LeafSpeeds struct {
	Findings []leafspeed.Finding `msgpack:"f,omitempty"`
	// Since is a time on the replying VM's clock. In a request it is the time up
	// to which the requester already has the peer's findings; in a reply it is
	// the current time, for the next request.
	Since time.Duration `msgpack:"s,omitempty"`
	// Store is what the VM states of the store's outages.
	Store outage.State `msgpack:"o,omitempty"`
}
