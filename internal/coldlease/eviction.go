package coldlease

import "github.com/medlarswitch/medlarswitch/internal/topology"

// Eviction is an entry of the store object evictions/<zone>. It excludes one
// boot of a VM from leases.
type Eviction struct {
	VM   topology.VMID   `msgpack:"i"`
	Boot topology.BootID `msgpack:"b"`
	// By is the evictor, whose acknowledgement the evicted VM needs. The entry
	// has no effect for a VM whose list does not name By.
	By topology.VMID `msgpack:"e"`
}
