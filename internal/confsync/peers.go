package confsync

import (
	"math/rand/v2"
	"slices"

	"github.com/medlarswitch/medlarswitch/internal/ownership"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// peer is the agent of another VM.
type peer struct {
	vm topology.VM
	// generation is the highest one that the peer has announced. It may be
	// too high after a restart of the peer; a fetch from it then fails and is
	// retried elsewhere.
	generation uint64
	// answered is true once the peer has sent a heartbeat or a manifest to this
	// agent since it started.
	answered bool
}

// peerSet holds the peers with their IDs sorted, so that a random seed gives
// the same choices in every run.
type peerSet struct {
	byID map[topology.VMID]*peer
	ids  []topology.VMID
}

func (s *peerSet) upsert(vm topology.VM) (added bool) {
	if p, ok := s.byID[vm.ID]; ok {
		p.vm = vm
		return false
	}
	s.byID[vm.ID] = &peer{vm: vm}
	i, _ := slices.BinarySearch(s.ids, vm.ID)
	s.ids = slices.Insert(s.ids, i, vm.ID)
	return true
}

func (s *peerSet) remove(id topology.VMID) {
	if i, ok := slices.BinarySearch(s.ids, id); ok {
		s.ids = slices.Delete(s.ids, i, i+1)
		delete(s.byID, id)
	}
}

// recordGeneration records the generation that a peer announced. Peers that are
// not in the set are ignored.
func (s *peerSet) recordGeneration(id topology.VMID, generation uint64) {
	if p, ok := s.byID[id]; ok {
		p.answered = true
		p.generation = max(p.generation, generation)
	}
}

// sample returns up to n distinct random peers.
func (s *peerSet) sample(rnd *rand.Rand, n int) []topology.VMID {
	if n >= len(s.ids) {
		return slices.Clone(s.ids)
	}
	out := make([]topology.VMID, 0, n)
	for len(out) < n {
		id := s.ids[rnd.IntN(len(s.ids))]
		if !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	return out
}

// randomHolder returns a random peer that has at least the given generation, from
// the given zone if possible. It returns an empty ID if there is none.
func (s *peerSet) randomHolder(rnd *rand.Rand, generation uint64, zone topology.Zone) topology.VMID {
	var preferred, others []topology.VMID
	for _, id := range s.ids {
		p := s.byID[id]
		switch {
		case p.generation < generation:
		case p.vm.Zone == zone:
			preferred = append(preferred, id)
		default:
			others = append(others, id)
		}
	}
	if len(preferred) == 0 {
		preferred = others
	}
	if len(preferred) == 0 {
		return ""
	}
	return preferred[rnd.IntN(len(preferred))]
}

// watchKey, followed by the zone, is passed as a leaf ID to ownership.Owners,
// which selects the watchers of the zone.
const watchKey = "manifest-watch/"

// watchers returns the VMs of the agent's own zone that should watch the store.
func (m *Machine) watchers() []topology.VM {
	vms := []topology.VM{m.self}
	for _, id := range m.peers.ids {
		if vm := m.peers.byID[id].vm; vm.Zone == m.self.Zone {
			vms = append(vms, vm)
		}
	}
	return ownership.Owners(topology.LeafID(watchKey+string(m.self.Zone)), vms)
}
