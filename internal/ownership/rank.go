package ownership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Ranks is the number of relays that may hold connections to a leaf under one
// VM list.
const Ranks = 2

// Owners returns the relays of a leaf, rank 1 first, at most Ranks of them.
// VMs that are leaving rank only when there are no others.
func Owners(leaf topology.LeafID, vms []topology.VM) []topology.VM {
	owners := top(leaf, vms, false)
	if len(owners) == 0 {
		owners = top(leaf, vms, true)
	}
	return owners
}

func top(leaf topology.LeafID, vms []topology.VM, leaving bool) []topology.VM {
	var first, second topology.VM
	var firstScore, secondScore uint64
	for _, vm := range vms {
		if vm.Leaving != leaving {
			continue
		}
		score := weight(leaf, vm.ID)
		switch {
		case first.ID == "" || higher(score, vm.ID, firstScore, first.ID):
			second, secondScore = first, firstScore
			first, firstScore = vm, score
		case second.ID == "" || higher(score, vm.ID, secondScore, second.ID):
			second, secondScore = vm, score
		}
	}
	out := make([]topology.VM, 0, Ranks)
	for _, vm := range []topology.VM{first, second} {
		if vm.ID != "" {
			out = append(out, vm)
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

func weight(leaf topology.LeafID, vm topology.VMID) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(leaf))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(vm))
	return d.Sum64()
}
