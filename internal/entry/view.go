package entry

import (
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
	// owners keeps the ranks of zoneVMs.
	owners *ownerTable
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
	owners := v.owners.get(leaf.ID, v.zoneVMs[leaf.Zone])
	out := make([]string, 0, len(owners))
	for _, last := range []bool{false, true} {
		for _, o := range owners {
			if v.draining[o.vm] == last {
				out = append(out, o.address)
			}
		}
	}
	return out
}

func emptyView() *view {
	return &view{indexes: map[topology.IndexID]*indexView{}, zoneVMs: map[topology.Zone][]topology.VM{}, owners: newOwnerTable()}
}
