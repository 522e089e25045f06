package entry

import (
	"github.com/medlarswitch/medlarswitch/internal/query"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// view is an immutable snapshot of the configuration, the VMs and the plans, from
// which requests read.
type view struct {
	topology *topology.Topology
	vms      topology.VMView
	indexes  map[topology.IndexID]*indexView
	// zoneVMs holds the VMs of each zone, among which a leaf's relays are ranked.
	zoneVMs map[topology.Zone][]topology.VM
	// owners caches the relays that are ranked from zoneVMs.
	owners *ownerTable
	// draining holds the relays that are about to stop.
	draining map[topology.VMID]bool
}

// indexView holds the plans of one index.
type indexView struct {
	index *topology.Index
	// plans of a tier differ in the order of equally good leaves, so that queries
	// spread over them, and in the promoted leaf. Empty when no snapshot is served.
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
