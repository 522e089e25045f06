package entry

import (
	"reflect"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// factsLifetime is how long the word of a relay counts after its last sign of
// life, which relays give each second.
const factsLifetime = 4 * time.Second

// leafTable holds what relays last said about each leaf.
type leafTable struct {
	leaves map[topology.LeafID]map[topology.VMID]message.LeafStatus
	relays map[topology.VMID]*heardRelay
}

// heardRelay is a relay with the last update of it.
type heardRelay struct {
	version  uint64
	at       time.Duration
	draining bool
	// silent is true once silenced has named the relay's leaves.
	silent bool
}

func newLeafTable() *leafTable {
	return &leafTable{
		leaves: make(map[topology.LeafID]map[topology.VMID]message.LeafStatus),
		relays: make(map[topology.VMID]*heardRelay),
	}
}

// put stores a report. It returns the leaves whose facts changed, and whether
// an update of the relay was missed before it.
func (t *leafTable) put(now time.Duration, r *leafReport) (changed []topology.LeafID, missed bool) {
	heard, known := t.relays[r.from]
	if !known {
		heard = &heardRelay{}
		t.relays[r.from] = heard
	}
	if known && now-heard.at > factsLifetime {
		changed = t.leavesOf(r.from)
	}
	u := &r.update
	if heard.draining != u.Draining {
		heard.draining = u.Draining
		changed = append(changed, t.leavesOf(r.from)...)
	}
	if !u.Full {
		missed = !known || u.Version != heard.next(u)
	}
	if u.Full {
		changed = append(changed, t.dropOthers(r.from, u.Statuses)...)
	}
	heard.at, heard.version, heard.silent = now, u.Version, false
	for _, f := range u.Statuses {
		if t.store(r.from, f) {
			changed = append(changed, f.Leaf)
		}
	}
	for _, leaf := range u.Removed {
		delete(t.leaves[leaf], r.from)
		changed = append(changed, leaf)
	}
	return changed, missed
}

// next is the version that the update must have if none was missed.
func (h *heardRelay) next(u *message.LeafStatusUpdate) uint64 {
	if u.Empty() {
		return h.version
	}
	return h.version + 1
}

func (t *leafTable) store(from topology.VMID, f message.LeafStatus) bool {
	byVM, ok := t.leaves[f.Leaf]
	if !ok {
		byVM = make(map[topology.VMID]message.LeafStatus, 2)
		t.leaves[f.Leaf] = byVM
	}
	old, known := byVM[from]
	byVM[from] = f
	return !known || !reflect.DeepEqual(old, f)
}

// dropOthers forgets the leaves of a relay that a full update does not name.
func (t *leafTable) dropOthers(from topology.VMID, facts []message.LeafStatus) []topology.LeafID {
	named := make(map[topology.LeafID]bool, len(facts))
	for _, f := range facts {
		named[f.Leaf] = true
	}
	var dropped []topology.LeafID
	for _, leaf := range t.leavesOf(from) {
		if !named[leaf] {
			delete(t.leaves[leaf], from)
			dropped = append(dropped, leaf)
		}
	}
	return dropped
}

// silenced returns the leaves of relays that have fallen silent since the last
// call.
func (t *leafTable) silenced(now time.Duration) []topology.LeafID {
	var out []topology.LeafID
	for vm, heard := range t.relays {
		if !heard.silent && now-heard.at > factsLifetime {
			heard.silent = true
			out = append(out, t.leavesOf(vm)...)
		}
	}
	return out
}

func (t *leafTable) leavesOf(from topology.VMID) []topology.LeafID {
	var out []topology.LeafID
	for leaf, byVM := range t.leaves {
		if _, ok := byVM[from]; ok {
			out = append(out, leaf)
		}
	}
	return out
}

// get returns the latest word of the first of some relays that is alive, not
// about to stop, and can use the leaf, else that of the first that is alive.
func (t *leafTable) get(now time.Duration, leaf topology.LeafID, owners []topology.VM) (message.LeafStatus, bool) {
	byVM := t.leaves[leaf]
	var fallback message.LeafStatus
	found := false
	for _, vm := range owners {
		facts, ok := byVM[vm.ID]
		if !ok || now-t.relays[vm.ID].at > factsLifetime {
			continue
		}
		if facts.Usable && !t.relays[vm.ID].draining {
			return facts, true
		}
		if !found || facts.Usable {
			fallback, found = facts, true
		}
	}
	return fallback, found
}

// drainingRelays returns the relays that are about to stop.
func (t *leafTable) drainingRelays() map[topology.VMID]bool {
	out := make(map[topology.VMID]bool)
	for vm, heard := range t.relays {
		if heard.draining {
			out[vm] = true
		}
	}
	return out
}

// keepOnly forgets leaves that a topology does not name.
func (t *leafTable) keepOnly(top *topology.Topology) {
	for id := range t.leaves {
		if _, ok := top.Leaves[id]; !ok {
			delete(t.leaves, id)
		}
	}
}
