package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// firstCounts counts how often each leaf comes first in the plans of an index with
// one shard.
func firstCounts(b *viewBuilder) map[topology.LeafID]int {
	out := map[topology.LeafID]int{}
	for _, plan := range b.current.indexes["i"].plans[tierHighest] {
		out[plan.Shards[0].Candidates[0].Leaf]++
	}
	return out
}

func (b *viewBuilder) updateLeaf(status message.LeafStatus) {
	status.Usable, status.IndexVersions, status.PartitionGeneration = true, []uint64{1}, 1
	vm := topology.VMID("vm-" + string(status.Leaf[0]))
	b.applyUpdate(&leafUpdate{from: vm, resync: func() {}, update: message.LeafStatusUpdate{Statuses: []message.LeafStatus{status}}})
	b.rebuild()
}

// Guards against a leaf that stays the first choice of its shard while it accepts
// requests without replying, against one that gets no work after it replies again,
// and against a shard without candidates when all its leaves are unresponsive.
func TestUnresponsiveLeafComesLast(t *testing.T) {
	for name, warm := range map[string]bool{"warm replica": true, "cold replica": false} {
		t.Run(name, func(t *testing.T) {
			b := testBuilder(testTopology(1, 1, "s0"))
			b.updateLeaf(message.LeafStatus{Leaf: "b0", Warm: warm})
			b.updateLeaf(message.LeafStatus{Leaf: "a0", Unresponsive: true})
			assert.DeepEqual(t, firstCounts(b), map[topology.LeafID]int{"a0": 1, "b0": plansPerIndex - 1})
			plan, _ := b.current.indexes["i"].defaultPlan()
			assert.Equal(t, plan.Shards[0].Candidates[0].Leaf, topology.LeafID("b0"))
			b.updateLeaf(message.LeafStatus{Leaf: "a0", Warm: warm})
			assert.DeepEqual(t, firstCounts(b), map[topology.LeafID]int{"a0": plansPerIndex})
		})
	}
	b := testBuilder(testTopology(1, 1, "s0"))
	b.updateLeaf(message.LeafStatus{Leaf: "a0", Unresponsive: true})
	b.updateLeaf(message.LeafStatus{Leaf: "b0", Unresponsive: true})
	first := firstCounts(b)
	assert.Equal(t, first["a0"]+first["b0"], plansPerIndex)
}
