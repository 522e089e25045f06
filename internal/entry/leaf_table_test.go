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
	facts := func(leaf topology.LeafID, state string) message.LeafFacts {
		return message.LeafFacts{Leaf: leaf, State: state}
	}
	owners := []topology.VM{{ID: "r1"}, {ID: "r2"}}
	table := newLeafTable()
	put := func(at time.Duration, from topology.VMID, u message.LeafFactsUpdate) (int, bool) {
		changed, missed := table.put(at, &leafReport{from: from, update: u})
		return len(changed), missed
	}
	for _, step := range []struct {
		name    string
		at      time.Duration
		update  message.LeafFactsUpdate
		changed int
		missed  bool
	}{
		{"all facts", 0, message.LeafFactsUpdate{Version: 7, Full: true, Facts: []message.LeafFacts{facts("a", "warm"), facts("b", "warm")}}, 2, false},
		{"sign of life", time.Second, message.LeafFactsUpdate{Version: 7}, 0, false},
		{"change", time.Second, message.LeafFactsUpdate{Version: 8, Facts: []message.LeafFacts{facts("a", "cold")}}, 1, false},
		{"same facts", time.Second, message.LeafFactsUpdate{Version: 9, Facts: []message.LeafFacts{facts("a", "cold")}}, 0, false},
		{"sign of life after a lost update", time.Second, message.LeafFactsUpdate{Version: 10}, 0, true},
		{"change after a lost update", time.Second, message.LeafFactsUpdate{Version: 12, Facts: []message.LeafFacts{facts("b", "cold")}}, 1, true},
		{"leaf gone", time.Second, message.LeafFactsUpdate{Version: 13, Gone: []topology.LeafID{"b"}}, 1, false},
		{"restarted relay", time.Second, message.LeafFactsUpdate{Version: 1, Full: true, Facts: []message.LeafFacts{facts("b", "warm")}}, 2, false},
		{"back after silence", time.Minute, message.LeafFactsUpdate{Version: 1}, 1, false},
	} {
		changed, missed := put(step.at, "r1", step.update)
		assert.Equal(t, changed, step.changed, step.name)
		assert.Equal(t, missed, step.missed, step.name)
	}
	put(time.Minute, "r2", message.LeafFactsUpdate{Version: 1, Full: true, Facts: []message.LeafFacts{facts("b", "cold")}})
	got, _ := table.get(time.Minute, "b", owners)
	assert.Equal(t, got.State, "warm")
	put(time.Minute+factsLifetime, "r2", message.LeafFactsUpdate{Version: 1})
	got, _ = table.get(time.Minute+factsLifetime+1, "b", owners)
	assert.Equal(t, got.State, "cold")
}
