package ownership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// OwnersPerLeaf is the number of relays that may hold connections to a leaf under
// one VM list.
const OwnersPerLeaf = 2

// keyBufferBytes has room for the IDs of a leaf and a VM of up to 128 bytes each,
// so that ranking allocates nothing per VM. Longer keys are copied to the heap.
const keyBufferBytes = 264

// MaxConnectedRelays is the number of relays that may hold connections to a leaf
// at the same time: its owners under the current and the previous VM list.
const MaxConnectedRelays = 2 * OwnersPerLeaf

// ConnectionShare returns how many connections to a leaf each connected relay may
// have. It leaves one connection of the leaf's limit unused.
func ConnectionShare(limit int) int { return (limit - 1) / MaxConnectedRelays }

// Owners returns the VMs whose relays own a leaf, rank 1 first, at most
// OwnersPerLeaf of them. VMs that are leaving are considered only if there are no
// others.
func Owners(leaf topology.LeafID, vms []topology.VM) []topology.VM {
	owners := highestRanked(leaf, vms, false)
	if len(owners) == 0 {
		owners = highestRanked(leaf, vms, true)
	}
	return owners
}

// highestRanked returns the VMs with the highest scores for a leaf among those
// that are leaving or among the others.
func highestRanked(leaf topology.LeafID, vms []topology.VM, leaving bool) []topology.VM {
	var buffer [keyBufferBytes]byte
	key := append(append(buffer[:0], leaf...), 0)
	first, second := -1, -1
	var firstScore, secondScore uint64
	for i := range vms {
		vm := &vms[i]
		if vm.Leaving != leaving {
			continue
		}
		score := hashScore(key, vm.ID)
		switch {
		case first < 0 || ranksHigher(score, vm.ID, firstScore, vms[first].ID):
			second, secondScore = first, firstScore
			first, firstScore = i, score
		case second < 0 || ranksHigher(score, vm.ID, secondScore, vms[second].ID):
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

// ranksHigher compares two VMs by score. VMs with equal scores are ordered by ID,
// so that all processes compute the same ranking.
func ranksHigher(score uint64, id topology.VMID, otherScore uint64, other topology.VMID) bool {
	if score != otherScore {
		return score > otherScore
	}
	return id > other
}

// hashScore returns the hash of a leaf's key followed by a VM's ID. It may
// overwrite the bytes between the length and the capacity of key.
func hashScore(key []byte, vm topology.VMID) uint64 {
	return xxhash.Sum64(append(key, vm...))
}
