package ownership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// OwnersPerLeaf is the number of relays that may hold connections to a leaf under one
// VM list.
const OwnersPerLeaf = 2

// keyBytes holds the names of a leaf and a VM of up to 128 bytes each, so that
// ranking allocates nothing per VM. Longer ones are copied to the heap.
const keyBytes = 264

// MaxConnectedRelays is the number of relays that may hold connections to a leaf: both
// ranks under the current and under the previous VM list.
const MaxConnectedRelays = 2 * OwnersPerLeaf

// ConnectionShare returns how many connections to a leaf each holder may have.
// One connection of the leaf's limit stays free.
func ConnectionShare(limit int) int { return (limit - 1) / MaxConnectedRelays }

// Owners returns the relays of a leaf, rank 1 first, at most OwnersPerLeaf of them.
// VMs that are leaving rank only when there are no others.
func Owners(leaf topology.LeafID, vms []topology.VM) []topology.VM {
	owners := top(leaf, vms, false)
	if len(owners) == 0 {
		owners = top(leaf, vms, true)
	}
	return owners
}

func top(leaf topology.LeafID, vms []topology.VM, leaving bool) []topology.VM {
	var room [keyBytes]byte
	key := append(append(room[:0], leaf...), 0)
	first, second := -1, -1
	var firstScore, secondScore uint64
	for i := range vms {
		vm := &vms[i]
		if vm.Leaving != leaving {
			continue
		}
		score := weight(key, vm.ID)
		switch {
		case first < 0 || higher(score, vm.ID, firstScore, vms[first].ID):
			second, secondScore = first, firstScore
			first, firstScore = i, score
		case second < 0 || higher(score, vm.ID, secondScore, vms[second].ID):
			second, secondScore = i, score
		}
	}
	out := make([]topology.VM, 0, OwnersPerLeaf)
	for _, i := range []int{first, second} {
		if i >= 0 {
			out = append(out, vms[i])
		}
	}
	return out
}

// higher orders equal hashes by ID, so that every VM ranks alike.
func higher(score uint64, id topology.VMID, otherScore uint64, other topology.VMID) bool {
	if score != otherScore {
		return score > otherScore
	}
	return id > other
}

// weight hashes a leaf's key followed by a VM's ID. It overwrites the capacity
// of key after its length.
func weight(key []byte, vm topology.VMID) uint64 {
	return xxhash.Sum64(append(key, vm...))
}
