package snapshot

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// testIndex has shards of weight 10, 20, ... with the given number of leaves.
func testIndex(shards, replicas int) *topology.Index {
	index := &topology.Index{PartitionGeneration: 3}
	for i := range shards {
		shard := &topology.Shard{Weight: uint64(10 * (i + 1))}
		for r := range replicas {
			shard.Leaves = append(shard.Leaves, &topology.Leaf{ID: topology.LeafID(fmt.Sprintf("s%d-%c", i, 'a'+r))})
		}
		index.Shards = append(index.Shards, shard)
	}
	return index
}

func serves(generation uint64, versions ...uint64) LeafVersions {
	return LeafVersions{IndexVersions: versions, PartitionGeneration: generation}
}

// Guards against pinning a snapshot that a shard cannot serve while another
// covers all, and against partition maps of unknown weights.
func TestChoose(t *testing.T) {
	for _, c := range []struct {
		name     string
		evidence map[topology.LeafID]LeafVersions
		want     uint64 // 0 for none
	}{
		{"no evidence", nil, 0},
		{"newest that all serve", map[topology.LeafID]LeafVersions{"s0-a": serves(3, 7, 8), "s1-a": serves(3, 8, 7), "s2-a": serves(3, 7, 8, 9)}, 8},
		{"all before newest", map[topology.LeafID]LeafVersions{"s0-a": serves(3, 7), "s1-a": serves(3, 7, 8), "s2-a": serves(3, 7, 8)}, 7},
		{"replicas complete a version", map[topology.LeafID]LeafVersions{"s0-a": serves(3, 7), "s0-b": serves(3, 8), "s1-a": serves(3, 7, 8), "s2-b": serves(3, 7, 8)}, 8},
		{"most weight", map[topology.LeafID]LeafVersions{"s0-a": serves(3, 9), "s1-a": serves(3, 9), "s2-a": serves(3, 5, 6)}, 9},
		{"replicas count once", map[topology.LeafID]LeafVersions{"s0-a": serves(3, 9), "s0-b": serves(3, 9), "s1-a": serves(3, 8)}, 8},
		{"newer on a tie", map[topology.LeafID]LeafVersions{"s0-a": serves(3, 5), "s1-a": serves(3, 5), "s2-a": serves(3, 6)}, 6},
		{"other partition map", map[topology.LeafID]LeafVersions{"s0-a": serves(4, 9), "s1-a": serves(4, 9), "s2-a": serves(3, 7)}, 7},
	} {
		got, ok := Choose(testIndex(3, 2), c.evidence)
		assert.Equal(t, ok, c.want != 0, c.name)
		assert.Equal(t, got.IndexVersion, c.want, c.name)
	}
}

// Guards against a tie in weight that leaves out a shard of weight zero.
func TestChooseCountsShardsOfWeightZero(t *testing.T) {
	index := testIndex(2, 1)
	index.Shards[1].Weight = 0
	got, _ := Choose(index, map[topology.LeafID]LeafVersions{"s0-a": serves(3, 7, 8), "s1-a": serves(3, 7)})
	assert.Equal(t, got, topology.Snapshot{IndexVersion: 7, PartitionGeneration: 3})
}

// BenchmarkChoose covers today's leaves, ten times as many and the design
// target, two leaves per shard.
func BenchmarkChoose(b *testing.B) {
	for _, leaves := range []int{116, 1_160, 110_000} {
		b.Run(fmt.Sprintf("leaves=%d", leaves), func(b *testing.B) { benchmarkChoose(b, leaves) })
	}
}

func benchmarkChoose(b *testing.B, leaves int) {
	index := testIndex(leaves/2, 2)
	evidence := map[topology.LeafID]LeafVersions{}
	for i, shard := range index.Shards {
		for _, leaf := range shard.Leaves {
			evidence[leaf.ID] = serves(3, 7, 8+uint64(i%2))
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		Choose(index, evidence)
	}
}
