package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// noHedges never asks for a hedge.
type noHedges struct{}

func (noHedges) Delay(tier, topology.ShardID) time.Duration { return 0 }

func (noHedges) Slow(*topology.Leaf, []*topology.Leaf) bool { return false }

// testTopology has one index with the given shards, two leaves each, one in
// each of two zones.
func testTopology(generation, partition uint64, shards ...topology.ShardID) *topology.Topology {
	t := &topology.Topology{
		Generation: generation,
		Zones:      map[topology.Zone]topology.ZoneState{"a": {Name: "a"}, "b": {Name: "b"}},
		Indexes:    map[topology.IndexID]*topology.Index{},
		Leaves:     map[topology.LeafID]*topology.Leaf{},
	}
	index := &topology.Index{ID: "i", PartitionGeneration: partition}
	for i, id := range shards {
		shard := &topology.Shard{ID: id, Index: "i", Weight: 1}
		for _, zone := range []topology.Zone{"a", "b"} {
			leaf := &topology.Leaf{ID: topology.LeafID(string(zone) + string(rune('0'+i))), Shard: id, Index: "i", Zone: zone}
			shard.Leaves = append(shard.Leaves, leaf)
			t.Leaves[leaf.ID] = leaf
		}
		index.Shards = append(index.Shards, shard)
	}
	t.Indexes["i"] = index
	return t
}

// testBuilder has one VM in each zone, and the leaves of the topology in use.
func testBuilder(t *topology.Topology) *viewBuilder {
	now := func() time.Duration { return time.Second }
	b := newViewBuilder("vm-a", "a", noHedges{}, now, func(*view) {})
	b.takeVMs(topology.VMView{Version: 1, VMs: []topology.VM{{ID: "vm-a", Zone: "a"}, {ID: "vm-b", Zone: "b"}}})
	b.takeTopology(t)
	return b
}

func (b *viewBuilder) hear(leaf topology.LeafID, partition uint64, warm bool) {
	vm := topology.VMID("vm-" + string(leaf[0]))
	b.takeFacts(&leafReport{from: vm, resync: func() {}, update: message.LeafStatusUpdate{Statuses: []message.LeafStatus{{
		Leaf: leaf, Usable: true, Warm: warm, IndexVersions: []uint64{1}, PartitionGeneration: partition,
	}}}})
	b.rebuild()
}

// Guards against an edit of the partition map that leaves every shard without
// a leaf until all leaves have switched.
func TestOldPartitionMapServesUntilTheNewOneDoes(t *testing.T) {
	b := testBuilder(testTopology(1, 1, "s0", "s1"))
	leaves := []topology.LeafID{"a0", "b0", "a1", "b1"}
	for _, leaf := range leaves {
		b.hear(leaf, 1, true)
	}
	b.takeTopology(testTopology(2, 2, "s0", "s1x"))
	assert.Equal(t, b.current.indexes["i"].plans[tierHighest][0].Snapshot.PartitionGeneration, uint64(1))
	for i, leaf := range leaves {
		b.hear(leaf, 2, true)
		assert.Assert(t, coverable(b.current.indexes["i"]) >= 0.5, "after %d switches", i+1)
	}
	assert.Equal(t, b.current.indexes["i"].plans[tierHighest][0].Snapshot.PartitionGeneration, uint64(2))
	assert.Equal(t, coverable(b.current.indexes["i"]), 1.0)
}

// Guards against a leaf that never warms up because its replica is warm, and
// against a plan with more than one cold leaf in front.
func TestSomePlansWarmALeafUp(t *testing.T) {
	b := testBuilder(testTopology(1, 1, "s0", "s1"))
	for _, leaf := range []topology.LeafID{"a0", "a1"} {
		b.hear(leaf, 1, true)
	}
	for _, leaf := range []topology.LeafID{"b0", "b1"} {
		b.hear(leaf, 1, false)
	}
	leads := map[topology.LeafID]int{}
	for _, plan := range b.current.indexes["i"].plans[tierHighest] {
		cold := 0
		for _, shard := range plan.Shards {
			if first := shard.Candidates[0]; !first.Warm {
				cold++
				leads[first.Leaf]++
			}
		}
		assert.Assert(t, cold <= 1, "%d cold leaves in front of one plan", cold)
	}
	assert.DeepEqual(t, leads, map[topology.LeafID]int{"b0": 1, "b1": 1})
	plan, _ := b.current.indexes["i"].steadyPlan()
	assert.Assert(t, plan.Shards[0].Candidates[0].Warm && plan.Shards[1].Candidates[0].Warm)
}

// Guards against work for a zone that is out.
func TestZoneOutHasNoCandidates(t *testing.T) {
	b := testBuilder(testTopology(1, 1, "s0"))
	b.hear("a0", 1, true)
	b.hear("b0", 1, true)
	out := testTopology(2, 1, "s0")
	out.Zones["b"] = topology.ZoneState{Name: "b", OutOfService: true}
	b.takeTopology(out)
	for _, plan := range b.current.indexes["i"].plans[tierHighest] {
		assert.Equal(t, len(plan.Shards[0].Candidates), 1)
		assert.Equal(t, plan.Shards[0].Candidates[0].Leaf, topology.LeafID("a0"))
	}
}

// Guards against a lower generation that replaces a higher one.
func TestGenerationsOnlyRise(t *testing.T) {
	b := testBuilder(testTopology(5, 1, "s0"))
	b.takeTopology(testTopology(4, 1, "s0"))
	assert.Equal(t, b.current.topology.Generation, uint64(5))
}
