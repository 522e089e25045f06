package ownership

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// ranked orders VMs by the hash of the leaf's ID, a zero byte and the VM's ID. All
// versions of the programs have to use this order.
func ranked(leaf topology.LeafID, vms []topology.VM) []topology.VMID {
	score := func(id topology.VMID) uint64 {
		d := xxhash.New()
		_, _ = d.WriteString(string(leaf) + "\x00" + string(id))
		return d.Sum64()
	}
	var ids []topology.VMID
	for _, vm := range vms {
		ids = append(ids, vm.ID)
	}
	slices.SortFunc(ids, func(a, b topology.VMID) int {
		if score(a) > score(b) {
			return -1
		}
		return 1
	})
	return ids
}

// Guards against programs of different versions that rank the same VMs
// differently, also for IDs that exceed the key buffer.
func TestOwnersAreTheHighestHashes(t *testing.T) {
	for _, length := range []int{0, 10, 100, 127, 128, 129, 250, 262, 263, 264, 300} {
		for n := range 20 {
			leaf := topology.LeafID(strings.Repeat("l", length) + fmt.Sprint(n))
			all := vms(n)
			for i := range all {
				all[i].ID += topology.VMID(strings.Repeat("v", i*length/10))
			}
			var got []topology.VMID
			for _, vm := range Owners(leaf, all) {
				got = append(got, vm.ID)
			}
			assert.DeepEqual(t, got, ranked(leaf, all)[:min(n, OwnersPerLeaf)])
		}
	}
}

// Guards against an allocation per VM. The only allocation is the result.
func TestOwnersAllocatesOnlyItsResult(t *testing.T) {
	all := vms(267)
	allocs := testing.AllocsPerRun(100, func() { Owners("finder-017-042-a", all) })
	assert.Equal(t, allocs, 1.0)
}
