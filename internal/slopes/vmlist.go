package slopes

import (
	"fmt"
	"slices"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// VMList returns version 1 of the VM list of a deployment.
func VMList(s Size) topology.VMView {
	view := topology.VMView{Version: 1}
	for i := range s.VMs {
		view.VMs = append(view.VMs, NewVM(i, s.Zones))
	}
	return view
}

// NewVM returns VM number i. Consecutive VMs are in different zones.
func NewVM(i, zones int) topology.VM {
	host := fmt.Sprintf("10.200.%d.%d", i>>8&255, i&255)
	return topology.VM{
		ID: topology.VMID(fmt.Sprintf("vm-%05d", i)), Zone: zoneName(i % zones),
		EntryAddress: host + ":7401", RelayAddress: host + ":7402", AgentAddress: host + ":7403",
		AdminAddresses: []string{host + ":7411", host + ":7412", host + ":7413"},
	}
}

// ReplaceVM returns the next version of a list, in which one VM is replaced by a
// new one.
func ReplaceVM(view topology.VMView, zones int) topology.VMView {
	next := topology.VMView{Version: view.Version + 1, VMs: slices.Clone(view.VMs)}
	i := int(next.Version) % len(next.VMs)
	next.VMs[i] = NewVM(i+len(next.VMs)*int(next.Version), zones)
	return next
}
