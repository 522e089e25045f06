package message

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/leafspeed"
)

// LeafSpeeds exchanges findings about slow leaves between VMs, in both
// directions.
type LeafSpeeds struct {
	Findings []leafspeed.Finding `msgpack:"f,omitempty"`
	// Since is the time of the answering VM up to which the asking one has its
	// findings; the answer states its time now.
	Since time.Duration `msgpack:"s,omitempty"`
}
