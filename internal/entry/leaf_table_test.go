package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Guards against a leaf status that stays outdated after a lost update, and against
// one that is still used when its relay has sent no updates for statusLifetime.
func TestLeafTable(t *testing.T) {
	status := func(leaf topology.LeafID, state string) message.LeafStatus {
		return message.LeafStatus{Leaf: leaf, State: state}
	}
	owners := []topology.VM{{ID: "r1"}, {ID: "r2"}}
	table := newLeafTable()
	put := func(at time.Duration, from topology.VMID, u message.LeafStatusUpdate) (int, bool) {
		changed, missed := table.put(at, &leafUpdate{from: from, update: u})
		return len(changed), missed
	}
	for _, step := range []struct {
		name    string
		at      time.Duration
		update  message.LeafStatusUpdate
		changed int
		missed  bool
	}{
		{"full update", 0, message.LeafStatusUpdate{Version: 7, Full: true, Statuses: []message.LeafStatus{status("a", "warm"), status("b", "warm")}}, 2, false},
		{"empty update", time.Second, message.LeafStatusUpdate{Version: 7}, 0, false},
		{"change", time.Second, message.LeafStatusUpdate{Version: 8, Statuses: []message.LeafStatus{status("a", "cold")}}, 1, false},
		{"unchanged status", time.Second, message.LeafStatusUpdate{Version: 9, Statuses: []message.LeafStatus{status("a", "cold")}}, 0, false},
		{"empty update after a lost update", time.Second, message.LeafStatusUpdate{Version: 10}, 0, true},
		{"change after a lost update", time.Second, message.LeafStatusUpdate{Version: 12, Statuses: []message.LeafStatus{status("b", "cold")}}, 1, true},
		{"leaf removed", time.Second, message.LeafStatusUpdate{Version: 13, Removed: []topology.LeafID{"b"}}, 1, false},
		{"restarted relay", time.Second, message.LeafStatusUpdate{Version: 1, Full: true, Statuses: []message.LeafStatus{status("b", "warm")}}, 2, false},
		{"update after the lifetime", time.Minute, message.LeafStatusUpdate{Version: 1}, 1, false},
	} {
		changed, missed := put(step.at, "r1", step.update)
		assert.Equal(t, changed, step.changed, step.name)
		assert.Equal(t, missed, step.missed, step.name)
	}
	put(time.Minute, "r2", message.LeafStatusUpdate{Version: 1, Full: true, Statuses: []message.LeafStatus{status("b", "cold")}})
	got, _ := table.get(time.Minute, "b", owners)
	assert.Equal(t, got.State, "warm")
	put(time.Minute+statusLifetime, "r2", message.LeafStatusUpdate{Version: 1})
	got, _ = table.get(time.Minute+statusLifetime+1, "b", owners)
	assert.Equal(t, got.State, "cold")
}
