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
}

// indexView is one index of a view.
type indexView struct {
	index *topology.Index
	// plans of a tier are equal but for the order of leaves that are equally
	// good, so that queries spread over them. Empty when no snapshot is
	// served.
	plans [tierCount][]query.Plan
}

// relays returns the frame addresses of a leaf's relays, rank 1 first.
func (v *view) relays(leaf *topology.Leaf) []string {
	owners := ownership.Owners(leaf.ID, v.zoneVMs[leaf.Zone])
	out := make([]string, len(owners))
	for i, vm := range owners {
		out[i] = vm.RelayAddress
	}
	return out
}

func emptyView() *view {
	return &view{indexes: map[topology.IndexID]*indexView{}, zoneVMs: map[topology.Zone][]topology.VM{}}
}
