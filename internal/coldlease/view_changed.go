package coldlease

import "github.com/medlarswitch/medlarswitch/internal/topology"

// ViewChanged gives the VMs of this availability zone in a newer VM list,
// leaving ones included. Versions that are not newer are ignored.
type ViewChanged struct {
	Version uint64
	VMs     []topology.VMID
}

func (ViewChanged) event() {}
