package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Guards against facts that stay wrong because an update was lost, and against
// a silent relay whose word still counts.
func TestLeafTable(t *testing.T) {
	facts := func(leaf topology.LeafID, state string) message.LeafStatus {
		return message.LeafStatus{Leaf: leaf, State: state}
	}
	owners := []topology.VM{{ID: "r1"}, {ID: "r2"}}
	table := newLeafTable()
	put := func(at time.Duration, from topology.VMID, u message.LeafStatusUpdate) (int, bool) {
		changed, missed := table.put(at, &leafReport{from: from, update: u})
		return len(changed), missed
	}
	for _, step := range []struct {
		name    string
		at      time.Duration
		update  message.LeafStatusUpdate
		changed int
		missed  bool
	}{
		{"all facts", 0, message.LeafStatusUpdate{Version: 7, Full: true, Statuses: []message.LeafStatus{facts("a", "warm"), facts("b", "warm")}}, 2, false},
		{"sign of life", time.Second, message.LeafStatusUpdate{Version: 7}, 0, false},
		{"change", time.Second, message.LeafStatusUpdate{Version: 8, Statuses: []message.LeafStatus{facts("a", "cold")}}, 1, false},
		{"same facts", time.Second, message.LeafStatusUpdate{Version: 9, Statuses: []message.LeafStatus{facts("a", "cold")}}, 0, false},
		{"sign of life after a lost update", time.Second, message.LeafStatusUpdate{Version: 10}, 0, true},
		{"change after a lost update", time.Second, message.LeafStatusUpdate{Version: 12, Statuses: []message.LeafStatus{facts("b", "cold")}}, 1, true},
		{"leaf gone", time.Second, message.LeafStatusUpdate{Version: 13, Removed: []topology.LeafID{"b"}}, 1, false},
		{"restarted relay", time.Second, message.LeafStatusUpdate{Version: 1, Full: true, Statuses: []message.LeafStatus{facts("b", "warm")}}, 2, false},
		{"back after silence", time.Minute, message.LeafStatusUpdate{Version: 1}, 1, false},
	} {
		changed, missed := put(step.at, "r1", step.update)
		assert.Equal(t, changed, step.changed, step.name)
		assert.Equal(t, missed, step.missed, step.name)
	}
	put(time.Minute, "r2", message.LeafStatusUpdate{Version: 1, Full: true, Statuses: []message.LeafStatus{facts("b", "cold")}})
	got, _ := table.get(time.Minute, "b", owners)
	assert.Equal(t, got.State, "warm")
	put(time.Minute+factsLifetime, "r2", message.LeafStatusUpdate{Version: 1})
	got, _ = table.get(time.Minute+factsLifetime+1, "b", owners)
	assert.Equal(t, got.State, "cold")
}
