package entry

import (
	"reflect"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// statusLifetime is how long the status of a relay's leaves is valid after the
// relay's last update. Relays send at least one update per second.
const statusLifetime = 4 * time.Second

// leafTable holds the latest status of each leaf from each of its relays.
type leafTable struct {
	leaves map[topology.LeafID]map[topology.VMID]message.LeafStatus
	relays map[topology.VMID]*relayState
}

// relayState describes the last update of a relay.
type relayState struct {
	version    uint64
	lastUpdate time.Duration
	draining   bool
	// expired is set when expireRelays has returned the relay's leaves.
	expired bool
}

func newLeafTable() *leafTable {
	return &leafTable{
		leaves: make(map[topology.LeafID]map[topology.VMID]message.LeafStatus),
		relays: make(map[topology.VMID]*relayState),
	}
}

// put stores an update. It returns the leaves whose status changed, and whether an
// earlier update of the relay was lost.
func (t *leafTable) put(now time.Duration, r *leafUpdate) (changed []topology.LeafID, missed bool) {
	relay, known := t.relays[r.from]
	if !known {
		relay = &relayState{}
		t.relays[r.from] = relay
	}
	if known && now-relay.lastUpdate > statusLifetime {
		changed = t.leavesOf(r.from)
	}
	u := &r.update
	if relay.draining != u.Draining {
		relay.draining = u.Draining
		changed = append(changed, t.leavesOf(r.from)...)
	}
	if !u.Full {
		missed = !known || u.Version != relay.expectedVersion(u)
	}
	if u.Full {
		changed = append(changed, t.removeUnlisted(r.from, u.Statuses)...)
	}
	relay.lastUpdate, relay.version, relay.expired = now, u.Version, false
	for _, status := range u.Statuses {
		if t.store(r.from, status) {
			changed = append(changed, status.Leaf)
		}
	}
	for _, leaf := range u.Removed {
		delete(t.leaves[leaf], r.from)
		changed = append(changed, leaf)
	}
	return changed, missed
}

// expectedVersion returns the version of the update if none was lost before it.
func (r *relayState) expectedVersion(u *message.LeafStatusUpdate) uint64 {
	if u.Empty() {
		return r.version
	}
	return r.version + 1
}

// store stores the status of one leaf and reports whether it changed.
func (t *leafTable) store(from topology.VMID, status message.LeafStatus) bool {
	byVM, ok := t.leaves[status.Leaf]
	if !ok {
		byVM = make(map[topology.VMID]message.LeafStatus, 2)
		t.leaves[status.Leaf] = byVM
	}
	old, known := byVM[from]
	byVM[from] = status
	return !known || !reflect.DeepEqual(old, status)
}

// removeUnlisted removes the leaves of a relay that its full update does not list,
// and returns them.
func (t *leafTable) removeUnlisted(from topology.VMID, listed []message.LeafStatus) []topology.LeafID {
	named := make(map[topology.LeafID]bool, len(listed))
	for _, status := range listed {
		named[status.Leaf] = true
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

// expireRelays returns the leaves of the relays whose status has expired since the
// last call.
func (t *leafTable) expireRelays(now time.Duration) []topology.LeafID {
	var out []topology.LeafID
	for vm, relay := range t.relays {
		if !relay.expired && now-relay.lastUpdate > statusLifetime {
			relay.expired = true
			out = append(out, t.leavesOf(vm)...)
		}
	}
	return out
}

// leavesOf returns the leaves on which a relay has reported.
func (t *leafTable) leavesOf(from topology.VMID) []topology.LeafID {
	var out []topology.LeafID
	for leaf, byVM := range t.leaves {
		if _, ok := byVM[from]; ok {
			out = append(out, leaf)
		}
	}
	return out
}

// get returns the status of a leaf by the first of its relays that sent an update
// lately, can use the leaf and is not draining. If there is none, a draining relay
// that can use the leaf comes before one that cannot.
func (t *leafTable) get(now time.Duration, leaf topology.LeafID, owners []topology.VM) (message.LeafStatus, bool) {
	byVM := t.leaves[leaf]
	var fallback message.LeafStatus
	found := false
	for _, vm := range owners {
		status, ok := byVM[vm.ID]
		if !ok || now-t.relays[vm.ID].lastUpdate > statusLifetime {
			continue
		}
		if status.Usable && !t.relays[vm.ID].draining {
			return status, true
		}
		if !found || status.Usable {
			fallback, found = status, true
		}
	}
	return fallback, found
}

// drainingRelays returns the relays that are about to stop, by their last update.
func (t *leafTable) drainingRelays() map[topology.VMID]bool {
	out := make(map[topology.VMID]bool)
	for vm, relay := range t.relays {
		if relay.draining {
			out[vm] = true
		}
	}
	return out
}

// retain removes the leaves that are not in the topology.
func (t *leafTable) retain(top *topology.Topology) {
	for id := range t.leaves {
		if _, ok := top.Leaves[id]; !ok {
			delete(t.leaves, id)
		}
	}
}
