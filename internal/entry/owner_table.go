package entry

import (
	"sync"

	"github.com/medlarswitch/medlarswitch/internal/ownership"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// ownerTable caches the relays of leaves under one VM list and one topology. Each
// request needs them, and ranking the VMs of a zone takes time proportional to their
// number. It is safe for concurrent use.
type ownerTable struct {
	mu     sync.RWMutex
	owners map[topology.LeafID][]owner
}

// owner is one relay of a leaf.
type owner struct {
	vm      topology.VMID
	address string
}

func newOwnerTable() *ownerTable {
	return &ownerTable{owners: make(map[topology.LeafID][]owner)}
}

// get returns the relays of a leaf among the VMs of its zone, rank 1 first. The
// VMs must be the same in all calls.
func (t *ownerTable) get(leaf topology.LeafID, vms []topology.VM) []owner {
	t.mu.RLock()
	owners, ok := t.owners[leaf]
	t.mu.RUnlock()
	if ok {
		return owners
	}
	for _, vm := range ownership.Owners(leaf, vms) {
		owners = append(owners, owner{vm: vm.ID, address: vm.RelayAddress})
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.owners[leaf] = owners
	return owners
}
