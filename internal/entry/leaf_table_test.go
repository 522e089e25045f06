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
	status := func(leaf topology.LeafID, state string) message.LeafFacts {
		return message.LeafFacts{Leaf: leaf, State: state}
	}
	owners := []topology.VM{{ID: "r1"}, {ID: "r2"}}
	table := newLeafTable()
	put := func(at time.Duration, from topology.VMID, u message.LeafFactsUpdate) (int, bool) {
		changed, missed := table.put(at, &leafUpdate{from: from, update: u})
		return len(changed), missed
	}
	for _, step := range []struct {
		name    string
		at      time.Duration
		update  message.LeafFactsUpdate
		changed int
		missed  bool
	}{
		{"full update", 0, message.LeafFactsUpdate{Version: 7, Full: true, Facts: []message.LeafFacts{status("a", "warm"), status("b", "warm")}}, 2, false},
		{"empty update", time.Second, message.LeafFactsUpdate{Version: 7}, 0, false},
		{"change", time.Second, message.LeafFactsUpdate{Version: 8, Facts: []message.LeafFacts{status("a", "cold")}}, 1, false},
		{"unchanged status", time.Second, message.LeafFactsUpdate{Version: 9, Facts: []message.LeafFacts{status("a", "cold")}}, 0, false},
		{"empty update after a lost update", time.Second, message.LeafFactsUpdate{Version: 10}, 0, true},
		{"change after a lost update", time.Second, message.LeafFactsUpdate{Version: 12, Facts: []message.LeafFacts{status("b", "cold")}}, 1, true},
		{"leaf removed", time.Second, message.LeafFactsUpdate{Version: 13, Gone: []topology.LeafID{"b"}}, 1, false},
		{"restarted relay", time.Second, message.LeafFactsUpdate{Version: 1, Full: true, Facts: []message.LeafFacts{status("b", "warm")}}, 2, false},
		{"update after the lifetime", time.Minute, message.LeafFactsUpdate{Version: 1}, 1, false},
	} {
		changed, missed := put(step.at, "r1", step.update)
		assert.Equal(t, changed, step.changed, step.name)
		assert.Equal(t, missed, step.missed, step.name)
	}
	put(time.Minute, "r2", message.LeafFactsUpdate{Version: 1, Full: true, Facts: []message.LeafFacts{status("b", "cold")}})
	got, _ := table.get(time.Minute, "b", owners)
	assert.Equal(t, got.State, "warm")
	put(time.Minute+statusLifetime, "r2", message.LeafFactsUpdate{Version: 1})
	got, _ = table.get(time.Minute+statusLifetime+1, "b", owners)
	assert.Equal(t, got.State, "cold")
}
