package entry

import (
	"github.com/medlarswitch/medlarswitch/internal/ownership"
	"github.com/medlarswitch/medlarswitch/internal/query"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// view is what requests see of the service. It is immutable.
type view struct {
	topology *topology.Topology
	vms      topology.VMView
	indexes  map[topology.IndexID]*indexView
	// zoneVMs holds the VMs of each zone, to rank relays.
	zoneVMs map[topology.Zone][]topology.VM
	// draining holds the relays that are about to stop.
	draining map[topology.VMID]bool
}

// indexView is one index of a view.
type indexView struct {
	index *topology.Index
	// plans of a tier are equal but for the order of leaves that are equally
	// good, so that queries spread over them. Empty when no snapshot is
	// served.
	plans [tierCount][]query.Plan
}

// relays returns the frame addresses of a leaf's relays, rank 1 first and those
// that are about to stop last.
func (v *view) relays(leaf *topology.Leaf) []string {
	owners := ownership.Owners(leaf.ID, v.zoneVMs[leaf.Zone])
	out := make([]string, 0, len(owners))
	for _, last := range []bool{false, true} {
		for _, vm := range owners {
			if v.draining[vm.ID] == last {
				out = append(out, vm.RelayAddress)
			}
		}
	}
	return out
}

func emptyView() *view {
	return &view{indexes: map[topology.IndexID]*indexView{}, zoneVMs: map[topology.Zone][]topology.VM{}}
}
