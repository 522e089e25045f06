package coldlease

import "github.com/medlarswitch/medlarswitch/internal/topology"

// ViewChanged reports the VMs of this availability zone in a newer VM list,
// including those that are leaving. Versions that are not newer are ignored.
type ViewChanged struct {
	Version uint64
	VMs     []topology.VMID
}

func (ViewChanged) event() {}
