package quarantine

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// LossReport is the message that reports to other VMs one crash-like loss or, if Cleared is
// true, that an upstream has replied to the request.
type LossReport struct {
	Class       topology.ClassID `msgpack:"c"`
	Fingerprint uint64           `msgpack:"f"`
	// Origin and Seq identify the loss. Seq increases with each loss of an
	// origin.
	Origin uint64 `msgpack:"o"`
	Seq    uint64 `msgpack:"s"`
	// Remaining is how long the loss stays active. It is a duration, since the
	// clocks of VMs differ and an absolute time would mean different moments.
	Remaining time.Duration `msgpack:"r"`
	// Blocked is true if the fingerprint is in quarantine for Remaining.
	Blocked bool `msgpack:"q"`
	// Ran is how long the request had run when the upstream was lost.
	Ran time.Duration `msgpack:"d,omitempty"`
	// Cleared is true if an upstream has replied. The losses before the reply do not count.
	Cleared bool `msgpack:"e,omitempty"`
}
