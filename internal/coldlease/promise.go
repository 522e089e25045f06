package coldlease

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// promise is the obligation of an acknowledgement that this VM has sent. Until it
// expires or is released, this VM acknowledges the leaf to no other boot and does
// not hold its lease.
type promise struct {
	vm    topology.VMID
	boot  topology.BootID
	nonce uint64
	until time.Duration
}
