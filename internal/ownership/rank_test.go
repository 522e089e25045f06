package ownership

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

func vms(n int) []topology.VM {
	out := make([]topology.VM, n)
	for i := range out {
		out[i].ID = topology.VMID(fmt.Sprintf("vm-%03d", i))
	}
	return out
}

// Guards against a membership change that moves leaves between VMs that remain.
func TestRemovingAVMMovesOnlyItsLeaves(t *testing.T) {
	all := vms(9)
	rest := all[1:]
	for i := range 2000 {
		leaf := topology.LeafID(fmt.Sprintf("leaf-%d", i))
		before, after := Owners(leaf, all), Owners(leaf, rest)
		if before[0].ID != all[0].ID {
			assert.Equal(t, before[0].ID, after[0].ID)
			continue
		}
		assert.Equal(t, before[1].ID, after[0].ID)
	}
}

// Guards against a VM that owns far more or far fewer leaves than the others.
func TestLeavesSpreadEvenly(t *testing.T) {
	counts := map[topology.VMID]int{}
	for i := range 9000 {
		counts[Owners(topology.LeafID(fmt.Sprintf("leaf-%d", i)), vms(9))[0].ID]++
	}
	for id, n := range counts {
		assert.Assert(t, n > 800 && n < 1200, "%s owns %d of 9000 leaves", id, n)
	}
}

// Guards against leaves that are owned by a leaving VM although others remain, and
// against leaves without an owner while all VMs of a zone are leaving.
func TestLeavingVMsOwnLeavesOnlyWhenAlone(t *testing.T) {
	all := vms(3)
	all[0].Leaving = true
	for i := range 300 {
		for _, vm := range Owners(topology.LeafID(fmt.Sprintf("leaf-%d", i)), all) {
			assert.Assert(t, !vm.Leaving)
		}
	}
	assert.Equal(t, len(Owners("leaf", all[:1])), 1)
}
