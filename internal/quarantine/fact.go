package quarantine

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// LossReport is one crash-like loss as it is spread between VMs.
type LossReport struct {
	Class       topology.ClassID `msgpack:"c"`
	Fingerprint uint64           `msgpack:"f"`
	// Origin and Seq identify the loss. Seq rises with each loss of an origin.
	Origin uint64 `msgpack:"o"`
	Seq    uint64 `msgpack:"s"`
	// Remaining is how long the loss still counts. Clocks of VMs differ, so
	// an absolute time would mean different moments.
	Remaining time.Duration `msgpack:"r"`
	// Blocked reports that the fingerprint is in quarantine for Remaining.
	Blocked bool `msgpack:"q"`
}
