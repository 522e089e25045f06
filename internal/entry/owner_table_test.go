package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Guards against requests that go to the relays of an earlier VM list, or of the
// zone to which a leaf belonged before an edit.
func TestRelaysFollowTheVMListAndTheTopology(t *testing.T) {
	b := newViewBuilder("vm-1", "a", noHedges{}, func() time.Duration { return 0 }, func(*view) {})
	leafIn := func(generation uint64, zone topology.Zone) *topology.Leaf {
		leaf := &topology.Leaf{ID: "leaf", Zone: zone}
		b.setTopology(&topology.Topology{Generation: generation, Leaves: map[topology.LeafID]*topology.Leaf{"leaf": leaf}})
		return leaf
	}
	list := func(version uint64, vms ...topology.VM) { b.setVMs(topology.VMView{Version: version, VMs: vms}) }
	one := topology.VM{ID: "vm-1", Zone: "a", RelayAddress: "one"}
	two := topology.VM{ID: "vm-2", Zone: "a", RelayAddress: "two"}
	three := topology.VM{ID: "vm-3", Zone: "b", RelayAddress: "three"}

	leaf := leafIn(1, "a")
	list(1, one, three)
	old := b.current
	assert.DeepEqual(t, old.relays(leaf), []string{"one"})
	assert.DeepEqual(t, old.relays(leaf), []string{"one"})
	list(2, two, three)
	assert.DeepEqual(t, b.current.relays(leaf), []string{"two"})
	assert.DeepEqual(t, old.relays(leaf), []string{"one"})
	leaf = leafIn(2, "b")
	assert.DeepEqual(t, b.current.relays(leaf), []string{"three"})
}
