package confsync

import (
	"math/rand/v2"
	"slices"

	"github.com/medlarswitch/medlarswitch/internal/ownership"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// peer is another VM's agent.
type peer struct {
	vm topology.VM
	// generation is the highest one that the peer was heard to hold. It
	// may be too high after a restart of the peer; a fetch then fails and
	// goes elsewhere.
	generation uint64
	// answered reports that something was heard since this agent started.
	answered bool
}

// peerSet holds the peers with their IDs in order, so that a seed gives the
// same choices in every run.
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

// recordGeneration records what a peer holds. Peers outside the list are not recorded.
func (s *peerSet) recordGeneration(id topology.VMID, generation uint64) {
	if p, ok := s.byID[id]; ok {
		p.answered = true
		p.generation = max(p.generation, generation)
	}
}

// sample returns up to n different peers.
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

// randomHolder returns a random peer that holds a generation, of the given zone if
// there is one, or an empty ID.
func (s *peerSet) randomHolder(rnd *rand.Rand, generation uint64, zone topology.Zone) topology.VMID {
	var sameZone, otherZones []topology.VMID
	for _, id := range s.ids {
		p := s.byID[id]
		switch {
		case p.generation < generation:
		case p.vm.Zone == zone:
			sameZone = append(sameZone, id)
		default:
			otherZones = append(otherZones, id)
		}
	}
	if len(sameZone) == 0 {
		sameZone = otherZones
	}
	if len(sameZone) == 0 {
		return ""
	}
	return sameZone[rnd.IntN(len(sameZone))]
}

// watchKey is ranked like a leaf to choose the watchers of a zone.
const watchKey = "manifest-watch/"

// watchers returns the VMs of a zone that watch the store.
func (m *Machine) watchers() []topology.VM {
	vms := []topology.VM{m.self}
	for _, id := range m.peers.ids {
		if vm := m.peers.byID[id].vm; vm.Zone == m.self.Zone {
			vms = append(vms, vm)
		}
	}
	return ownership.Owners(topology.LeafID(watchKey+string(m.self.Zone)), vms)
}
