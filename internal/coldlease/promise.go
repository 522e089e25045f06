package coldlease

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// promise is an acknowledgement that this VM gave. Until it ends, the VM
// acknowledges the leaf to nobody else and does not hold its lease.
type promise struct {
	vm    topology.VMID
	boot  topology.BootID
	nonce uint64
	until time.Duration
}
