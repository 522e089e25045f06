package coldlease

import "github.com/medlarswitch/medlarswitch/internal/topology"

// Eviction is an entry of the store object evictions/<zone>. It bars one boot
// of a VM from holding leases, so that its acknowledgements are not required.
type Eviction struct {
	VM   topology.VMID   `msgpack:"i"`
	Boot topology.BootID `msgpack:"b"`
	// By is the VM that wrote the entry, the evictor. The evicted VM needs its
	// acknowledgement. The entry has no effect on a VM whose list does not name
	// By.
	By topology.VMID `msgpack:"e"`
}
