package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// firsts counts how often each leaf comes first in the plans of an index with
// one shard.
func firsts(b *viewBuilder) map[topology.LeafID]int {
	out := map[topology.LeafID]int{}
	for _, plan := range b.current.indexes["i"].plans[tierHighest] {
		out[plan.Shards[0].Candidates[0].Leaf]++
	}
	return out
}

func (b *viewBuilder) hearFacts(f message.LeafStatus) {
	f.Usable, f.IndexVersions, f.PartitionGeneration = true, []uint64{1}, 1
	vm := topology.VMID("vm-" + string(f.Leaf[0]))
	b.takeFacts(&leafReport{from: vm, resync: func() {}, update: message.LeafStatusUpdate{Statuses: []message.LeafStatus{f}}})
	b.rebuild()
}

// Guards against a leaf that accepts requests without replying and stays the
// first choice of its shard, against one that gets no work after it replies
// again, and against a shard without leaves when all of them are silent.
func TestSilentLeafComesLast(t *testing.T) {
	for name, warm := range map[string]bool{"warm replica": true, "cold replica": false} {
		t.Run(name, func(t *testing.T) {
			b := testBuilder(testTopology(1, 1, "s0"))
			b.hearFacts(message.LeafStatus{Leaf: "b0", Warm: warm})
			b.hearFacts(message.LeafStatus{Leaf: "a0", Unresponsive: true})
			assert.DeepEqual(t, firsts(b), map[topology.LeafID]int{"a0": 1, "b0": planVariants - 1})
			plan, _ := b.current.indexes["i"].steadyPlan()
			assert.Equal(t, plan.Shards[0].Candidates[0].Leaf, topology.LeafID("b0"))
			b.hearFacts(message.LeafStatus{Leaf: "a0", Warm: warm})
			assert.DeepEqual(t, firsts(b), map[topology.LeafID]int{"a0": planVariants})
		})
	}
	b := testBuilder(testTopology(1, 1, "s0"))
	b.hearFacts(message.LeafStatus{Leaf: "a0", Unresponsive: true})
	b.hearFacts(message.LeafStatus{Leaf: "b0", Unresponsive: true})
	first := firsts(b)
	assert.Equal(t, first["a0"]+first["b0"], planVariants)
}
